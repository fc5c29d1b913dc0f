// Client of the state service: guarded transactions, reads, holds and the watch, within the node's share of
// the request and change limits.
#pragma once

#include <deque>

#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/net/http.h"
#include "oxbowmill/state/keys.h"

namespace oxbowmill::state {

using wire::Json;

struct StoreResponse {
  int status = 0;  // 0: no answer, or one that cannot be read
  Json body;
  double sent_at = 0;
};
using StoreResponseHandler = std::function<void(const StoreResponse&)>;

class Store {
 public:
  Store(event_base* base, const net::Address& address, const Settings& settings, std::function<double()> now);

  void get(const std::string& key, Urgency urgency, StoreResponseHandler on_response);
  void list(const std::string& prefix, const std::string& from, StoreResponseHandler on_response);
  void commit(const Json& body, Urgency urgency, StoreResponseHandler on_response);
  void acquire_lease(double life_s, StoreResponseHandler on_response);
  void renew_lease(std::uint64_t id, StoreResponseHandler on_response);
  /// Ends a hold at once, with the keys attached to it.
  void end_lease(std::uint64_t id, StoreResponseHandler on_response);
  void watch(const std::string& prefix, Revision from, double wait_s, StoreResponseHandler on_response);
  void set_live_controllers(std::size_t n);
  /// When an answer other than 429 and 503 last came.
  double last_success_at() const { return last_success_at_; }
  std::size_t backlog() const;
  /// Calls are out and none has been answered for so long, with whatever status.
  double unresponsive_for() const;

 private:
  struct Call {
    evhttp_cmd_type method;
    std::string path, body;
    double changes = 0, timeout_s = 2;
    StoreResponseHandler on_response;
    double queued_at = 0;
  };
  void drop_stale_user_calls(double now);
  void enqueue(Urgency urgency, Call call);
  void dispatch();
  void send(net::HttpClient& client, Call call);
  std::function<double()> clock_;
  const Settings& settings_;
  net::HttpClient client_, lease_client_, watch_client_;
  TokenBucket request_limit_, change_limit_;
  std::deque<Call> queues_[6];
  net::Timer dispatch_timer_;
  double last_success_at_ = -1e9;
  double paused_until_ = 0;
  std::size_t unanswered_ = 0;  // calls without an answer yet
  double last_response_at_ = 0;
};

}  // namespace oxbowmill::state
