// Sends the bidding service's calls to markets over HTTP and returns the answers. Event loop thread only.
#pragma once

#include <memory>

#include "oxbowmill/autoscaling/autoscaler.h"
#include "oxbowmill/market/bidding_service.h"
#include "oxbowmill/net/http.h"
#include "oxbowmill/service/malformed_message_log.h"

namespace oxbowmill::service {

/// Owns the bidding service and its calls in flight. Every call gets exactly one answer, which is an empty
/// response if the market does not answer before the call's deadline.
class MarketService {
 public:
  /// Registers the bidding service as the autoscaler's source of machines. `clock` returns the steady time
  /// and `wall_clock` the time of day, both in seconds. Must outlive the autoscaler's use of it, and must not
  /// be destroyed while the event loop runs.
  MarketService(event_base* base, ClusterState& state, Scheduler& scheduler, Autoscaler& autoscaler,
                market::Settings settings, MalformedMessageLog& malformed_messages,
                std::function<double()> clock, std::function<double()> wall_clock);
  /// Times out calls that are past their deadline, runs the bidding service and sends its calls.
  void run_cycle(Effects& out);

 private:
  struct PendingCall {
    market::Call call;
    double deadline = 0;
  };
  void send(const market::Call& call);
  /// Does nothing if the call has already been answered or has timed out.
  void on_response(std::uint64_t call_id, const net::Response& http_response);
  void time_out_calls();
  Clock clock() const { return {clock_(), wall_clock_()}; }

  ClusterState& state_;
  market::Settings settings_;
  market::BiddingService bidding_service_;
  MalformedMessageLog& malformed_messages_;
  std::function<double()> clock_, wall_clock_;
  std::vector<std::unique_ptr<net::HttpClient>> clients_;  // by market index
  std::map<std::uint64_t, PendingCall> pending_calls_;
};

}  // namespace oxbowmill::service
