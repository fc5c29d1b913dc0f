// The simulated state service behind an HTTP server on loopback, with the protocol's limits, watches and
// bounded log of changes. It owns the store, the log and open watches. One thread: that of its event loop.
#pragma once

#include <deque>

#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/net/http.h"
#include "oxbowmill/simulation/state_store.h"

namespace oxbowmill::simulation {

/// Limits beyond which requests are refused.
struct StateLimits {
  double rps = 500,          ///< requests a second
      write_rps = 200,       ///< changes a second
      value_kb = 4;          ///< largest value in KiB
  std::size_t txn_ops = 12;  ///< most changes of one transaction
};

/// Serves one store.
class StateServer {
 public:
  /// Totals since the start.
  struct Counts {
    std::uint64_t requests = 0,  ///< all requests
        refused = 0,             ///< requests beyond a rate limit (429)
        changes = 0,             ///< changes applied
        transactions = 0,        ///< transactions, applied or not
        failed = 0,              ///< transactions refused by a guard (409)
        bytes_in = 0,            ///< bytes of request bodies
        bytes_out = 0,           ///< bytes of response bodies
        watch_bytes = 0;         ///< bytes of the responses to watches among them
  };
  /// `now`: clock of the leases, in seconds. Throws where the address cannot be bound.
  StateServer(event_base* base, const net::Address& bind, const StateLimits& limits,
              std::function<double()> now);
  /// Where it listens, with the port that was chosen for port 0.
  const net::Address& address() const { return server_.address(); }
  /// While on, requests are answered 503 and watches wait.
  void set_outage(bool on) { store_.set_outage(on, now_()); }
  /// Its keys and revision.
  const StateStore& store() const { return store_; }
  /// Totals since the start.
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
