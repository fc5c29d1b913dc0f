// How new a node's tables are known to be. Pure: the mirror reads and applies, and says what it has read.
// Safety: docs/design.md, "Time" and point 13.
#pragma once

#include <cstdint>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::service {

enum class SyncState : std::uint8_t { empty, listing, live };

class ReplicaFreshness {
 public:
  /// The keys are read anew, from the first page on.
  void on_listing_started();
  /// A page has been applied; `asked`: when it was asked for, in seconds.
  void on_page(Revision revision, Seconds asked);
  /// The last page has been.
  void on_listing_finished() { set_state(SyncState::live); }
  /// The answer to a watch that was opened then has been.
  void on_watch_response(Revision revision, Seconds asked);

  bool is_live() const { return state_ == SyncState::live; }
  /// The tables hold everything up to this revision,
  Revision revision() const { return revision_; }
  /// and so everything that the state service held at this time.
  Seconds as_of() const { return as_of_; }

 private:
  void set_state(SyncState s) { state_ = s; }
  SyncState state_ = SyncState::empty;
  Revision revision_ = 0;
  Seconds as_of_ = -1e9;
  bool first_page_ = false;
};

}  // namespace oxbowmill::service
