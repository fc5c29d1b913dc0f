#include "oxbowmill/service/state_replica.h"

#include <spdlog/spdlog.h>

#include "oxbowmill/service/transaction_body.h"
#include "oxbowmill/utf8.h"

namespace oxbowmill::service {

using state::StoreResponse;
using wire::Json;

namespace {
constexpr double list_retry_s = 0.3;
constexpr double watch_retry_s = 0.2;
constexpr double watch_wait_s = 1.0;
// Minimum intervals between two watches, because each watch counts against the request limit.
constexpr double owner_watch_interval_s = 0.12;
constexpr double hinted_watch_interval_s = 0.03;
// A controller without partitions only has to know the owners. If all such controllers followed every change
// at once, their watches would take request rate from placements as controllers are added, and would use most
// of the processor of a small machine.
constexpr double non_owner_watch_interval_s = 0.6;
constexpr double frequent_reads_watch_interval_s = 0.3;

bool has_valid_texts(const std::string& key, const Json& value) {
  return is_valid_utf8(key) && !wire::find_invalid_text(value);
}

void log_unreadable(const std::string& key) {
  SPDLOG_ERROR("unreadable value in state service key={}", wire::to_json_text(key));
}

void log_unreadable_response(const char* path, const char* reason) {
  SPDLOG_ERROR("state service response unreadable path={} reason=\"{}\"", path, reason);
}
}  // namespace

StateReplica::StateReplica(event_base* base, state::Store& store, ClusterState& state, Scheduler& scheduler,
                           ControllerLease& lease, std::function<double()> clock)
    : store_(store),
      state_(state),
      scheduler_(scheduler),
      lease_(lease),
      clock_(std::move(clock)),
      retry_timer_(base,
                   [this] {
                     if (freshness_.is_live()) {
                       watch();
                     } else {
                       start();
                     }
                   }),
      readers_(base, clock_) {}

void StateReplica::start() {
  freshness_.on_listing_started();
  listed_keys_.clear();
  request_page("");
}

void StateReplica::request_page(const std::string& last_key) {
  store_.list(state::live_prefix, last_key, [this](const StoreResponse& response) { on_page(response); });
}

void StateReplica::on_page(const StoreResponse& response) {
  if (response.status != 200) return retry_timer_.schedule(list_retry_s);
  auto page = state::read_page(response.body);
  if (!page) {
    log_unreadable_response("/store", "a field of the page is missing or invalid");
    return retry_timer_.schedule(list_retry_s);
  }
  freshness_.on_page(page->revision, response.sent_at);
  std::string last_key;
  for (const Json& item : *page->items) {
    auto listed = state::read_key(item);
    if (!listed) {
      log_unreadable_response("/store", "an item of the page is invalid");
      return retry_timer_.schedule(list_retry_s);
    }
    last_key = listed->key;
    listed_keys_.insert(last_key);
    apply_update(*listed);
  }
  if (page->has_more && !last_key.empty()) return request_page(last_key);
  on_listing_finished();
}

void StateReplica::on_listing_finished() {
  // Known keys that are not listed were removed while the watch was interrupted.
  std::vector<std::string> removed;
  for (const auto& [key, revision] : revisions_) {
    if (revision <= freshness_.revision() && listed_keys_.count(key) == 0) removed.push_back(key);
  }
  for (const std::string& key : removed) apply_update({key, nullptr, freshness_.revision()});
  listed_keys_.clear();
  freshness_.on_listing_finished();
  publish_freshness();
  SPDLOG_INFO("state replica listed revision={} keys={}", freshness_.revision(), revisions_.size());
  watch();
}

void StateReplica::publish_freshness() {
  scheduler_.applied_revision(freshness_.revision());
  lease_.on_watch_answered(freshness_.as_of());
}

void StateReplica::on_revision_hint(Revision revision) {
  if (!freshness_.is_live() || revision <= freshness_.revision() || !retry_timer_.pending()) return;
  if (!scheduler_.owns_any() || clock_() - last_watch_at_ < hinted_watch_interval_s) return;
  retry_timer_.cancel();
  watch();
}

void StateReplica::when_current(FreshnessHandler on_done) {
  double now = clock_();
  readers_.record_read(now);
  // The reader needs a watch that is sent after its request, and a watch that the state service holds open
  // may delay that one for long.
  bool is_late = readers_.is_watch_late(last_watch_at_, now);
  if (!freshness_.is_live() || is_long_polling_ || is_late || !readers_.is_read_often())
    return on_done(false);
  readers_.wait_for_next_watch(std::move(on_done), now);
}

void StateReplica::watch() {
  last_watch_at_ = clock_();
  is_long_polling_ = !readers_.is_read_often();
  readers_.on_watch_sent();
  watch_progress_ = {};
  store_.watch(
      state::live_prefix, freshness_.revision(), is_long_polling_ ? watch_wait_s : 0,
      [this](const Json& event) { apply_event(event); },
      [this](const StoreResponse& response) { on_watch_response(response); });
}

void StateReplica::on_watch_response(const StoreResponse& response) {
  is_long_polling_ = false;
  std::vector<FreshnessHandler> readers = readers_.take_open_watch_readers();
  std::optional<Revision> revision = response.status == 200 ? watched_revision(response.body) : std::nullopt;
  if (!revision) {
    for (const FreshnessHandler& on_done : readers) on_done(false);
    // 410 means that changes since this revision are no longer available, so the keys are listed again.
    if (response.status == 410) return start();
    return retry_timer_.schedule(watch_retry_s);
  }
  freshness_.on_watch_response(*revision, response.sent_at);
  publish_freshness();
  forget_confirmed_removals();
  for (const FreshnessHandler& on_done : readers) on_done(true);
  if (watch_progress_.has_changes && on_change) on_change();
  schedule_watch();
}

void StateReplica::apply_event(const Json& event) {
  if (watch_progress_.has_unreadable_event) return;
  auto update = state::read_event(event);
  if (!update) {
    watch_progress_.has_unreadable_event = true;
    return;
  }
  watch_progress_.has_changes = true;
  apply_update(*update);
}

std::optional<Revision> StateReplica::watched_revision(const Json& body) const {
  auto revision = state::read_watch_revision(body);
  if (revision && !watch_progress_.has_unreadable_event) return revision;
  log_unreadable_response("/watch", "a field or an event is missing or invalid");
  return std::nullopt;
}

void StateReplica::forget_confirmed_removals() {
  for (auto it = unconfirmed_removals_.begin(); it != unconfirmed_removals_.end();) {
    it = it->second <= freshness_.revision() ? unconfirmed_removals_.erase(it) : std::next(it);
  }
}

void StateReplica::schedule_watch() {
  double elapsed = clock_() - last_watch_at_;
  double interval = scheduler_.owns_any()      ? owner_watch_interval_s
                    : readers_.is_read_often() ? frequent_reads_watch_interval_s
                                               : non_owner_watch_interval_s;
  if (elapsed >= interval) {
    watch();
  } else {
    retry_timer_.schedule(interval - elapsed);
  }
}

bool StateReplica::accept_revision(const std::string& key, Revision revision, bool is_removal) {
  // A put that is older than a removal that has been applied must not restore the key.
  auto removal = unconfirmed_removals_.find(key);
  if (removal != unconfirmed_removals_.end() && revision <= removal->second) return false;
  auto applied = revisions_.find(key);
  bool is_known = applied != revisions_.end();
  if (is_known && revision <= applied->second && !(is_removal && revision == applied->second)) return false;
  if (!is_removal) {
    revisions_[key] = revision;
    return true;
  }
  if (!is_known) return false;
  revisions_.erase(applied);
  unconfirmed_removals_[key] = revision;
  return true;
}

void StateReplica::apply_update(const state::KeyUpdate& update) {
  const auto& [key, value, revision] = update;
  if (!accept_revision(key, revision, value == nullptr)) return;
  if (value != nullptr && !has_valid_texts(key, *value)) return log_unreadable(key);
  if (key == state::catalog_key) {
    if (value != nullptr && on_catalog) on_catalog(*value);
    return;
  }
  auto change = state::decode(key, value, state_);
  if (change) return state_.apply(*change, revision, clock_());
  if (value != nullptr) log_unreadable(key);
}

void StateReplica::apply_own_write(const std::vector<std::pair<std::string, Change>>& changes,
                                   Revision revision) {
  if (revision <= freshness_.revision()) return;  // already applied from the watch
  for (const auto& [key, change] : changes) {
    // The replica does not hold final phases, whose keys are not watched.
    if (std::holds_alternative<FinalPhaseKey>(change.key)) continue;
    if (accept_revision(key, revision, change.is_removal())) state_.apply(change, revision, clock_());
  }
}

}  // namespace oxbowmill::service
