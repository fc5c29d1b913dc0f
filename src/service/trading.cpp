#include "oxbowmill/service/trading.h"

#include <spdlog/spdlog.h>

#include "oxbowmill/wire/market_codec.h"

namespace oxbowmill::service {

namespace {
constexpr std::size_t connections = 3;  // to each market: one that stalls takes up no more
}  // namespace

Trading::Trading(event_base* base, Model& model, Scheduler& scheduler, Fleet& fleet,
                 market::Settings settings, std::function<double()> now, std::function<double()> wall)
    : model_(model),
      settings_(std::move(settings)),
      desk_(model, scheduler, settings_),
      now_(std::move(now)),
      wall_(std::move(wall)) {
  clients_.resize(model.names.markets.size());
  for (const market::MarketSettings& m : settings_.markets) {
    clients_[m.index.v] = std::make_unique<net::HttpClient>(base, net::parse_address(m.address), connections,
                                                            wire::most_market_body);
  }
  market::connect(desk_, fleet);
}

void Trading::pass(Effects& out) {
  give_up();
  std::vector<market::Call> calls;
  desk_.pass(clock(), out, calls);
  for (const market::Call& c : calls) send(c);
}

void Trading::send(const market::Call& call) {
  open_[call.id] = {call, now_() + settings_.answer_s};
  wire::MarketRequest r = wire::write_market_call(call, model_.names);
  SPDLOG_DEBUG("market {}: {} {}", model_.names.markets.name(call.market), r.path,
               r.body.is_null() ? "" : r.body.dump());
  // The connection's own time-out counts from its last byte; the call's (below) from when it was sent.
  clients_[call.market.v]->send(r.post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, r.path,
                                r.body.is_null() ? "" : wire::encode(r.body), settings_.answer_s,
                                [this, id = call.id](const net::Response& a) { answered(id, a); });
}

void Trading::answered(std::uint64_t call, const net::Response& r) {
  auto it = open_.find(call);
  if (it == open_.end()) return;
  market::Call c = std::move(it->second.call);
  open_.erase(it);
  desk_.on_answer(c, wire::read_market_answer(c, r.status, r.body, r.retry_after_s, model_.names), clock());
}

void Trading::give_up() {
  double now = now_();
  while (!open_.empty()) {
    auto late =
        std::find_if(open_.begin(), open_.end(), [now](const auto& o) { return now >= o.second.until; });
    if (late == open_.end()) return;
    answered(late->first, {});
  }
}

}  // namespace oxbowmill::service
