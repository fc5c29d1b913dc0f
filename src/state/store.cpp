#include "oxbowmill/state/store.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace oxbowmill::state {

namespace {
constexpr double call_timeout_s = 2.0;
constexpr double user_wait_s = 0.8;  // longer than this no user's request waits here for its turn
// A call that gets no answer holds its connection until it times out. With six of them a share of unanswered
// transactions, or a slow service, held up everything else: polls, placements and the transactions' own
// repeats.
constexpr std::size_t connections = 32;
}  // namespace

Store::Store(event_base* base, const net::Address& address, const Settings& settings,
             std::function<double()> now)
    : now_(std::move(now)),
      settings_(settings),
      calls_(base, address, connections),
      holds_(base, address, 1),
      watch_(base, address, 1),
      requests_(1, 1),
      changes_(1, 1),
      timer_(base, [this] { pump(); }) {
  set_live_nodes(settings.nodes);
}

void Store::set_live_nodes(std::size_t n) {
  // The work is uneven over the nodes, so each may use more than an even share; 429 settles the rest.
  double share = n <= 1 ? 0.9 : 0.7;
  double rps = settings_.state_rps * share, writes = settings_.state_write_rps * share;
  requests_.set_rate(rps, rps / 2);
  changes_.set_rate(writes, std::max(writes / 2, static_cast<double>(settings_.txn_ops)));
}

std::size_t Store::backlog() const {
  std::size_t n = calls_.waiting();
  for (const auto& q : queues_) n += q.size();
  return n;
}

double Store::silent_for() const {
  return out_ == 0 ? 0 : now_() - last_heard_;
}

void Store::drop_stale(double now) {
  // Its user would wait in vain and hold a connection: the answer is "come back", at once.
  auto& q = queues_[static_cast<std::size_t>(Urgency::user)];
  while (!q.empty() && now - q.front().queued_at > user_wait_s) {
    AnswerFn fn = std::move(q.front().fn);
    q.pop_front();
    fn({});
  }
  if (!q.empty() && !timer_.pending()) timer_.after(user_wait_s);
}

void Store::submit(Urgency urgency, Call call) {
  call.queued_at = now_();
  queues_[static_cast<std::size_t>(urgency)].push_back(std::move(call));
  pump();
}

void Store::pump() {
  double now = now_();
  drop_stale(now);
  if (now < paused_until_) {
    if (!timer_.pending()) timer_.after(paused_until_ - now);
    return;
  }
  for (auto& q : queues_) {
    while (!q.empty()) {
      // What waits here goes in order of urgency; what waits for a connection does not.
      if (calls_.full()) return;
      // What changes nothing does not wait for changes: behind a burst of submissions, polls of jobs that
      // were over waited until they were refused, while others were answered from the tables.
      auto next = q.begin();
      double wait = requests_.wait_for(1, now);
      double for_changes = next->changes > 0 ? changes_.wait_for(next->changes, now) : 0;
      if (wait <= 0 && for_changes > 0) {
        next = std::find_if(q.begin(), q.end(), [](const Call& c) { return c.changes == 0; });
        if (next == q.end()) wait = for_changes;
      }
      if (wait > 0) {
        if (!timer_.pending()) timer_.after(wait + 0.002);
        // Less urgent calls must not overtake by being smaller.
        return;
      }
      Call call = std::move(*next);
      q.erase(next);
      requests_.take(1, now);
      if (call.changes > 0) changes_.take(call.changes, now);
      send(calls_, std::move(call));
    }
  }
}

void Store::send(net::HttpClient& client, Call call) {
  double sent_at = now_();
  bool counts = &client == &calls_;
  if (counts && out_++ == 0) last_heard_ = sent_at;
  client.send(call.method, call.path, std::move(call.body), call.timeout_s,
              [this, sent_at, counts, fn = std::move(call.fn), path = call.path](const net::Response& r) {
                if (counts) --out_;
                if (counts && r.status != 0) last_heard_ = now_();
                StoreAnswer a;
                a.status = r.status;
                a.sent_at = sent_at;
                if (!r.body.empty()) {
                  a.body = Json::from_cbor(r.body, true, false);
                  if (a.body.is_discarded() || !a.body.is_object()) {
                    SPDLOG_ERROR("state service: unreadable answer to {}", path);
                    a.status = 0;
                    a.body = Json::object();
                  }
                }
                if (r.status == 429 || r.status == 503) {
                  paused_until_ = std::max(paused_until_, now_() + (r.status == 429 ? 0.1 : 0.25));
                } else if (a.status != 0) {
                  last_good_ = now_();
                }
                fn(a);
                if (counts) pump();
              });
}

void Store::get(const std::string& key, Urgency urgency, AnswerFn fn) {
  submit(urgency, {EVHTTP_REQ_GET, "/store/" + key, "", 0, call_timeout_s, std::move(fn)});
}

void Store::list(const std::string& prefix, const std::string& from, AnswerFn fn) {
  std::string path = "/store?prefix=" + prefix + "&most=500";
  if (!from.empty()) path += "&from=" + from;
  submit(Urgency::claim, {EVHTTP_REQ_GET, path, "", 0, 5, std::move(fn)});
}

void Store::txn(const Json& body, Urgency urgency, AnswerFn fn) {
  auto changes = static_cast<double>(body.at("apply").size());
  submit(urgency, {EVHTTP_REQ_POST, "/txn", wire::encode(body), changes, call_timeout_s, std::move(fn)});
}

void Store::open_hold(double life_s, AnswerFn fn) {
  requests_.take(1, now_());
  send(holds_, {EVHTTP_REQ_POST, "/holds", wire::encode({{"life_ms", static_cast<int>(life_s * 1000)}}), 0,
                1.5, std::move(fn)});
}

void Store::renew_hold(std::uint64_t id, AnswerFn fn) {
  requests_.take(1, now_());
  send(holds_, {EVHTTP_REQ_POST, "/holds/" + std::to_string(id) + "/renew", wire::encode(Json::object()), 0,
                1.5, std::move(fn)});
}

void Store::end_hold(std::uint64_t id, AnswerFn fn) {
  requests_.take(1, now_());
  send(holds_, {EVHTTP_REQ_DELETE, "/holds/" + std::to_string(id), "", 0, 1.5, std::move(fn)});
}

void Store::watch(const std::string& prefix, Stamp from, double hold_s, AnswerFn fn) {
  requests_.take(1, now_());
  send(watch_, {EVHTTP_REQ_GET,
                "/watch?prefix=" + prefix + "&from=" + std::to_string(from) +
                    "&hold_ms=" + std::to_string(static_cast<int>(hold_s * 1000)),
                "", 0, hold_s + 60, std::move(fn)});
}

}  // namespace oxbowmill::state
