// A count of events that are too frequent to be logged one by one. Not thread-safe.
#pragma once

#include <cstdint>

namespace oxbowmill {

/// Counts events. A caller that logs whenever `add` returns true writes a line for the first event and then
/// for the tenth, the hundredth and so on, so the log stays short however many events there are.
class LoggedCount {
 public:
  /// Starts at 0. `first_logged` is the first count that is to be logged.
  explicit LoggedCount(std::uint64_t first_logged = 1) : next_logged_(first_logged) {}
  /// Counts one event. Returns whether the count is to be logged now.
  bool add() {
    if (++count_ != next_logged_) return false;
    next_logged_ *= factor;
    return true;
  }
  /// Number of events so far.
  std::uint64_t count() const { return count_; }

 private:
  static constexpr std::uint64_t factor = 10;
  std::uint64_t count_ = 0, next_logged_;
};

}  // namespace oxbowmill
