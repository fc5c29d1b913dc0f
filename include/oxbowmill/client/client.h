// The users' side of the protocol: submit, poll, wait and withdraw on several nodes.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "oxbowmill/client/request_retrier.h"
#include "oxbowmill/net/http.h"
#include "oxbowmill/wire/codec.h"

namespace oxbowmill::client {

struct JobStatus {
  std::string ref, phase;  // queued, running, done or cancelled
  std::uint32_t done = 0, running = 0;
  bool is_final() const { return phase == "done" || phase == "cancelled"; }
};

struct Reply {
  RequestOutcome outcome = RequestOutcome::retry;
  JobStatus status;    // with `ok`
  std::string reason;  // otherwise, in words
  int attempts = 0;
  bool timed_out = false;  // of a wait: the job goes on
};
using ReplyHandler = std::function<void(const Reply&)>;

/// Event-driven, for one event loop and its thread. A request outlives nothing: destroying the client drops
/// it.
class AsyncClient {
 public:
  AsyncClient(event_base* base, std::vector<net::Address> nodes, RetryPolicy patience = {});
  ~AsyncClient();
  AsyncClient(const AsyncClient&) = delete;
  AsyncClient& operator=(const AsyncClient&) = delete;

  /// `job`: the fields of a submission as the protocol names them. Repeated under the same `ref`.
  void submit(const wire::Json& job, ReplyHandler on_reply);
  void poll(const std::string& ref, ReplyHandler on_reply);
  void withdraw(const std::string& ref, ReplyHandler on_reply);
  /// Polls until the phase is final or `within_s` is over; `progress` hears each answer before that.
  void wait(const std::string& ref, double within_s, ReplyHandler progress, ReplyHandler on_reply);

 private:
  struct Request;
  struct PendingWait;
  void start(evhttp_cmd_type method, std::string path, std::string body, RetryPolicy patience,
             ReplyHandler on_reply);
  void advance(Request& request);
  void finish(Request& request, Reply reply);
  void poll_again(std::uint64_t id);

  event_base* base_;
  std::vector<net::Address> controllers_;
  RetryPolicy retry_policy_;
  std::uint64_t next_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Request>> requests_;
  std::map<std::uint64_t, std::unique_ptr<PendingWait>> waits_;
  std::vector<std::unique_ptr<Request>> finished_;  // until the loop has left their timers
  net::Timer cleanup_timer_;
  std::shared_ptr<bool> alive_;
};

/// Synchronous; every call has an event loop of its own, so any number of threads may share one client.
class Client {
 public:
  explicit Client(std::vector<net::Address> nodes, RetryPolicy patience = {})
      : controllers_(std::move(nodes)), retry_policy_(patience) {}
  Reply submit(const wire::Json& job) const;
  Reply poll(const std::string& ref) const;
  Reply withdraw(const std::string& ref) const;
  Reply wait(const std::string& ref, double within_s, const ReplyHandler& progress = nullptr) const;

 private:
  Reply run(const std::function<void(AsyncClient&, ReplyHandler)>& call) const;
  std::vector<net::Address> controllers_;
  RetryPolicy retry_policy_;
};

}  // namespace oxbowmill::client
