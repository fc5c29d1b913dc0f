// The leader's trading with markets over HTTP: the desk's calls go out, answers come back within their time.
#pragma once

#include <memory>

#include "oxbowmill/core/fleet.h"
#include "oxbowmill/market/desk.h"
#include "oxbowmill/net/http.h"

namespace oxbowmill::service {

class Trading {
 public:
  /// `now` and `wall` in seconds. Registers itself as the fleet's source of machines.
  Trading(event_base* base, Model& model, Scheduler& scheduler, Fleet& fleet, market::Settings settings,
          std::function<double()> now, std::function<double()> wall);
  void pass(Effects& out);

 private:
  struct Open {
    market::Call call;
    double until = 0;
  };
  void send(const market::Call& call);
  /// Once for each call: by the market, or by the clock.
  void answered(std::uint64_t call, const net::Response& r);
  void give_up();
  Clock clock() const { return {now_(), wall_()}; }

  Model& model_;
  market::Settings settings_;
  market::Desk desk_;
  std::function<double()> now_, wall_;
  std::vector<std::unique_ptr<net::HttpClient>> clients_;  // by market
  std::map<std::uint64_t, Open> open_;
};

}  // namespace oxbowmill::service
