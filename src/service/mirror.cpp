#include "oxbowmill/service/mirror.h"

#include <spdlog/spdlog.h>

namespace oxbowmill::service {

using state::StoreAnswer;
using wire::Json;

namespace {
constexpr double watch_hold_s = 1.0;
// A watch that answers at once is not opened again sooner: opening counts against the request limit.
constexpr double watch_spacing_s = 0.12;
constexpr double nudged_spacing_s = 0.03;
// A node that owns nothing only has to know who does: were each to follow every change at once, watching
// would take the room of placements as controllers are added, and most of a small node's processor.
constexpr double idle_spacing_s = 0.6;
}  // namespace

Mirror::Mirror(event_base* base, state::Store& store, Model& model, Scheduler& scheduler, Hold& hold,
               std::function<double()> now)
    : store_(store),
      model_(model),
      scheduler_(scheduler),
      hold_(hold),
      now_(std::move(now)),
      retry_(base, [this] {
        if (state_ == SyncState::live) {
          watch();
        } else {
          start();
        }
      }) {}

void Mirror::start() {
  set_state(SyncState::listing);
  base_ = 0;
  listed_.clear();
  list_from("");
}

void Mirror::list_from(const std::string& from) {
  store_.list(state::live_prefix, from, [this](const StoreAnswer& a) {
    auto items = a.body.find("items");
    if (a.status != 200 || items == a.body.end() || !items->is_array()) {
      retry_.after(0.3);
      return;
    }
    if (base_ == 0) base_ = a.body.value("ledger_rev", Stamp{0});
    std::string last;
    for (const Json& item : *items) {
      last = item.value("k", std::string());
      listed_.insert(last);
      auto value = item.find("value");
      if (value != item.end()) take(last, &*value, item.value("stamp", Stamp{0}));
    }
    if (a.body.value("truncated", false) && !last.empty()) {
      list_from(last);
      return;
    }
    // Keys that were known before and are not listed went away while nobody watched.
    std::vector<std::string> gone;
    for (const auto& [key, stamp] : stamps_) {
      if (stamp <= base_ && listed_.count(key) == 0) gone.push_back(key);
    }
    for (const std::string& key : gone) take(key, nullptr, base_);
    listed_.clear();
    revision_ = base_;
    set_state(SyncState::live);
    scheduler_.seen_revision(revision_);
    hold_.watch_answered(a.sent_at);
    SPDLOG_INFO("state read up to revision {}: {} keys", revision_, stamps_.size());
    watch();
  });
}

void Mirror::nudge(Stamp revision) {
  if (state_ != SyncState::live || revision <= revision_ || !retry_.pending()) return;
  if (!scheduler_.owns_any() || now_() - last_watch_ < nudged_spacing_s) return;
  retry_.cancel();
  watch();
}

void Mirror::watch() {
  last_watch_ = now_();
  store_.watch(state::live_prefix, revision_, watch_hold_s, [this](const StoreAnswer& a) {
    if (a.status == 410) {
      start();
      return;
    }
    if (a.status != 200) {
      retry_.after(0.2);
      return;
    }
    auto news = a.body.find("news");
    Stamp revision = a.body.value("ledger_rev", Stamp{0});
    bool any = false;
    if (news != a.body.end() && news->is_array()) {
      for (const Json& n : *news) {
        auto put = n.find("put");
        auto del = n.find("delete");
        Stamp stamp = n.value("stamp", Stamp{0});
        any = true;
        if (put != n.end() && put->is_string()) {
          auto value = n.find("value");
          if (value != n.end()) take(put->get<std::string>(), &*value, stamp);
        } else if (del != n.end() && del->is_string()) {
          take(del->get<std::string>(), nullptr, stamp);
        }
      }
    }
    revision_ = std::max(revision_, revision);
    scheduler_.seen_revision(revision_);
    hold_.watch_answered(a.sent_at);
    for (auto it = removed_.begin(); it != removed_.end();) {
      it = it->second <= revision_ ? removed_.erase(it) : std::next(it);
    }
    if (any && on_change) on_change();
    double since = now_() - last_watch_;
    double spacing = scheduler_.owns_any() ? watch_spacing_s : idle_spacing_s;
    if (since >= spacing) {
      watch();
    } else {
      retry_.after(spacing - since);
    }
  });
}

bool Mirror::admit(const std::string& key, Stamp stamp, bool removal) {
  // A put that is older than a removal already applied must not bring the key back.
  auto r = removed_.find(key);
  if (r != removed_.end() && stamp <= r->second) return false;
  auto it = stamps_.find(key);
  if (it != stamps_.end() && stamp <= it->second && !(removal && stamp == it->second)) return false;
  if (removal) {
    if (it == stamps_.end()) return false;
    stamps_.erase(it);
    removed_[key] = stamp;
  } else {
    stamps_[key] = stamp;
  }
  return true;
}

void Mirror::take(const std::string& key, const Json* value, Stamp stamp) {
  if (!admit(key, stamp, value == nullptr)) return;
  if (key == state::catalog_key) {
    if (value != nullptr && on_catalog) on_catalog(*value);
    return;
  }
  auto change = state::decode(key, value, model_);
  if (!change) {
    if (value != nullptr) SPDLOG_ERROR("state service: unreadable value of {}", key);
    return;
  }
  model_.apply(*change, stamp, now_());
}

void Mirror::applied(const std::vector<std::pair<std::string, Change>>& changes, Stamp revision) {
  if (revision <= revision_) return;  // the watch has brought it already
  for (const auto& [key, change] : changes) {
    if (std::holds_alternative<FinalKey>(change.key)) continue;
    if (admit(key, revision, change.removal())) model_.apply(change, revision, now_());
  }
}

}  // namespace oxbowmill::service
