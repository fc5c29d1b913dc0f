// The stand-in of the state service on a socket, as the protocol describes it: limits, watches and a bounded
// log of changes.
#pragma once

#include <deque>

#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/net/http.h"
#include "oxbowmill/simulation/state_store.h"

namespace oxbowmill::simulation {

struct StateLimits {
  double rps = 500, write_rps = 200, value_kb = 4;
  std::size_t txn_ops = 12;
};

class StateServer {
 public:
  /// What has been asked of it; bytes of bodies, in and out.
  struct Counts {
    std::uint64_t requests = 0, refused = 0, changes = 0, transactions = 0, failed = 0, bytes_in = 0,
                  bytes_out = 0, watch_bytes = 0;
  };
  StateServer(event_base* base, const net::Address& bind, const StateLimits& limits,
              std::function<double()> now);
  const net::Address& address() const { return server_.address(); }
  void set_outage(bool on) { store_.set_outage(on, now_()); }
  const StateStore& store() const { return store_; }
  const Counts& counts() const { return counts_; }

 private:
  struct Watch {
    net::ResponderPtr responder;
    std::string prefix;
    std::uint64_t from = 0;
    double until = 0;
  };
  struct LogEntry {
    std::uint64_t revision = 0;
    std::string key;
    Json update;
  };
  void serve(net::Request&& request);
  void serve_transaction(const net::Request& request, const Json& body);
  void serve_lease(const net::Request& request, const Json& body);
  void serve_list(const net::Request& request);
  void open_watch(const net::Request& request);
  void tick();
  void publish();
  void answer(const net::ResponderPtr& responder, int status, const Json& body);
  bool answer_watch(const Watch& watch, bool over);
  std::function<double()> now_;
  StateStore store_;
  Counts counts_;
  TokenBucket requests_, changes_;
  std::deque<LogEntry> log_;
  std::vector<Watch> watches_;
  net::Timer timer_;
  net::HttpServer server_;
};

}  // namespace oxbowmill::simulation
