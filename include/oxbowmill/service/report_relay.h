// Relays agents' reports to the controller that owns their machine if the agent cannot reach that controller.
// Event loop thread only.
#pragma once

#include <string>
#include <unordered_map>

#include "oxbowmill/service/peers.h"

namespace oxbowmill::service {

/// Relays reports. Owns the set of machines whose reports are being relayed, and since when.
class ReportRelay {
 public:
  /// `clock` returns the steady time in seconds. `peers` must not call the relay back after its destruction.
  ReportRelay(Peers& peers, std::function<double()> clock) : peers_(peers), clock_(std::move(clock)) {}
  /// Relays the report to the owner and passes on the owner's answer. Periodically redirects the agent to the
  /// owner instead, in case the agent can reach it again.
  void relay(const std::string& machine, const std::string& owner, const net::Request& request);

 private:
  struct RelayedMachine {
    double relayed_since = 0;    // time of the first report that was relayed in this period
    double last_success_at = 0;  // time of the last report that the owner accepted
  };
  /// Whether to redirect the agent to the owner. Ends the machine's relaying period if that is over.
  bool should_retry_owner(const std::string& machine, double now);
  void on_owner_response(const std::string& machine, const std::string& owner,
                         const net::ResponderPtr& responder, const net::Response& response);

  Peers& peers_;
  std::function<double()> clock_;
  std::unordered_map<std::string, RelayedMachine> relayed_machines_;
};

}  // namespace oxbowmill::service
