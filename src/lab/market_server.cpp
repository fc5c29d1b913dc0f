#include "oxbowmill/lab/market_server.h"

namespace oxbowmill::lab {

MarketServer::MarketServer(event_base* base, const net::Address& bind, Market market,
                           std::function<double()> now)
    : market_(std::move(market)),
      now_(std::move(now)),
      server_(base, bind, wire::most_body, [this](net::Request&& r) {
        if (on_request) on_request(r);
        MarketReply a = market_.handle(r.method == EVHTTP_REQ_POST ? "POST" : "GET", r.path, r.body, now_());
        if (a.status == 0) {
          stalled_.push_back(r.responder);
        } else {
          r.responder->reply(a.status, a.body, a.retry_after_s);
        }
      }) {}

}  // namespace oxbowmill::lab
