// Client of the state service: transactions with guards, reads, leases and the watch. It stays within this
// controller's share of the service's limits on requests and changes, and owns the calls that wait for these
// limits. Event loop thread only. Handlers are called from the loop, or from within a call that drops expired
// ones or cannot be sent; they may issue further calls.
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
  /// HTTP status. 0: no response, or one that cannot be read; a write may have been applied or may still be
  /// applied later. 429 and 503: not executed. 409: a guard of a transaction failed. 404: no such key or
  /// lease.
  int status = 0;
  Json body;           ///< the map in the response; null if the response has no body
  double sent_at = 0;  ///< when the call was sent, in seconds of the store's clock
};
/// Handles the response to a call. Called once per call.
using StoreResponseHandler = std::function<void(const StoreResponse&)>;

/// Handles an event of the response to a watch.
using StoreEventHandler = std::function<void(const Json& event)>;

/// Calls of one controller to the state service. Reads and transactions wait for the limits in order of
/// urgency. Lease calls and the watch have connections of their own and do not wait for the limits.
class Store {
 public:
  /// `now` returns the seconds of a steady clock. `settings` must outlive the store.
  Store(event_base* base, const net::Address& address, const Settings& settings, std::function<double()> now);

  /// Reads a key.
  void get(const std::string& key, Urgency urgency, StoreResponseHandler on_response);
  /// Reads a page of the keys with a prefix: the first page if `from` is empty, otherwise the page after the
  /// key `from`.
  void list(const std::string& prefix, const std::string& from, StoreResponseHandler on_response);
  /// Executes a transaction atomically: the changes under `apply`, if all `guards` hold. Throws
  /// nlohmann::json::exception if `apply` is missing.
  void commit(const Json& body, Urgency urgency, StoreResponseHandler on_response);
  /// Requests a lease with a duration in seconds.
  void acquire_lease(double duration_s, StoreResponseHandler on_response);
  /// Renews a lease for its whole duration.
  void renew_lease(std::uint64_t id, StoreResponseHandler on_response);
  /// Ends a lease immediately; the service deletes the keys attached to it.
  void end_lease(std::uint64_t id, StoreResponseHandler on_response);
  /// Waits up to `wait_s` seconds for changes after the revision `from` of keys with a prefix. `on_event` is
  /// called with each event in turn, then `on_response`; after events, the response may still be one that
  /// cannot be read. The list of events in the response is empty.
  void watch(const std::string& prefix, Revision from, double wait_s, StoreEventHandler on_event,
             StoreResponseHandler on_response);
  /// Sets the number of live controllers among which the service's limits are divided.
  void set_live_controllers(std::size_t count);
  /// Time of the last response other than 429 and 503, in seconds of the store's clock.
  double last_success_at() const { return last_success_at_; }
  /// Number of calls that wait for a limit or a connection.
  std::size_t backlog() const;
  /// Seconds since the last response with any status, or since the first unanswered call if that is later; 0
  /// if no call is unanswered. Lease calls and the watch do not count.
  double unresponsive_for() const;

 private:
  struct Call {
    evhttp_cmd_type method;
    std::string path, body;
    double changes = 0, timeout_s = 2;
    StoreResponseHandler on_response;
    double queued_at = 0;
    StoreEventHandler on_event = nullptr;  // of a watch
  };
  using Queue = std::deque<Call>;
  /// The next call to send from a queue, and how long the limits delay it.
  struct NextCall {
    Queue::iterator call;
    double wait_s = 0;
  };
  static constexpr std::size_t urgency_count = static_cast<std::size_t>(Urgency::other) + 1;
  void drop_expired_user_calls(double now);
  void enqueue(Urgency urgency, Call call);
  void dispatch();
  NextCall next_call(Queue& queue, double now);
  void send(net::HttpClient& client, Call call);
  void send_lease_call(evhttp_cmd_type method, std::string path, std::string body,
                       StoreResponseHandler on_response);
  void record_response(int http_status, int status);
  std::function<double()> clock_;
  const Settings& settings_;
  net::HttpClient client_, lease_client_, watch_client_;
  TokenBucket request_limit_, change_limit_;
  std::array<Queue, urgency_count> queues_;
  net::Timer dispatch_timer_;
  double last_success_at_ = -1e9;  // long before the clock starts: no response yet
  double paused_until_ = 0;
  std::size_t unanswered_ = 0;  // without lease calls and the watch
  double last_response_at_ = 0;
};

}  // namespace oxbowmill::state
