// Readers that wait until the replica is as current as their request: many share one watch that is opened
// after they came. Owns the waiting readers and the rate at which they come. For the event loop's thread.
#pragma once

#include <deque>
#include <functional>
#include <vector>

#include "oxbowmill/net/http.h"

namespace oxbowmill::service {

/// Called with true once the replica holds what the state service held when the reader came, and with false
/// if that did not become known in time.
using CurrencyHandler = std::function<void(bool is_current)>;

/// Every handler is called exactly once. Handlers may add readers.
class ReplicaReaders {
 public:
  /// `clock`: steady time in seconds.
  ReplicaReaders(event_base* base, std::function<double()> clock);
  /// Counts a reader, whether or not it is going to wait.
  void record_read(double now);
  /// Reads are so frequent that watches should return at once and serve them.
  bool is_read_often() const;
  /// Readers wait on a watch that was sent at this time and is unlikely to return before they time out.
  bool is_watch_late(double watch_sent_at, double now) const;
  /// Waits for the next watch to be sent.
  void wait_for_next_watch(CurrencyHandler on_done, double now);
  /// All that wait do so on this watch from now on.
  void on_watch_sent();
  /// The readers that wait on the open watch; they wait no longer.
  std::vector<CurrencyHandler> take_watching();

 private:
  struct Reader {
    CurrencyHandler on_done;
    double since = 0;
  };
  void time_out();

  std::function<double()> clock_;
  std::deque<Reader> waiting_;              // for the next watch to be sent
  std::deque<Reader> watching_;             // on the open watch
  double read_count_ = 0, counted_at_ = 0;  // recent reads, decaying exponentially
  net::Timer timeout_timer_;
};

}  // namespace oxbowmill::service
