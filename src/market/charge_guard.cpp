#include "oxbowmill/market/charge_guard.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <vector>

namespace oxbowmill::market {

namespace {
constexpr std::size_t max_settled_bids = 5000;   // bids whose final cost is kept
constexpr MoneyAmount rounding_tolerance = 100;  // millionths; charges are sums of rounded amounts
constexpr Seconds min_charged_s = 60;            // minimum time that a market may charge for a machine

std::string amount_text(MoneyAmount amount) {
  return std::to_string(to_currency(amount));
}
}  // namespace

void ChargeGuard::check_charge(Bid& bid, MoneyAmount charged, Seconds now) {
  if (bid.is_disputed) return;
  MoneyAmount max_charge = worst_case_cost(bid.record);
  if (bid.charged_since >= 0) {
    // Limiting the charge by the time since the first delivery detects an overcharge long before the worst
    // case is exceeded.
    double max_charged_s = now - bid.charged_since + min_charged_s;
    max_charge =
        std::min(max_charge, worst_case_cost(bid.record.price_limit, max_charged_s, bid.record.count()));
  }
  if (charged > max_charge + rounding_tolerance)
    dispute(bid, "charges " + amount_text(charged) + " where " + amount_text(max_charge) + " is the most");
}

void ChargeGuard::on_charges(MarketClient& client, const Answer& answer, Revision leadership_revision,
                             Seconds now) {
  for (const ChargeUpdate& charge : answer.charges) {
    client.on_charge_read(charge.number);
    Bid* bid = bids_.find(charge.bid_name);
    if (bid == nullptr) {
      check_settled_charge(client, charge, leadership_revision);
      continue;
    }
    if (bid->record.market != client.market_settings().index) continue;
    check_charge(*bid, charge.amount, now);
    if (bid->state != BidState::settling) bid->charged_amount = std::max(bid->charged_amount, charge.amount);
  }
}

void ChargeGuard::check_settled_charge(MarketClient& client, const ChargeUpdate& charge,
                                       Revision leadership_revision) {
  auto settled = settled_costs_.find(charge.bid_name);
  if (settled != settled_costs_.end()) {
    if (charge.amount > settled->second + rounding_tolerance)
      client.suspend("charges " + amount_text(charge.amount) + " for bid " + charge.bid_name +
                     ", which was over");
    return;
  }
  bool is_own_bid =
      charge.bid_name.rfind(bid_name_prefix(state_.settings.controller_name, leadership_revision), 0) == 0;
  if (is_own_bid && charge.amount > rounding_tolerance)
    client.suspend("charges " + amount_text(charge.amount) + " for bid " + charge.bid_name +
                   ", which it never got");
}

void ChargeGuard::dispute(Bid& bid, const std::string& reason) {
  SPDLOG_ERROR("bid disputed bid={} reason=\"{}\"", bid.name, reason);
  bid.is_disputed = true;
  markets_.find(bid.record.market)->suspend("bid " + bid.name + ": " + reason);
  std::vector<MachineIndex> machines;
  for (const std::string& host : bid.hosts) {
    MachineIndex machine = state_.find_recorded(host);
    if (!machine.valid()) continue;
    // The record of a machine that reported before the market listed it names no bid.
    const MachineRecord& record = state_.machine(machine).record;
    if (record.market == bid.record.market && (record.bid.empty() || record.bid == bid.name))
      machines.push_back(machine);
  }
  if (!machines.empty() && on_disputed_) on_disputed_(machines);
}

void ChargeGuard::on_settled(const Bid& bid) {
  if (settled_costs_.size() < max_settled_bids) settled_costs_[bid.name] = bid.charged_amount;
}

}  // namespace oxbowmill::market
