// Serves a simulated state service over HTTP on loopback, with the protocol's limits, watches and bounded log
// of changes. StateServer owns the store, the log and the open watches. All code runs on the thread of the
// event loop.
#pragma once

#include <deque>

#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/net/http.h"
#include "oxbowmill/simulation/state_store.h"

namespace oxbowmill::simulation {

/// Limits beyond which the state service refuses requests.
struct StateLimits {
  double rps = 500,          ///< requests per second
      write_rps = 200,       ///< changes per second
      value_kb = 4;          ///< largest value in KiB
  std::size_t txn_ops = 12;  ///< most changes of one transaction
};

/// HTTP server of one state store.
class StateServer {
 public:
  /// Counters since the start of the server.
  struct Counts {
    std::uint64_t requests = 0,    ///< requests received
        refused_requests = 0,      ///< requests beyond a rate limit (429)
        changes = 0,               ///< changes applied
        transactions = 0,          ///< transactions, applied or not
        refused_transactions = 0,  ///< transactions refused by a guard (409)
        bytes_in = 0,              ///< bytes of request bodies
        bytes_out = 0,             ///< bytes of response bodies
        watch_bytes = 0;           ///< part of `bytes_out` that answered watches
  };
  /// `now` returns the time in seconds, by which leases expire. Throws if the address cannot be bound.
  StateServer(event_base* base, const net::Address& bind, const StateLimits& limits,
              std::function<double()> now);
  /// Address on which it listens; if port 0 was requested, with the port that the system chose.
  const net::Address& address() const { return server_.address(); }
  /// Starts or ends an outage, during which requests are answered 503 and watches are left unanswered.
  void set_outage(bool on) { store_.set_outage(on, now_()); }
  /// The store with its keys and revision.
  const StateStore& store() const { return store_; }
  /// Counters since the start of the server.
  const Counts& counts() const { return counts_; }

 private:
  struct Watch {
    net::ResponderPtr responder;
    std::string prefix;
    std::uint64_t from_revision = 0;  // revision after which changes are sent
    double expires_at = 0;            // when it is answered even without changes, in seconds
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
  /// Appends the store's new changes to the log and answers the watches that wait for them.
  void publish();
  void answer(const net::ResponderPtr& responder, int status, const Json& body);
  /// Answers a watch if there are changes for it or its time is over; false if it remains open.
  bool answer_watch(const Watch& watch, bool expired);
  std::function<double()> now_;
  StateStore store_;
  Counts counts_;
  TokenBucket request_limiter_, change_limiter_;
  std::deque<LogEntry> log_;
  std::vector<Watch> watches_;
  net::Timer timer_;
  net::HttpServer server_;
};

}  // namespace oxbowmill::simulation
