#include "oxbowmill/service/replica_freshness.h"

#include <algorithm>

namespace oxbowmill::service {

void ReplicaFreshness::on_listing_started() {
  set_state(SyncState::listing);
  first_page_ = true;
}

void ReplicaFreshness::on_page(Revision revision, Seconds asked) {
  // A key of the first page may have changed while the last was read. Credited with the time of the last one,
  // a node whose pages came seconds apart acted, and kept cancelled work alive, for so much longer than its
  // news allowed.
  if (!first_page_) return;
  first_page_ = false;
  revision_ = revision;
  as_of_ = std::max(as_of_, asked);
}

void ReplicaFreshness::on_watch_response(Revision revision, Seconds asked) {
  revision_ = std::max(revision_, revision);
  as_of_ = std::max(as_of_, asked);
}

}  // namespace oxbowmill::service
