// Client of the state service: guarded transactions, reads, leases and the watch, within this controller's
// share of the service's limits on requests and changes. It owns the calls that wait for their limits. Runs
// in the event loop's thread; handlers are called from the loop, or from within a call that gives up stale
// ones, and may issue further calls.
#pragma once

#include <array>
#include <deque>

#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/net/http.h"
#include "oxbowmill/state/keys.h"

namespace oxbowmill::state {

using wire::Json;

/// The response to one call.
struct StoreResponse {
  /// HTTP status; 0: no response, or one that cannot be read: a write may be applied, even later. 429 and
  /// 503: not executed; 409: a guard of a transaction failed; 404: no such key or lease.
  int status = 0;
  Json body;           ///< the map of the response; null where there is none
  double sent_at = 0;  ///< when the call was sent, by the store's clock
};
/// Takes the response to a call; called once for each.
using StoreResponseHandler = std::function<void(const StoreResponse&)>;

/// Calls of one controller to the state service. Reads and transactions wait in order of urgency for the
/// limits; leases and the watch have connections of their own and never wait.
class Store {
 public:
  /// `now`: seconds of a steady clock. `settings` must outlive the store.
  Store(event_base* base, const net::Address& address, const Settings& settings, std::function<double()> now);

  /// Reads a key.
  void get(const std::string& key, Urgency urgency, StoreResponseHandler on_response);
  /// Reads a page of the keys with a prefix, after the key `from` where that is not empty.
  void list(const std::string& prefix, const std::string& from, StoreResponseHandler on_response);
  /// Executes a transaction: `guards`, and changes under `apply`; all of it or nothing. Throws
  /// nlohmann::json::exception where `apply` is missing.
  void commit(const Json& body, Urgency urgency, StoreResponseHandler on_response);
  /// Asks for a lease of so many seconds.
  void acquire_lease(double duration_s, StoreResponseHandler on_response);
  /// Renews a lease for its duration.
  void renew_lease(std::uint64_t id, StoreResponseHandler on_response);
  /// Ends a lease at once; the service deletes the keys attached to it.
  void end_lease(std::uint64_t id, StoreResponseHandler on_response);
  /// Waits for changes of keys with a prefix after a revision, for up to `wait_s`.
  void watch(const std::string& prefix, Revision from, double wait_s, StoreResponseHandler on_response);
  /// Divides the service's limits among so many controllers.
  void set_live_controllers(std::size_t count);
  /// When a response other than 429 and 503 last came, by the store's clock.
  double last_success_at() const { return last_success_at_; }
  /// Calls that wait for a limit or a connection.
  std::size_t backlog() const;
  /// Seconds for which calls have been out and none has been answered, with whatever status; 0: none is out.
  double unresponsive_for() const;

 private:
  struct Call {
    evhttp_cmd_type method;
    std::string path, body;
    double changes = 0, timeout_s = 2;
    StoreResponseHandler on_response;
    double queued_at = 0;
  };
  using Queue = std::deque<Call>;
  /// The call of a queue that is to be sent next, and for how long the limits delay it.
  struct NextCall {
    Queue::iterator call;
    double wait_s = 0;
  };
  static constexpr std::size_t urgency_count = static_cast<std::size_t>(Urgency::other) + 1;
  void drop_stale_user_calls(double now);
  void enqueue(Urgency urgency, Call call);
  void dispatch();
  NextCall next_call(Queue& queue, double now);
  void send(net::HttpClient& client, Call call);
  void send_lease_call(evhttp_cmd_type method, std::string path, std::string body,
                       StoreResponseHandler on_response);
  void note_response(int http_status, int status);
  std::function<double()> clock_;
  const Settings& settings_;
  net::HttpClient client_, lease_client_, watch_client_;
  TokenBucket request_limit_, change_limit_;
  std::array<Queue, urgency_count> queues_;
  net::Timer dispatch_timer_;
  double last_success_at_ = -1e9;  // long before the clock's start
  double paused_until_ = 0;
  std::size_t unanswered_ = 0;  // calls without a response yet, without leases and the watch
  double last_response_at_ = 0;
};

}  // namespace oxbowmill::state
