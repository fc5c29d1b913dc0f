#include "oxbowmill/state/store.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace oxbowmill::state {

namespace {
constexpr double call_timeout_s = 2.0;
constexpr double user_queue_timeout_s = 0.8;  // longer than this no user's request waits here for its turn
// A call that gets no answer holds its connection until it times out. With six of them a share of unanswered
// transactions, or a slow service, held up everything else: polls, placements and the transactions' own
// repeats.
constexpr std::size_t connections = 32;
}  // namespace

Store::Store(event_base* base, const net::Address& address, const Settings& settings,
             std::function<double()> now)
    : clock_(std::move(now)),
      settings_(settings),
      client_(base, address, connections),
      lease_client_(base, address, 1),
      watch_client_(base, address, 1),
      request_limit_(1, 1),
      change_limit_(1, 1),
      dispatch_timer_(base, [this] { dispatch(); }) {
  set_live_controllers(settings.controller_count);
}

void Store::set_live_controllers(std::size_t n) {
  // The work is uneven over the nodes, so each may use more than an even share; 429 settles the rest.
  double share = n <= 1 ? 0.9 : 0.7;
  double rps = settings_.state_rps * share, writes = settings_.state_write_rps * share;
  request_limit_.set_rate(rps, rps / 2);
  change_limit_.set_rate(writes, std::max(writes / 2, static_cast<double>(settings_.max_transaction_ops)));
}

std::size_t Store::backlog() const {
  std::size_t n = client_.queued();
  for (const auto& q : queues_) n += q.size();
  return n;
}

double Store::unresponsive_for() const {
  return unanswered_ == 0 ? 0 : clock_() - last_response_at_;
}

void Store::drop_stale_user_calls(double now) {
  // Its user would wait in vain and hold a connection: the answer is "come back", at once.
  auto& queue = queues_[static_cast<std::size_t>(Urgency::user)];
  while (!queue.empty() && now - queue.front().queued_at > user_queue_timeout_s) {
    StoreResponseHandler fn = std::move(queue.front().on_response);
    queue.pop_front();
    fn({});
  }
  if (!queue.empty() && !dispatch_timer_.pending()) dispatch_timer_.schedule(user_queue_timeout_s);
}

void Store::enqueue(Urgency urgency, Call call) {
  call.queued_at = clock_();
  queues_[static_cast<std::size_t>(urgency)].push_back(std::move(call));
  dispatch();
}

void Store::dispatch() {
  double now = clock_();
  drop_stale_user_calls(now);
  if (now < paused_until_) {
    if (!dispatch_timer_.pending()) dispatch_timer_.schedule(paused_until_ - now);
    return;
  }
  for (auto& queue : queues_) {
    while (!queue.empty()) {
      // What waits here goes in order of urgency; what waits for a connection does not.
      if (client_.all_busy()) return;
      // What changes nothing does not wait for changes: behind a burst of submissions, polls of jobs that
      // were over waited until they were refused, while others were answered from the tables.
      auto next = queue.begin();
      double wait = request_limit_.wait_for(1, now);
      double for_changes = next->changes > 0 ? change_limit_.wait_for(next->changes, now) : 0;
      if (wait <= 0 && for_changes > 0) {
        next = std::find_if(queue.begin(), queue.end(), [](const Call& c) { return c.changes == 0; });
        if (next == queue.end()) wait = for_changes;
      }
      if (wait > 0) {
        if (!dispatch_timer_.pending()) dispatch_timer_.schedule(wait + 0.002);
        // Less urgent calls must not overtake by being smaller.
        return;
      }
      Call call = std::move(*next);
      queue.erase(next);
      request_limit_.take(1, now);
      if (call.changes > 0) change_limit_.take(call.changes, now);
      send(client_, std::move(call));
    }
  }
}

void Store::send(net::HttpClient& client, Call call) {
  double sent_at = clock_();
  bool counts = &client == &client_;
  if (counts && unanswered_++ == 0) last_response_at_ = sent_at;
  client.send(call.method, call.path, std::move(call.body), call.timeout_s,
              [this, sent_at, counts, on_response = std::move(call.on_response),
               path = call.path](const net::Response& http_response) {
                if (counts) --unanswered_;
                if (counts && http_response.status != 0) last_response_at_ = clock_();
                StoreResponse response;
                response.status = http_response.status;
                response.sent_at = sent_at;
                if (!http_response.body.empty()) {
                  response.body = Json::from_cbor(http_response.body, true, false);
                  if (response.body.is_discarded() || !response.body.is_object()) {
                    SPDLOG_ERROR("state service: unreadable answer to {}", path);
                    response.status = 0;
                    response.body = Json::object();
                  }
                }
                if (http_response.status == 429 || http_response.status == 503) {
                  paused_until_ =
                      std::max(paused_until_, clock_() + (http_response.status == 429 ? 0.1 : 0.25));
                } else if (response.status != 0) {
                  last_success_at_ = clock_();
                }
                on_response(response);
                if (counts) dispatch();
              });
}

void Store::get(const std::string& key, Urgency urgency, StoreResponseHandler on_response) {
  enqueue(urgency, {EVHTTP_REQ_GET, "/store/" + key, "", 0, call_timeout_s, std::move(on_response)});
}

void Store::list(const std::string& prefix, const std::string& from, StoreResponseHandler on_response) {
  std::string path = "/store?prefix=" + prefix + "&most=500";
  if (!from.empty()) path += "&from=" + from;
  enqueue(Urgency::ownership, {EVHTTP_REQ_GET, path, "", 0, 5, std::move(on_response)});
}

void Store::commit(const Json& body, Urgency urgency, StoreResponseHandler on_response) {
  auto changes = static_cast<double>(body.at("apply").size());
  enqueue(urgency,
          {EVHTTP_REQ_POST, "/txn", wire::encode(body), changes, call_timeout_s, std::move(on_response)});
}

void Store::acquire_lease(double life_s, StoreResponseHandler on_response) {
  request_limit_.take(1, clock_());
  send(lease_client_,
       {EVHTTP_REQ_POST, "/holds", wire::encode({{"life_ms", static_cast<int>(life_s * 1000)}}), 0, 1.5,
        std::move(on_response)});
}

void Store::renew_lease(std::uint64_t id, StoreResponseHandler on_response) {
  request_limit_.take(1, clock_());
  send(lease_client_, {EVHTTP_REQ_POST, "/holds/" + std::to_string(id) + "/renew",
                       wire::encode(Json::object()), 0, 1.5, std::move(on_response)});
}

void Store::end_lease(std::uint64_t id, StoreResponseHandler on_response) {
  request_limit_.take(1, clock_());
  send(lease_client_,
       {EVHTTP_REQ_DELETE, "/holds/" + std::to_string(id), "", 0, 1.5, std::move(on_response)});
}

void Store::watch(const std::string& prefix, Revision from, double wait_s, StoreResponseHandler on_response) {
  request_limit_.take(1, clock_());
  send(watch_client_, {EVHTTP_REQ_GET,
                       "/watch?prefix=" + prefix + "&from=" + std::to_string(from) +
                           "&hold_ms=" + std::to_string(static_cast<int>(wait_s * 1000)),
                       "", 0, wait_s + 60, std::move(on_response)});
}

}  // namespace oxbowmill::state
