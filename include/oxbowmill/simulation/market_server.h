// A simulated market behind an HTTP server on loopback. It owns the market and the requests that it leaves
// without a response. One thread: that of its event loop.
#pragma once

#include "oxbowmill/net/http.h"
#include "oxbowmill/simulation/simulated_market.h"

namespace oxbowmill::simulation {

/// Serves one simulated market.
class MarketServer {
 public:
  /// `now`: seconds from 0 on, on which the market's behaviour may depend. Throws where the address cannot
  /// be bound.
  MarketServer(event_base* base, const net::Address& bind, SimulatedMarket market,
               std::function<double()> now);
  /// Where it listens, with the port that was chosen for port 0.
  const net::Address& address() const { return server_.address(); }
  /// The market, also for changes between requests.
  SimulatedMarket& market() { return market_; }
  /// Called before each request is handled; may be empty.
  std::function<void(const net::Request&)> on_request;

 private:
  SimulatedMarket market_;
  std::function<double()> now_;
  std::vector<net::ResponderPtr> stalled_;  // requests that get no response; their connections stay open
  net::HttpServer server_;
};

}  // namespace oxbowmill::simulation
