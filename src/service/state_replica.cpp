#include "oxbowmill/service/state_replica.h"

#include <spdlog/spdlog.h>

#include <cmath>

namespace oxbowmill::service {

using state::StoreResponse;
using wire::Json;

namespace {
constexpr double watch_wait_s = 1.0;
// A watch that answers at once is not opened again sooner: opening counts against the request limit.
constexpr double watch_spacing_s = 0.12;
constexpr double hinted_spacing_s = 0.03;
// A node that owns nothing only has to know who does: were each to follow every change at once, watching
// would take the room of placements as controllers are added, and most of a small node's processor.
constexpr double idle_spacing_s = 0.6;
// Readers wait for the tables no longer than for a call of their own.
constexpr double reader_timeout_s = 0.8;
constexpr double read_rate_decay_s = 2;
constexpr double frequent_reads = 8;  // reads remembered from which on watches answer at once and carry them
constexpr double frequent_reads_spacing_s = 0.3;
}  // namespace

StateReplica::StateReplica(event_base* base, state::Store& store, ClusterState& model, Scheduler& scheduler,
                           ControllerLease& lease, std::function<double()> now)
    : store_(store),
      state_(model),
      scheduler_(scheduler),
      lease_(lease),
      clock_(std::move(now)),
      retry_timer_(base,
                   [this] {
                     if (freshness_.is_live()) {
                       watch();
                     } else {
                       start();
                     }
                   }),
      reader_timer_(base, [this] { time_out_readers(); }) {}

void StateReplica::start() {
  freshness_.on_listing_started();
  listed_keys_.clear();
  list_from("");
}

void StateReplica::list_from(const std::string& from) {
  store_.list(state::live_prefix, from, [this](const StoreResponse& response) {
    auto items = response.body.find("items");
    if (response.status != 200 || items == response.body.end() || !items->is_array()) {
      retry_timer_.schedule(0.3);
      return;
    }
    freshness_.on_page(response.body.value("ledger_rev", Revision{0}), response.sent_at);
    std::string last;
    for (const Json& item : *items) {
      last = item.value("k", std::string());
      listed_keys_.insert(last);
      auto value = item.find("value");
      if (value != item.end()) apply_key(last, &*value, item.value("stamp", Revision{0}));
    }
    if (response.body.value("truncated", false) && !last.empty()) {
      list_from(last);
      return;
    }
    // Keys that were known before and are not listed went away while nobody watched.
    std::vector<std::string> gone;
    for (const auto& [key, revision] : revisions_) {
      if (revision <= freshness_.revision() && listed_keys_.count(key) == 0) gone.push_back(key);
    }
    for (const std::string& key : gone) apply_key(key, nullptr, freshness_.revision());
    listed_keys_.clear();
    freshness_.on_listing_finished();
    scheduler_.applied_revision(freshness_.revision());
    lease_.on_watch_answered(freshness_.as_of());
    SPDLOG_INFO("state read up to revision {}: {} keys", freshness_.revision(), revisions_.size());
    watch();
  });
}

void StateReplica::on_revision_hint(Revision revision) {
  if (!freshness_.is_live() || revision <= freshness_.revision() || !retry_timer_.pending()) return;
  if (!scheduler_.owns_any() || clock_() - last_watch_at_ < hinted_spacing_s) return;
  retry_timer_.cancel();
  watch();
}

bool StateReplica::is_read_often() const {
  return read_rate_ * std::exp((read_rate_at_ - clock_()) / read_rate_decay_s) >= frequent_reads;
}

void StateReplica::when_current(std::function<void(bool)> on_done) {
  double now = clock_();
  read_rate_ = read_rate_ * std::exp((read_rate_at_ - now) / read_rate_decay_s) + 1;
  read_rate_at_ = now;
  // A watch that was open before the reader came speaks for an earlier moment, and one that is held open may
  // say so only much later.
  bool stuck = !watching_readers_.empty() && now - last_watch_at_ > reader_timeout_s / 2;
  if (!freshness_.is_live() || long_polling_ || stuck || !is_read_often()) return on_done(false);
  waiting_readers_.push_back({std::move(on_done), now});
  if (!reader_timer_.pending()) reader_timer_.schedule(reader_timeout_s);
}

void StateReplica::time_out_readers() {
  double now = clock_();
  std::vector<std::function<void(bool)>> late;
  for (auto* q : {&watching_readers_, &waiting_readers_}) {
    while (!q->empty() && now - q->front().since >= reader_timeout_s) {
      late.push_back(std::move(q->front().on_done));
      q->pop_front();
    }
  }
  if (!watching_readers_.empty() || !waiting_readers_.empty()) {
    double since =
        watching_readers_.empty() ? waiting_readers_.front().since : watching_readers_.front().since;
    reader_timer_.schedule(std::max(0.001, since + reader_timeout_s - now));
  }
  for (auto& fn : late) fn(false);
}

void StateReplica::watch() {
  last_watch_at_ = clock_();
  long_polling_ = !is_read_often();
  for (Reader& r : waiting_readers_) watching_readers_.push_back(std::move(r));
  waiting_readers_.clear();
  Revision from = freshness_.revision();
  store_.watch(state::live_prefix, from, long_polling_ ? watch_wait_s : 0,
               [this](const StoreResponse& response) {
                 long_polling_ = false;
                 std::deque<Reader> readers = std::move(watching_readers_);
                 watching_readers_.clear();
                 auto answer = [&readers](bool current) {
                   for (Reader& r : readers) r.on_done(current);
                 };
                 if (response.status != 200) answer(false);
                 if (response.status == 410) {
                   start();
                   return;
                 }
                 if (response.status != 200) {
                   retry_timer_.schedule(0.2);
                   return;
                 }
                 auto watch_events = response.body.find("news");
                 Revision revision = response.body.value("ledger_rev", Revision{0});
                 bool any = false;
                 if (watch_events != response.body.end() && watch_events->is_array()) {
                   for (const Json& watch_event : *watch_events) {
                     auto put = watch_event.find("put");
                     auto removed_key = watch_event.find("delete");
                     Revision stamp = watch_event.value("stamp", Revision{0});
                     any = true;
                     if (put != watch_event.end() && put->is_string()) {
                       auto value = watch_event.find("value");
                       if (value != watch_event.end()) apply_key(put->get<std::string>(), &*value, stamp);
                     } else if (removed_key != watch_event.end() && removed_key->is_string()) {
                       apply_key(removed_key->get<std::string>(), nullptr, stamp);
                     }
                   }
                 }
                 freshness_.on_watch_response(revision, response.sent_at);
                 scheduler_.applied_revision(freshness_.revision());
                 lease_.on_watch_answered(freshness_.as_of());
                 for (auto it = unconfirmed_removals_.begin(); it != unconfirmed_removals_.end();) {
                   it = it->second <= freshness_.revision() ? unconfirmed_removals_.erase(it) : std::next(it);
                 }
                 answer(true);
                 if (any && on_change) on_change();
                 double since = clock_() - last_watch_at_;
                 double spacing = scheduler_.owns_any() ? watch_spacing_s
                                  : is_read_often()     ? frequent_reads_spacing_s
                                                        : idle_spacing_s;
                 if (since >= spacing) {
                   watch();
                 } else {
                   retry_timer_.schedule(spacing - since);
                 }
               });
}

bool StateReplica::accept_revision(const std::string& key, Revision revision, bool removal) {
  // A put that is older than a removal already applied must not bring the key back.
  auto r = unconfirmed_removals_.find(key);
  if (r != unconfirmed_removals_.end() && revision <= r->second) return false;
  auto it = revisions_.find(key);
  if (it != revisions_.end() && revision <= it->second && !(removal && revision == it->second)) return false;
  if (removal) {
    if (it == revisions_.end()) return false;
    revisions_.erase(it);
    unconfirmed_removals_[key] = revision;
  } else {
    revisions_[key] = revision;
  }
  return true;
}

void StateReplica::apply_key(const std::string& key, const Json* value, Revision revision) {
  if (!accept_revision(key, revision, value == nullptr)) return;
  if (key == state::catalog_key) {
    if (value != nullptr && on_catalog) on_catalog(*value);
    return;
  }
  auto change = state::decode(key, value, state_);
  if (!change) {
    if (value != nullptr) SPDLOG_ERROR("state service: unreadable value of {}", key);
    return;
  }
  state_.apply(*change, revision, clock_());
}

void StateReplica::apply_own_write(const std::vector<std::pair<std::string, Change>>& changes,
                                   Revision revision) {
  if (revision <= freshness_.revision()) return;  // the watch has brought it already
  for (const auto& [key, change] : changes) {
    if (std::holds_alternative<FinalPhaseKey>(change.key)) continue;
    if (accept_revision(key, revision, change.is_removal())) state_.apply(change, revision, clock_());
  }
}

}  // namespace oxbowmill::service
