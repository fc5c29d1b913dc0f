#include "oxbowmill/simulation/market_server.h"

namespace oxbowmill::simulation {

MarketServer::MarketServer(event_base* base, const net::Address& bind, SimulatedMarket market,
                           std::function<double()> now)
    : market_(std::move(market)),
      now_(std::move(now)),
      server_(base, bind, wire::max_body_size, [this](net::Request&& request) {
        if (on_request) on_request(request);
        MarketReply reply = market_.handle(request.method == EVHTTP_REQ_POST ? "POST" : "GET", request.path,
                                           request.body, now_());
        if (reply.status == 0) {
          stalled_.push_back(request.responder);
        } else {
          request.responder->reply(reply.status, reply.body, reply.retry_after_s);
        }
      }) {}

}  // namespace oxbowmill::simulation
