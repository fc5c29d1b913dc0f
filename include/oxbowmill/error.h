// Base of the errors that oxbowmill throws; each package derives its own from it.
#pragma once

#include <stdexcept>

namespace oxbowmill {

/// Something outside the program was wrong: a file, an argument, an address, a peer. `what()` is one line for
/// people.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace oxbowmill
