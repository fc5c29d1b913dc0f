// Base class of the exceptions that oxbowmill throws. Packages derive their own exception classes from it.
#pragma once

#include <stdexcept>

namespace oxbowmill {

/// An error that is caused outside the program, for example by an invalid file, argument or address, or by a
/// peer. `what()` is a one-line message for people.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace oxbowmill
