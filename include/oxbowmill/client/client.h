// The users' side of the protocol: submit, poll, wait and withdraw on several nodes.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "oxbowmill/client/attempts.h"
#include "oxbowmill/net/http.h"
#include "oxbowmill/wire/codec.h"

namespace oxbowmill::client {

struct JobStatus {
  std::string ref, phase;  // queued, running, done or cancelled
  std::uint32_t done = 0, running = 0;
  bool final_phase() const { return phase == "done" || phase == "cancelled"; }
};

struct Reply {
  Verdict verdict = Verdict::again;
  JobStatus status;    // with `ok`
  std::string reason;  // otherwise, in words
  int tries = 0;
  bool out_of_time = false;  // of a wait: the job goes on
};
using ReplyFn = std::function<void(const Reply&)>;

/// Event-driven, for one event loop and its thread. A request outlives nothing: destroying the client drops
/// it.
class AsyncClient {
 public:
  AsyncClient(event_base* base, std::vector<net::Address> nodes, Patience patience = {});
  ~AsyncClient();
  AsyncClient(const AsyncClient&) = delete;
  AsyncClient& operator=(const AsyncClient&) = delete;

  /// `job`: the fields of a submission as the protocol names them. Repeated under the same `ref`.
  void submit(const wire::Json& job, ReplyFn fn);
  void poll(const std::string& ref, ReplyFn fn);
  void withdraw(const std::string& ref, ReplyFn fn);
  /// Polls until the phase is final or `within_s` is over; `progress` hears each answer before that.
  void wait(const std::string& ref, double within_s, ReplyFn progress, ReplyFn fn);

 private:
  struct Request;
  struct Waiting;
  void start(evhttp_cmd_type method, std::string path, std::string body, Patience patience, ReplyFn fn);
  void go_on(Request& r);
  void finish(Request& r, Reply o);
  void ask_again(std::uint64_t id);

  event_base* base_;
  std::vector<net::Address> nodes_;
  Patience patience_;
  std::uint64_t next_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Request>> requests_;
  std::map<std::uint64_t, std::unique_ptr<Waiting>> waits_;
  std::vector<std::unique_ptr<Request>> over_;  // until the loop has left their timers
  net::Timer sweep_;
  std::shared_ptr<bool> alive_;
};

/// Synchronous; every call has an event loop of its own, so any number of threads may share one client.
class Client {
 public:
  explicit Client(std::vector<net::Address> nodes, Patience patience = {})
      : nodes_(std::move(nodes)), patience_(patience) {}
  Reply submit(const wire::Json& job) const;
  Reply poll(const std::string& ref) const;
  Reply withdraw(const std::string& ref) const;
  Reply wait(const std::string& ref, double within_s, const ReplyFn& progress = nullptr) const;

 private:
  Reply run(const std::function<void(AsyncClient&, ReplyFn)>& call) const;
  std::vector<net::Address> nodes_;
  Patience patience_;
};

}  // namespace oxbowmill::client
