#include "oxbowmill/service/replica_freshness.h"

#include <algorithm>

namespace oxbowmill::service {

void ReplicaFreshness::on_listing_started() {
  set_state(SyncState::listing);
  is_first_page_ = true;
}

void ReplicaFreshness::on_page(Revision revision, Seconds requested_at) {
  // A key of the first page may change while the last one is read. Credited with the time of the last page, a
  // controller whose pages came seconds apart acted, and kept cancelled work alive, for seconds longer than
  // its data allowed.
  if (!is_first_page_) return;
  is_first_page_ = false;
  revision_ = revision;
  as_of_ = std::max(as_of_, requested_at);
}

void ReplicaFreshness::on_watch_response(Revision revision, Seconds requested_at) {
  revision_ = std::max(revision_, revision);
  as_of_ = std::max(as_of_, requested_at);
}

}  // namespace oxbowmill::service
