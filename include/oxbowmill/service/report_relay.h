// Relays agents' reports to the controller that owns their machine when the agent cannot reach it. For the
// event loop's thread.
#pragma once

#include <string>
#include <unordered_map>

#include "oxbowmill/service/peers.h"

namespace oxbowmill::service {

/// Remembers which machines' reports are being relayed, and since when.
class ReportRelay {
 public:
  /// `clock`: steady time in seconds. `peers` must not call back once the relay is gone.
  ReportRelay(Peers& peers, std::function<double()> clock) : peers_(peers), clock_(std::move(clock)) {}
  /// Relays the report to the owner and passes on its answer; now and then the agent is redirected to the
  /// owner instead, to see whether it reaches it again.
  void relay(const std::string& machine, const std::string& owner, const net::Request& request);

 private:
  struct RelayedMachine {
    double since = 0;         // first report of this period
    double last_success = 0;  // last report that the owner accepted
  };
  bool should_retry_owner(const std::string& machine, double now);
  void on_owner_response(const std::string& machine, const std::string& owner,
                         const net::ResponderPtr& responder, const net::Response& response);

  Peers& peers_;
  std::function<double()> clock_;
  std::unordered_map<std::string, RelayedMachine> relayed_machines_;
};

}  // namespace oxbowmill::service
