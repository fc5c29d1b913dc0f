#include "oxbowmill/service/replica_freshness.h"

#include <algorithm>

namespace oxbowmill::service {

void ReplicaFreshness::on_listing_started() {
  set_state(SyncState::listing);
  is_next_page_first_ = true;
}

void ReplicaFreshness::on_page(Revision revision, Seconds requested_at) {
  // The replica counts as current only as of the first page, because keys of that page may change while the
  // last one is read. With the time of the last page, a controller whose pages arrived seconds apart acted,
  // and kept cancelled tasks alive, for seconds longer than its data allowed.
  if (!is_next_page_first_) return;
  is_next_page_first_ = false;
  revision_ = revision;
  as_of_ = std::max(as_of_, requested_at);
}

void ReplicaFreshness::on_watch_response(Revision revision, Seconds requested_at) {
  revision_ = std::max(revision_, revision);
  as_of_ = std::max(as_of_, requested_at);
}

}  // namespace oxbowmill::service
