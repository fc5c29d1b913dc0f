// Client of the state service: guarded transactions, reads, holds and the watch, within the node's share of
// the request and change limits.
#pragma once

#include <deque>

#include "oxbowmill/core/token_bucket.h"
#include "oxbowmill/net/http.h"
#include "oxbowmill/state/keys.h"

namespace oxbowmill::state {

using wire::Json;

struct StoreAnswer {
  int status = 0;  // 0: no answer, or one that cannot be read
  Json body;
  double sent_at = 0;
};
using AnswerFn = std::function<void(const StoreAnswer&)>;

class Store {
 public:
  Store(event_base* base, const net::Address& address, const Settings& settings, std::function<double()> now);

  void get(const std::string& key, Urgency urgency, AnswerFn fn);
  void list(const std::string& prefix, const std::string& from, AnswerFn fn);
  void txn(const Json& body, Urgency urgency, AnswerFn fn);
  void open_hold(double life_s, AnswerFn fn);
  void renew_hold(std::uint64_t id, AnswerFn fn);
  /// Ends a hold at once, with the keys attached to it.
  void end_hold(std::uint64_t id, AnswerFn fn);
  void watch(const std::string& prefix, Stamp from, double hold_s, AnswerFn fn);
  void set_live_nodes(std::size_t n);
  /// When an answer other than 429 and 503 last came.
  double last_good() const { return last_good_; }
  std::size_t backlog() const;
  /// Calls are out and none has been answered for so long, with whatever status.
  double silent_for() const;

 private:
  struct Call {
    evhttp_cmd_type method;
    std::string path, body;
    double changes = 0, timeout_s = 2;
    AnswerFn fn;
    double queued_at = 0;
  };
  void drop_stale(double now);
  void submit(Urgency urgency, Call call);
  void pump();
  void send(net::HttpClient& client, Call call);
  std::function<double()> now_;
  const Settings& settings_;
  net::HttpClient calls_, holds_, watch_;
  TokenBucket requests_, changes_;
  std::deque<Call> queues_[6];
  net::Timer timer_;
  double last_good_ = -1e9;
  double paused_until_ = 0;
  std::size_t out_ = 0;  // calls without an answer yet
  double last_heard_ = 0;
};

}  // namespace oxbowmill::state
