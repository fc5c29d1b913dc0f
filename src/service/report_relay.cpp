#include "oxbowmill/service/report_relay.h"

#include <spdlog/spdlog.h>

#include "oxbowmill/wire/codec.h"

namespace oxbowmill::service {

namespace {
constexpr double relay_period_s = 30;  // after which the agent is redirected to the owner
constexpr int retry_after_s = 1;
}  // namespace

bool ReportRelay::should_retry_owner(const std::string& machine, double now) {
  auto relayed = relayed_machines_.find(machine);
  if (relayed == relayed_machines_.end() || now - relayed->second.relayed_since <= relay_period_s)
    return false;
  // If the last relayed report was long ago, this is another network partition, and relaying starts over.
  bool is_same_network_partition = now - relayed->second.last_success_at < relay_period_s;
  relayed_machines_.erase(relayed);
  return is_same_network_partition;
}

void ReportRelay::relay(const std::string& machine, const std::string& owner, const net::Request& request) {
  // The agent knows the owner of its machine but reports to this controller. The probable cause is a network
  // partition between two zones, which a controller in a third zone can bridge.
  if (should_retry_owner(machine, clock_())) {
    ReportAnswer redirect{ReportAnswer::Kind::redirect, owner, 0, {}};
    return request.responder->reply(421, wire::encode(wire::write_report_answer(redirect)));
  }
  peers_.relay(owner, request.body,
               [this, machine, owner, responder = request.responder](const net::Response& response) {
                 on_owner_response(machine, owner, responder, response);
               });
}

void ReportRelay::on_owner_response(const std::string& machine, const std::string& owner,
                                    const net::ResponderPtr& responder, const net::Response& response) {
  if (response.status != 200) return responder->reply(503, "", retry_after_s);
  double now = clock_();
  auto [relayed, is_new] = relayed_machines_.try_emplace(machine, RelayedMachine{now, now});
  relayed->second.last_success_at = now;
  if (is_new) SPDLOG_INFO("relaying reports machine={} owner={}", machine, owner);
  responder->reply(200, response.body);
}

}  // namespace oxbowmill::service
