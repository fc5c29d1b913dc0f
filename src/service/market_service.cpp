#include "oxbowmill/service/market_service.h"

#include <spdlog/spdlog.h>

#include "oxbowmill/wire/market_codec.h"

namespace oxbowmill::service {

namespace {
constexpr std::size_t connections_per_market = 3;  // to each market: one that stalls takes up no more
}  // namespace

MarketService::MarketService(event_base* base, ClusterState& model, Scheduler& scheduler, Autoscaler& fleet,
                             market::Settings settings, std::function<double()> now,
                             std::function<double()> wall)
    : state_(model),
      settings_(std::move(settings)),
      bidding_service_(model, scheduler, settings_),
      clock_(std::move(now)),
      wall_clock_(std::move(wall)) {
  clients_.resize(model.names.markets.size());
  for (const market::MarketSettings& m : settings_.markets) {
    clients_[m.index.value] = std::make_unique<net::HttpClient>(
        base, net::parse_address(m.address), connections_per_market, wire::max_market_body_size);
  }
  market::connect(bidding_service_, fleet);
}

void MarketService::run_cycle(Effects& out) {
  time_out_calls();
  std::vector<market::Call> calls;
  bidding_service_.run_cycle(clock(), out, calls);
  for (const market::Call& c : calls) send(c);
}

void MarketService::send(const market::Call& call) {
  pending_calls_[call.id] = {call, clock_() + settings_.answer_timeout_s};
  wire::MarketRequest request = wire::write_market_call(call, state_.names);
  SPDLOG_DEBUG("market {}: {} {}", state_.names.markets.name(call.market), request.path,
               request.body.is_null() ? "" : request.body.dump());
  // The connection's own time-out counts from its last byte; the call's (below) from when it was sent.
  clients_[call.market.value]->send(
      request.is_post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, request.path,
      request.body.is_null() ? "" : wire::encode(request.body), settings_.answer_timeout_s,
      [this, id = call.id](const net::Response& http_response) { on_response(id, http_response); });
}

void MarketService::on_response(std::uint64_t call, const net::Response& http_response) {
  auto it = pending_calls_.find(call);
  if (it == pending_calls_.end()) return;
  market::Call c = std::move(it->second.call);
  pending_calls_.erase(it);
  bidding_service_.on_answer(c,
                             wire::read_market_answer(c, http_response.status, http_response.body,
                                                      http_response.retry_after_s, state_.names),
                             clock());
}

void MarketService::time_out_calls() {
  double now = clock_();
  while (!pending_calls_.empty()) {
    auto late = std::find_if(pending_calls_.begin(), pending_calls_.end(),
                             [now](const auto& o) { return now >= o.second.deadline; });
    if (late == pending_calls_.end()) return;
    on_response(late->first, {});
  }
}

}  // namespace oxbowmill::service
