// The users' side of the protocol: submit, poll, wait for and withdraw jobs through several controllers. A
// client owns its requests under way and nothing that outlives it; the threads allowed are said with each
// class.
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
  std::string ref;            ///< the job's id, chosen by its user
  std::string phase;          ///< queued, running, done or cancelled
  std::uint32_t done = 0;     ///< tasks that are done
  std::uint32_t running = 0;  ///< tasks that run
  /// The job's phase no longer changes.
  bool is_final() const { return phase == "done" || phase == "cancelled"; }
};

/// How a request ended.
struct Reply {
  RequestOutcome outcome = RequestOutcome::retry;  ///< what the caller may conclude
  JobStatus status;                                ///< only with `ok`
  std::string reason;                              ///< for people; only without `ok`
  int attempts = 0;                                ///< how often the request was sent
  bool timed_out = false;                          ///< of a wait: the time is over and the job goes on
};
/// Receives a reply, in the thread of the event loop.
using ReplyHandler = std::function<void(const Reply&)>;

/// Event-driven, for one event loop and its thread. Handlers are never called from inside the call that they
/// were given to. Destroying the client drops its requests without calling their handlers.
class AsyncClient {
 public:
  /// `base` must outlive the client.
  AsyncClient(event_base* base, std::vector<net::Address> controllers, RetryPolicy policy = {});
  ~AsyncClient();
  AsyncClient(const AsyncClient&) = delete;
  AsyncClient& operator=(const AsyncClient&) = delete;

  /// `job`: the fields of a submission as the protocol names them. Safe to repeat under the same `ref`.
  void submit(const wire::Json& job, ReplyHandler on_reply);
  /// Reads the status of a job.
  void poll(const std::string& ref, ReplyHandler on_reply);
  /// Cancels a job.
  void withdraw(const std::string& ref, ReplyHandler on_reply);
  /// Polls until the phase is final or `within_s` is over; `progress` receives each status before that.
  void wait(const std::string& ref, double within_s, ReplyHandler progress, ReplyHandler on_reply);

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
  std::vector<std::unique_ptr<Request>> finished_;  // kept until their timers' callbacks have returned
  net::Timer cleanup_timer_;
  std::shared_ptr<bool> alive_;
};

/// Synchronous; every call has an event loop of its own, so any number of threads may share one client.
class Client {
 public:
  /// Opens no connection: each call does.
  explicit Client(std::vector<net::Address> controllers, RetryPolicy policy = {})
      : controllers_(std::move(controllers)), retry_policy_(policy) {}
  /// See AsyncClient::submit; blocks until the reply.
  Reply submit(const wire::Json& job) const;
  /// See AsyncClient::poll; blocks until the reply.
  Reply poll(const std::string& ref) const;
  /// See AsyncClient::withdraw; blocks until the reply.
  Reply withdraw(const std::string& ref) const;
  /// See AsyncClient::wait; blocks until the reply, calling `progress` in the same thread.
  Reply wait(const std::string& ref, double within_s, const ReplyHandler& progress = nullptr) const;

 private:
  Reply run(const std::function<void(AsyncClient&, ReplyHandler)>& call) const;
  std::vector<net::Address> controllers_;
  RetryPolicy retry_policy_;
};

}  // namespace oxbowmill::client
