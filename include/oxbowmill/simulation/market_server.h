// Serves a simulated market over HTTP on loopback. MarketServer owns the market and the requests that the
// market leaves without a response. All code runs on the thread of the event loop.
#pragma once

#include "oxbowmill/net/http.h"
#include "oxbowmill/simulation/simulated_market.h"

namespace oxbowmill::simulation {

/// HTTP server of one simulated market.
class MarketServer {
 public:
  /// `now` returns the seconds since the market's start, on which its behaviour may depend. Throws if the
  /// address cannot be bound.
  MarketServer(event_base* base, const net::Address& bind, SimulatedMarket market,
               std::function<double()> now);
  /// Address on which it listens; if port 0 was requested, with the port that the system chose.
  const net::Address& address() const { return server_.address(); }
  /// The market; it may be changed between requests.
  SimulatedMarket& market() { return market_; }
  /// Called before each request is handled; may be empty.
  std::function<void(const net::Request&)> on_request;

 private:
  SimulatedMarket market_;
  std::function<double()> now_;
  std::vector<net::ResponderPtr>
      stalled_;  // requests without a response, kept to keep their connections open
  net::HttpServer server_;
};

}  // namespace oxbowmill::simulation
