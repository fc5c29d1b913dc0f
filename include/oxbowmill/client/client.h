// Client library of the user protocol: submits, polls, waits for and withdraws jobs through several
// controllers. A client owns its requests in flight and nothing that outlives it. The comment on each class
// says which threads may use it.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "oxbowmill/client/request_retrier.h"
#include "oxbowmill/net/http.h"
#include "oxbowmill/wire/codec.h"

namespace oxbowmill::client {

/// A job as a controller reports it.
struct JobStatus {
  std::string ref;                  ///< the job's id, chosen by its user
  std::string phase;                ///< "queued", "running", "done" or "cancelled"
  std::uint32_t done_tasks = 0;     ///< number of tasks that are done
  std::uint32_t running_tasks = 0;  ///< number of tasks that are running
  /// Whether the job's phase can no longer change.
  bool is_final() const { return phase == "done" || phase == "cancelled"; }
};

/// How a request ended.
struct Reply {
  RequestOutcome outcome = RequestOutcome::retryable;  ///< what the caller may conclude
  JobStatus status;                                    ///< status of the job; valid if `outcome` is `ok`
  std::string reason;      ///< why it failed, as text for people; empty if `outcome` is `ok`
  int attempts = 0;        ///< number of times that the request was sent
  bool timed_out = false;  ///< for a wait: its timeout passed before the job ended
};
/// Callback for a reply; runs on the thread of the event loop.
using ReplyHandler = std::function<void(const Reply&)>;

/// Event-driven client, to be used only on the thread of its event loop. A handler is never called from
/// within the call that it was passed to. Destroying the client drops its requests without calling their
/// handlers.
class AsyncClient {
 public:
  /// `base` must outlive the client.
  AsyncClient(event_base* base, std::vector<net::Address> controllers, RetryPolicy policy = {});
  ~AsyncClient();
  AsyncClient(const AsyncClient&) = delete;
  AsyncClient& operator=(const AsyncClient&) = delete;

  /// Submits a job. `job` holds the fields of a submission under their names in the protocol. Safe to repeat
  /// with the same `ref`.
  void submit(const wire::Json& job, ReplyHandler on_reply);
  /// Reads the status of a job.
  void poll(const std::string& ref, ReplyHandler on_reply);
  /// Cancels a job.
  void withdraw(const std::string& ref, ReplyHandler on_reply);
  /// Polls until the job's phase is final or `timeout_s` seconds have passed; until then `on_progress`
  /// receives each status.
  void wait(const std::string& ref, double timeout_s, ReplyHandler on_progress, ReplyHandler on_reply);

 private:
  struct Request;
  struct PendingWait;
  void start(evhttp_cmd_type method, std::string path, std::string body, RetryPolicy policy,
             ReplyHandler on_reply);
  void advance(Request& request);
  void send(Request& request, double current_time);
  void on_response(std::uint64_t id, const net::Response& http_response);
  void give_up(Request& request);
  void finish(Request& request, Reply reply);
  void poll_again(std::uint64_t id);
  void on_poll_reply(std::uint64_t id, const Reply& reply);

  event_base* base_;
  std::vector<net::Address> controllers_;
  RetryPolicy retry_policy_;
  std::uint64_t next_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Request>> requests_;
  std::map<std::uint64_t, std::unique_ptr<PendingWait>> waits_;
  std::vector<std::unique_ptr<Request>> finished_;  // kept until the callbacks of their timers have returned
  net::Timer cleanup_timer_;
  std::shared_ptr<bool> alive_;  // false once the client is destroyed; callbacks of open requests check it
};

/// Synchronous client. Every call runs an event loop of its own, so several threads may share one client.
class Client {
 public:
  /// Opens no connections; each call opens its own.
  explicit Client(std::vector<net::Address> controllers, RetryPolicy policy = {})
      : controllers_(std::move(controllers)), retry_policy_(policy) {}
  /// See AsyncClient::submit; blocks until the reply.
  Reply submit(const wire::Json& job) const;
  /// See AsyncClient::poll; blocks until the reply.
  Reply poll(const std::string& ref) const;
  /// See AsyncClient::withdraw; blocks until the reply.
  Reply withdraw(const std::string& ref) const;
  /// See AsyncClient::wait; blocks until the reply and calls `on_progress` on the calling thread.
  Reply wait(const std::string& ref, double timeout_s, const ReplyHandler& on_progress = nullptr) const;

 private:
  Reply run(const std::function<void(AsyncClient&, ReplyHandler)>& call) const;
  std::vector<net::Address> controllers_;
  RetryPolicy retry_policy_;
};

}  // namespace oxbowmill::client
