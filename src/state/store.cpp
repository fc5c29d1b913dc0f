#include "oxbowmill/state/store.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "oxbowmill/state/responses.h"

namespace oxbowmill::state {

namespace {

namespace path {
constexpr const char* keys = "/store";
constexpr const char* transactions = "/txn";
constexpr const char* leases = "/holds";
constexpr const char* watch = "/watch";
}  // namespace path

constexpr double call_timeout_s = 2.0;
constexpr double list_timeout_s = 5.0;
constexpr double lease_timeout_s = 1.5;
constexpr double watch_timeout_margin_s = 60.0;     // added to the time for which the service holds a watch
constexpr double user_queue_timeout_s = 0.8;        // longest time that a user's call is queued
constexpr double limit_check_margin_s = 0.002;      // the timer must not expire just before the limit allows
constexpr double pause_after_throttled_s = 0.1;     // after 429
constexpr double pause_after_unavailable_s = 0.25;  // after 503
constexpr int too_many_requests = 429;
// An unanswered call occupies its connection until it times out. With only six connections, unanswered
// transactions or a slow service delay all other calls: status queries, placements and retries.
constexpr std::size_t connection_count = 32;
// Shares of the service's limits that a controller uses. Load is uneven across controllers, so the shares of
// several controllers may exceed the limits together. The service then responds with 429, which pauses them.
constexpr double share_of_single_controller = 0.9;
constexpr double share_of_several_controllers = 0.7;

std::string lease_path(std::uint64_t id) {
  return std::string(path::leases) + "/" + std::to_string(id);
}

/// Treats a response whose body is not a CBOR map as no response. The texts in the body are not checked.
StoreResponse read_response(const net::Response& http_response, const std::string& path, double sent_at,
                            const StoreEventHandler& on_event) {
  StoreResponse response;
  response.status = http_response.status;
  response.sent_at = sent_at;
  if (http_response.body.empty()) return response;
  // One unreadable value must not hide the others, so the reader of each value checks its texts.
  wire::BodyRules rules = wire::large_body_rules;
  rules.text_check = wire::TextCheck::by_caller;
  // What changed during a long silence is too much to be held as a whole.
  wire::ListReader events{events_field, on_event};
  bool has_events = on_event && http_response.status == 200;
  auto body = wire::decode_map(http_response.body, rules, has_events ? &events : nullptr);
  if (body) {
    response.body = std::move(*body);
    return response;
  }
  SPDLOG_ERROR("state service response unreadable path={} reason={} size={}", path,
               wire::to_json_text(body.error()), http_response.body.size());
  response.status = 0;
  response.body = Json::object();
  return response;
}

}  // namespace

Store::Store(event_base* base, const net::Address& address, const Settings& settings,
             std::function<double()> now)
    : clock_(std::move(now)),
      settings_(settings),
      client_(base, address, connection_count),
      lease_client_(base, address, 1),
      watch_client_(base, address, 1),
      request_limit_(1, 1),
      change_limit_(1, 1),
      dispatch_timer_(base, [this] { dispatch(); }) {
  set_live_controllers(settings.controller_count);
}

void Store::set_live_controllers(std::size_t count) {
  double share = count <= 1 ? share_of_single_controller : share_of_several_controllers;
  double requests_per_s = settings_.state_rps * share, changes_per_s = settings_.state_write_rps * share;
  request_limit_.set_rate(requests_per_s, requests_per_s / 2);
  change_limit_.set_rate(changes_per_s,
                         std::max(changes_per_s / 2, static_cast<double>(settings_.max_transaction_ops)));
}

std::size_t Store::backlog() const {
  std::size_t waiting = client_.queued();
  for (const Queue& queue : queues_) waiting += queue.size();
  return waiting;
}

double Store::unresponsive_for() const {
  return unanswered_ == 0 ? 0 : clock_() - last_response_at_;
}

void Store::drop_expired_user_calls(double now) {
  // Waiting longer would be in vain and would keep the user's connection occupied. The handler is called
  // without a response, so that the client is told to retry at once.
  Queue& queue = queues_[static_cast<std::size_t>(Urgency::user)];
  while (!queue.empty() && now - queue.front().queued_at > user_queue_timeout_s) {
    StoreResponseHandler on_response = std::move(queue.front().on_response);
    queue.pop_front();
    on_response({});
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
  drop_expired_user_calls(now);
  if (now < paused_until_) {
    if (!dispatch_timer_.pending()) dispatch_timer_.schedule(paused_until_ - now);
    return;
  }
  for (Queue& queue : queues_) {
    while (!queue.empty()) {
      // Calls wait here and not in the HTTP client, whose queue is not ordered by urgency.
      if (client_.all_busy()) return;
      NextCall next = next_call(queue, now);
      if (next.wait_s > 0) {
        if (!dispatch_timer_.pending()) dispatch_timer_.schedule(next.wait_s + limit_check_margin_s);
        // A less urgent call must not overtake because it contains fewer changes.
        return;
      }
      Call call = std::move(*next.call);
      queue.erase(next.call);
      request_limit_.take(1, now);
      if (call.changes > 0) change_limit_.take(call.changes, now);
      send(client_, std::move(call));
    }
  }
}

Store::NextCall Store::next_call(Queue& queue, double now) {
  NextCall next{queue.begin(), request_limit_.wait_for(1, now)};
  double wait_for_changes = next.call->changes > 0 ? change_limit_.wait_for(next.call->changes, now) : 0;
  if (next.wait_s > 0 || wait_for_changes <= 0) return next;
  // A read does not wait for the limit on changes. Otherwise a burst of submissions would let status queries
  // of finished jobs, which the replica cannot answer, time out in the queue.
  next.call = std::find_if(queue.begin(), queue.end(), [](const Call& call) { return call.changes == 0; });
  if (next.call == queue.end()) next.wait_s = wait_for_changes;
  return next;
}

void Store::send(net::HttpClient& client, Call call) {
  double sent_at = clock_();
  bool is_counted = &client == &client_;
  if (is_counted && unanswered_++ == 0) last_response_at_ = sent_at;
  client.send(call.method, call.path, std::move(call.body), call.timeout_s,
              [this, sent_at, is_counted, on_response = std::move(call.on_response),
               on_event = std::move(call.on_event), path = call.path](const net::Response& http_response) {
                if (is_counted) --unanswered_;
                if (is_counted && http_response.status != 0) last_response_at_ = clock_();
                StoreResponse response = read_response(http_response, path, sent_at, on_event);
                record_response(http_response.status, response.status);
                on_response(response);
                if (is_counted) dispatch();
              });
}

void Store::record_response(int http_status, int status) {
  if (http_status == too_many_requests) {
    paused_until_ = std::max(paused_until_, clock_() + pause_after_throttled_s);
  } else if (http_status == HTTP_SERVUNAVAIL) {
    paused_until_ = std::max(paused_until_, clock_() + pause_after_unavailable_s);
  } else if (status != 0) {
    last_success_at_ = clock_();
  }
}

void Store::get(const std::string& key, Urgency urgency, StoreResponseHandler on_response) {
  enqueue(urgency, {EVHTTP_REQ_GET, std::string(path::keys) + "/" + key, "", 0, call_timeout_s,
                    std::move(on_response)});
}

void Store::list(const std::string& prefix, const std::string& from, StoreResponseHandler on_response) {
  std::string path = std::string(path::keys) + "?prefix=" + prefix + "&most=500";
  if (!from.empty()) path += "&from=" + from;
  enqueue(Urgency::ownership, {EVHTTP_REQ_GET, path, "", 0, list_timeout_s, std::move(on_response)});
}

void Store::commit(const Json& body, Urgency urgency, StoreResponseHandler on_response) {
  auto changes = static_cast<double>(body.at("apply").size());
  enqueue(urgency, {EVHTTP_REQ_POST, path::transactions, wire::encode(body), changes, call_timeout_s,
                    std::move(on_response)});
}

void Store::send_lease_call(evhttp_cmd_type method, std::string path, std::string body,
                            StoreResponseHandler on_response) {
  request_limit_.take(1, clock_());
  send(lease_client_, {method, std::move(path), std::move(body), 0, lease_timeout_s, std::move(on_response)});
}

void Store::acquire_lease(double duration_s, StoreResponseHandler on_response) {
  send_lease_call(EVHTTP_REQ_POST, path::leases,
                  wire::encode({{"life_ms", static_cast<int>(duration_s * 1000)}}), std::move(on_response));
}

void Store::renew_lease(std::uint64_t id, StoreResponseHandler on_response) {
  send_lease_call(EVHTTP_REQ_POST, lease_path(id) + "/renew", wire::encode(Json::object()),
                  std::move(on_response));
}

void Store::end_lease(std::uint64_t id, StoreResponseHandler on_response) {
  send_lease_call(EVHTTP_REQ_DELETE, lease_path(id), "", std::move(on_response));
}

void Store::watch(const std::string& prefix, Revision from, double wait_s, StoreEventHandler on_event,
                  StoreResponseHandler on_response) {
  request_limit_.take(1, clock_());
  std::string path = std::string(path::watch) + "?prefix=" + prefix + "&from=" + std::to_string(from) +
                     "&hold_ms=" + std::to_string(static_cast<int>(wait_s * 1000));
  Call call{EVHTTP_REQ_GET, path, "", 0, wait_s + watch_timeout_margin_s, std::move(on_response)};
  call.on_event = std::move(on_event);
  send(watch_client_, std::move(call));
}

}  // namespace oxbowmill::state
