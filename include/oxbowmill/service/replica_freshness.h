// Tracks how current a controller's replica of the state service is known to be. Performs no I/O:
// StateReplica reads and applies, and reports to it. Safety argument: docs/design.md, "Time" and point 13.
#pragma once

#include <cstdint>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::service {

/// Progress of the replica's synchronization.
enum class SyncState : std::uint8_t {
  empty,    ///< nothing has been read
  listing,  ///< the keys are being listed
  live,     ///< complete and updated by the watch
};

/// Holds the revision and the time up to which the replica is complete.
class ReplicaFreshness {
 public:
  /// The listing of the keys starts, or starts over.
  void on_listing_started();
  /// A page has been applied. `requested_at` is the steady time at which it was requested.
  void on_page(Revision revision, Seconds requested_at);
  /// The last page has been applied.
  void on_listing_finished() { set_state(SyncState::live); }
  /// The response to a watch that was requested at `requested_at` has been applied.
  void on_watch_response(Revision revision, Seconds requested_at);

  /// Whether the replica is complete and updated by the watch.
  bool is_live() const { return state_ == SyncState::live; }
  /// The revision up to which the replica holds all changes.
  Revision revision() const { return revision_; }
  /// The replica holds everything that the state service held at this steady time.
  Seconds as_of() const { return as_of_; }

 private:
  static constexpr Seconds never = -1e9;
  void set_state(SyncState state) { state_ = state; }
  SyncState state_ = SyncState::empty;
  Revision revision_ = 0;
  Seconds as_of_ = never;
  bool is_next_page_first_ = false;  // of the listing
};

}  // namespace oxbowmill::service
