// The leader's calls of markets over HTTP: sends what the bidding service asks for and hands it the answers.
// For the event loop's thread.
#pragma once

#include <memory>

#include "oxbowmill/autoscaling/autoscaler.h"
#include "oxbowmill/market/bidding_service.h"
#include "oxbowmill/net/http.h"

namespace oxbowmill::service {

/// Owns the bidding service and the calls under way. Every call gets exactly one answer: the market's, or
/// none once its time is over.
class MarketService {
 public:
  /// Registers itself as the autoscaler's source of machines. `clock`: steady time, `wall_clock`: time of
  /// day, both in seconds. It must outlive the autoscaler's use of it, and be destroyed only when the event
  /// loop no longer runs.
  MarketService(event_base* base, ClusterState& state, Scheduler& scheduler, Autoscaler& autoscaler,
                market::Settings settings, std::function<double()> clock, std::function<double()> wall_clock);
  /// Ends calls that are late, runs the bidding service and sends its calls.
  void run_cycle(Effects& out);

 private:
  struct PendingCall {
    market::Call call;
    double deadline = 0;
  };
  void send(const market::Call& call);
  /// Does nothing for a call that has its answer already.
  void on_response(std::uint64_t call_id, const net::Response& http_response);
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
