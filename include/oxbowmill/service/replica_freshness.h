// How current a controller's replica of the state service is known to be. Pure: StateReplica reads and
// applies, and reports here what it has read. Safety: docs/design.md, "Time" and point 13.
#pragma once

#include <cstdint>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::service {

/// How far the replica is complete.
enum class SyncState : std::uint8_t {
  empty,    ///< nothing has been read
  listing,  ///< the keys are being listed
  live,     ///< complete, and followed by the watch
};

/// The revision and the time up to which the replica is complete.
class ReplicaFreshness {
 public:
  /// The keys are listed again, from the first page on.
  void on_listing_started();
  /// A page has been applied; `requested_at`: when it was requested, in seconds.
  void on_page(Revision revision, Seconds requested_at);
  /// The last page has been applied.
  void on_listing_finished() { set_state(SyncState::live); }
  /// The response to a watch that was requested then has been applied.
  void on_watch_response(Revision revision, Seconds requested_at);

  /// The replica is complete and followed by the watch.
  bool is_live() const { return state_ == SyncState::live; }
  /// The replica holds everything up to this revision.
  Revision revision() const { return revision_; }
  /// The replica holds everything that the state service held at this time.
  Seconds as_of() const { return as_of_; }

 private:
  static constexpr Seconds never = -1e9;
  void set_state(SyncState state) { state_ = state; }
  SyncState state_ = SyncState::empty;
  Revision revision_ = 0;
  Seconds as_of_ = never;
  bool is_first_page_ = false;  // the next page is the first one
};

}  // namespace oxbowmill::service
