#include "oxbowmill/service/market_service.h"

#include <spdlog/spdlog.h>

#include "oxbowmill/wire/market_codec.h"

namespace oxbowmill::service {

namespace {
constexpr std::size_t connections_per_market = 3;  // also limits those that a stalled market occupies
}  // namespace

MarketService::MarketService(event_base* base, ClusterState& state, Scheduler& scheduler,
                             Autoscaler& autoscaler, market::Settings settings,
                             MalformedMessageLog& malformed_messages, std::function<double()> clock,
                             std::function<double()> wall_clock)
    : state_(state),
      settings_(std::move(settings)),
      bidding_service_(state, scheduler, settings_),
      malformed_messages_(malformed_messages),
      clock_(std::move(clock)),
      wall_clock_(std::move(wall_clock)) {
  clients_.resize(state.names.markets.size());
  for (const market::MarketSettings& market_settings : settings_.markets) {
    clients_[market_settings.index.value] =
        std::make_unique<net::HttpClient>(base, net::parse_address(market_settings.address),
                                          connections_per_market, wire::max_market_body_size);
  }
  market::connect(bidding_service_, autoscaler);
}

void MarketService::run_cycle(Effects& out) {
  time_out_calls();
  std::vector<market::Call> calls;
  bidding_service_.run_cycle(clock(), out, calls);
  for (const market::Call& call : calls) send(call);
}

void MarketService::send(const market::Call& call) {
  pending_calls_[call.id] = {call, clock_() + settings_.answer_timeout_s};
  wire::MarketRequest request = wire::write_market_call(call, state_.names);
  SPDLOG_DEBUG("market call market={} path={} body={}", state_.names.markets.name(call.market), request.path,
               request.body.is_null() ? "" : wire::to_json_text(request.body));
  // The connection's timeout counts from the last byte transferred, the call's deadline from its sending.
  clients_[call.market.value]->send(
      request.is_post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, request.path,
      request.body.is_null() ? "" : wire::encode(request.body), settings_.answer_timeout_s,
      [this, id = call.id](const net::Response& http_response) { on_response(id, http_response); });
}

void MarketService::on_response(std::uint64_t call_id, const net::Response& http_response) {
  auto pending = pending_calls_.find(call_id);
  if (pending == pending_calls_.end()) return;
  market::Call call = std::move(pending->second.call);
  pending_calls_.erase(pending);
  market::Answer answer = wire::read_market_answer(call, http_response.status, http_response.body,
                                                   http_response.retry_after_s, state_.names);
  if (answer.kind == market::AnswerKind::malformed)
    malformed_messages_.record({"market_answer", state_.names.markets.name(call.market), answer.error});
  bidding_service_.on_answer(call, answer, clock());
}

void MarketService::time_out_calls() {
  double now = clock_();
  while (!pending_calls_.empty()) {
    auto late_call = std::find_if(pending_calls_.begin(), pending_calls_.end(),
                                  [now](const auto& entry) { return now >= entry.second.deadline; });
    if (late_call == pending_calls_.end()) return;
    on_response(late_call->first, {});
  }
}

}  // namespace oxbowmill::service
