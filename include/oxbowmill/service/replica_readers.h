// Lets readers wait until the replica is as current as their request. Readers share the next watch that is
// sent after their requests. Owns the waiting readers and the rate of reads. Event loop thread only.
#pragma once

#include <deque>
#include <functional>
#include <vector>

#include "oxbowmill/net/http.h"

namespace oxbowmill::service {

/// Called with true when the replica holds everything that the state service held at the time of the read
/// request, and with false if that did not become known in time.
using FreshnessHandler = std::function<void(bool is_current)>;

/// Queues of readers. Calls every handler exactly once, except those that it returns to the caller. Handlers
/// may add readers.
class ReplicaReaders {
 public:
  /// `clock` returns the steady time in seconds.
  ReplicaReaders(event_base* base, std::function<double()> clock);
  /// Counts a read, whether or not the reader is going to wait.
  void record_read(double now);
  /// Whether reads are so frequent that watches should return at once to serve them.
  bool is_read_often() const;
  /// Whether readers wait on the open watch, sent at `watch_sent_at`, for so long that it is unlikely to
  /// return before they time out.
  bool is_watch_late(double watch_sent_at, double now) const;
  /// Adds a reader that waits for the next watch to be sent.
  void wait_for_next_watch(FreshnessHandler on_done, double now);
  /// Assigns all readers that wait for the next watch to the watch that was sent.
  void on_watch_sent();
  /// Removes and returns the readers that wait on the open watch.
  std::vector<FreshnessHandler> take_open_watch_readers();

 private:
  struct Reader {
    FreshnessHandler on_done;
    double since = 0;
  };
  void time_out();

  std::function<double()> clock_;
  std::deque<Reader> next_watch_readers_;   // for the next watch to be sent
  std::deque<Reader> open_watch_readers_;   // on the open watch
  double read_count_ = 0, counted_at_ = 0;  // recent reads, decaying exponentially
  net::Timer timeout_timer_;
};

}  // namespace oxbowmill::service
