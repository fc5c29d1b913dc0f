#include "oxbowmill/market/market_poller.h"

#include <algorithm>
#include <utility>

namespace oxbowmill::market {

namespace {
constexpr Seconds first_quotes_timeout_s = 1;   // longest wait for quotes before the cloud is used
constexpr Seconds quote_refresh_window_s = 15;  // quotes are refreshed for this long after the last demand
}  // namespace

void MarketPoller::on_demand(const std::vector<UnmetDemand>& unmet_demands, Seconds now) {
  if (now - last_demand_at_ > quote_refresh_window_s) demand_since_ = now;
  last_demand_at_ = now;
  for (const UnmetDemand& unmet_demand : unmet_demands) add_wanted_kinds(unmet_demand);
}

void MarketPoller::add_wanted_kinds(const UnmetDemand& unmet_demand) {
  for (std::uint32_t type = 0; type < unmet_demand.tasks_per_machine.size(); ++type) {
    if (unmet_demand.tasks_per_machine[type] == 0 || type >= state_.catalog.size()) continue;
    for (ZoneIndex zone : state_.catalog[type].zones) {
      if (unmet_demand.zone.valid() && unmet_demand.zone != zone) continue;
      for (bool spot : {false, true}) {
        MachineKind kind{TypeIndex{type}, zone, spot};
        if ((unmet_demand.spot || !spot) &&
            std::find(wanted_kinds_.begin(), wanted_kinds_.end(), kind) == wanted_kinds_.end())
          wanted_kinds_.push_back(kind);
      }
    }
  }
}

bool MarketPoller::awaits_first_quotes(Seconds now) const {
  bool has_quote = false, may_quote = false;
  for (const MarketClient* client : markets_.clients()) {
    has_quote = has_quote || (client->accepts_bids() && client->has_quotes(now));
    may_quote =
        may_quote || client->state() == MarketState::untried || client->state() == MarketState::trading;
  }
  return !has_quote && may_quote && now - demand_since_ < first_quotes_timeout_s;
}

void MarketPoller::poll(Seconds now, std::vector<Call>& calls) {
  bool has_demand = now - last_demand_at_ < quote_refresh_window_s;
  if (!has_demand) wanted_kinds_.clear();
  for (MarketClient* client : markets_.clients()) {
    request_quotes(*client, has_demand, now, calls);
    request_charges(*client, now, calls);
  }
}

void MarketPoller::request_quotes(MarketClient& client, bool has_demand, Seconds now,
                                  std::vector<Call>& calls) {
  MarketIndex market = client.market_settings().index;
  if (wanted_kinds_.empty() || call_tracker_.has_market_call(market, CallKind::quotes) ||
      !client.quotes_due(now, has_demand) || !client.try_acquire_request(now))
    return;
  if (client.state() == MarketState::unresponsive || client.state() == MarketState::throttled)
    client.set_state(MarketState::probing, "one request to find out whether the market answers again");
  client.on_quotes_requested(now);
  Call call;
  call.market = market;
  call.kind = CallKind::quotes;
  call.kinds = wanted_kinds_;
  call_tracker_.send(std::move(call), now, calls);
}

void MarketPoller::request_charges(MarketClient& client, Seconds now, std::vector<Call>& calls) {
  MarketIndex market = client.market_settings().index;
  bool may_be_charged = bids_.has_bids_on(market) || charges_.has_settled_bids();
  if (!may_be_charged || !client.charges_due(now) ||
      call_tracker_.has_market_call(market, CallKind::charges) ||
      client.state() == MarketState::unresponsive || !client.try_acquire_request(now))
    return;
  client.on_charges_requested(now);
  Call call;
  call.market = market;
  call.kind = CallKind::charges;
  call.after_charge_number = client.last_charge_read();
  call_tracker_.send(std::move(call), now, calls);
}

}  // namespace oxbowmill::market
