// A stand-in market on a socket.
#pragma once

#include "oxbowmill/net/http.h"
#include "oxbowmill/simulation/simulated_market.h"

namespace oxbowmill::simulation {

class MarketServer {
 public:
  /// `now` in seconds, from 0 on: the market's character may change with it.
  MarketServer(event_base* base, const net::Address& bind, SimulatedMarket market,
               std::function<double()> now);
  const net::Address& address() const { return server_.address(); }
  SimulatedMarket& market() { return market_; }
  /// Before each request is handled.
  std::function<void(const net::Request&)> on_request;

 private:
  SimulatedMarket market_;
  std::function<double()> now_;
  std::vector<net::ResponderPtr> stalled_;  // held open without an answer
  net::HttpServer server_;
};

}  // namespace oxbowmill::simulation
