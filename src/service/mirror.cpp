#include "oxbowmill/service/mirror.h"

#include <spdlog/spdlog.h>

#include <cmath>

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
// Readers wait for the tables no longer than for a call of their own.
constexpr double reader_wait_s = 0.8;
constexpr double read_memory_s = 2;
constexpr double often = 8;  // reads remembered from which on watches answer at once and carry them
constexpr double reading_spacing_s = 0.3;
}  // namespace

Mirror::Mirror(event_base* base, state::Store& store, Model& model, Scheduler& scheduler, Hold& hold,
               std::function<double()> now)
    : store_(store),
      model_(model),
      scheduler_(scheduler),
      hold_(hold),
      now_(std::move(now)),
      retry_(base,
             [this] {
               if (view_.live()) {
                 watch();
               } else {
                 start();
               }
             }),
      reader_timer_(base, [this] { give_up_readers(); }) {}

void Mirror::start() {
  view_.list();
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
    view_.page(a.body.value("ledger_rev", Stamp{0}), a.sent_at);
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
      if (stamp <= view_.revision() && listed_.count(key) == 0) gone.push_back(key);
    }
    for (const std::string& key : gone) take(key, nullptr, view_.revision());
    listed_.clear();
    view_.listed();
    scheduler_.seen_revision(view_.revision());
    hold_.watch_answered(view_.as_of());
    SPDLOG_INFO("state read up to revision {}: {} keys", view_.revision(), stamps_.size());
    watch();
  });
}

void Mirror::nudge(Stamp revision) {
  if (!view_.live() || revision <= view_.revision() || !retry_.pending()) return;
  if (!scheduler_.owns_any() || now_() - last_watch_ < nudged_spacing_s) return;
  retry_.cancel();
  watch();
}

bool Mirror::read_often() const {
  return reads_ * std::exp((reads_at_ - now_()) / read_memory_s) >= often;
}

void Mirror::when_current(std::function<void(bool)> fn) {
  double now = now_();
  reads_ = reads_ * std::exp((reads_at_ - now) / read_memory_s) + 1;
  reads_at_ = now;
  // A watch that was open before the reader came speaks for an earlier moment, and one that is held open may
  // say so only much later.
  bool stuck = !riding_.empty() && now - last_watch_ > reader_wait_s / 2;
  if (!view_.live() || held_open_ || stuck || !read_often()) return fn(false);
  waiting_.push_back({std::move(fn), now});
  if (!reader_timer_.pending()) reader_timer_.after(reader_wait_s);
}

void Mirror::give_up_readers() {
  double now = now_();
  std::vector<std::function<void(bool)>> late;
  for (auto* q : {&riding_, &waiting_}) {
    while (!q->empty() && now - q->front().since >= reader_wait_s) {
      late.push_back(std::move(q->front().fn));
      q->pop_front();
    }
  }
  if (!riding_.empty() || !waiting_.empty()) {
    double since = riding_.empty() ? waiting_.front().since : riding_.front().since;
    reader_timer_.after(std::max(0.001, since + reader_wait_s - now));
  }
  for (auto& fn : late) fn(false);
}

void Mirror::watch() {
  last_watch_ = now_();
  held_open_ = !read_often();
  for (Reader& r : waiting_) riding_.push_back(std::move(r));
  waiting_.clear();
  Stamp from = view_.revision();
  store_.watch(state::live_prefix, from, held_open_ ? watch_hold_s : 0, [this](const StoreAnswer& a) {
    held_open_ = false;
    std::deque<Reader> readers = std::move(riding_);
    riding_.clear();
    auto answer = [&readers](bool current) {
      for (Reader& r : readers) r.fn(current);
    };
    if (a.status != 200) answer(false);
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
    view_.watched(revision, a.sent_at);
    scheduler_.seen_revision(view_.revision());
    hold_.watch_answered(view_.as_of());
    for (auto it = removed_.begin(); it != removed_.end();) {
      it = it->second <= view_.revision() ? removed_.erase(it) : std::next(it);
    }
    answer(true);
    if (any && on_change) on_change();
    double since = now_() - last_watch_;
    double spacing = scheduler_.owns_any() ? watch_spacing_s
                     : read_often()        ? reading_spacing_s
                                           : idle_spacing_s;
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
  if (revision <= view_.revision()) return;  // the watch has brought it already
  for (const auto& [key, change] : changes) {
    if (std::holds_alternative<FinalKey>(change.key)) continue;
    if (admit(key, revision, change.removal())) model_.apply(change, revision, now_());
  }
}

}  // namespace oxbowmill::service
