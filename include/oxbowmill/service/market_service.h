// The leader's trading with markets over HTTP: the desk's calls go out, answers come back within their time.
#pragma once

#include <memory>

#include "oxbowmill/autoscaling/autoscaler.h"
#include "oxbowmill/market/bidding_service.h"
#include "oxbowmill/net/http.h"

namespace oxbowmill::service {

class MarketService {
 public:
  /// `now` and `wall` in seconds. Registers itself as the fleet's source of machines.
  MarketService(event_base* base, ClusterState& model, Scheduler& scheduler, Autoscaler& fleet,
                market::Settings settings, std::function<double()> now, std::function<double()> wall);
  void run_cycle(Effects& out);

 private:
  struct PendingCall {
    market::Call call;
    double deadline = 0;
  };
  void send(const market::Call& call);
  /// Once for each call: by the market, or by the clock.
  void on_response(std::uint64_t call, const net::Response& http_response);
  void time_out_calls();
  Clock clock() const { return {clock_(), wall_clock_()}; }

  ClusterState& state_;
  market::Settings settings_;
  market::BiddingService bidding_service_;
  std::function<double()> clock_, wall_clock_;
  std::vector<std::unique_ptr<net::HttpClient>> clients_;  // by market
  std::map<std::uint64_t, PendingCall> pending_calls_;
};

}  // namespace oxbowmill::service
