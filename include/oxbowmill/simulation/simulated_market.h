// Stand-in for a market: answers docs/market-protocol.md as honestly as its character allows. One model for
// the simulated clock and for loopback.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/wire/market_codec.h"

namespace oxbowmill::simulation {

/// How a market behaves; chances are per bid or per answer.
struct MarketBehavior {
  std::string name;
  double price = 8;  // per machine and hour, around which its quotes lie
  std::uint32_t capacity = 40;
  double delivery_s = 45, delivery_spread = 0.15;
  double valid_s = 12, auction_s = 2;
  double faults_from_s = 0, faults_to_s = 1e9;  // what follows holds only then
  double raise_chance = 0, raise_factor = 1.2;
  double never_delivers_chance = 0;  // accepts and never delivers
  double late_chance = 0, late_factor = 4;
  double delivered_fraction = 1;  // of what it accepts it delivers so much
  double wrong_delivery_chance = 0, double_delivery_chance = 0;
  double throttle_chance = 0, garbled_response_chance = 0, absurd_response_chance = 0;
  double stall_chance = 0;         // gets the request, gives no answer
  double lost_request_chance = 0;  // does not even get it
  bool runs_after_return = false;  // says returned, and the machine runs on
  double overcharge_factor = 1;
};

struct MarketReply {
  int status = 200;  // 0: none
  std::string body;
  int retry_after_s = 0;
};

class SimulatedMarket {
 public:
  SimulatedMarket(MarketBehavior profile, std::uint64_t seed, std::vector<std::string> types,
                  std::vector<std::string> zones);

  MarketReply handle(const std::string& method, const std::string& path, const std::string& body, double now);
  /// The same by a desk's call, through the codec both ways.
  market::Answer call(const market::Call& c, const Names& names, double now);
  /// Auctions end, machines are delivered, terms run out.
  void tick(double now);

  struct Host {
    std::string name, bid, type, zone;
    double since = 0, until = -1;  // charged; below 0: still
    bool alive = true;
    bool returned = false;
  };
  const std::map<std::string, Host>& hosts() const { return hosts_; }
  /// What it says it has charged up to now.
  double charged(double now) const;
  const MarketBehavior& behavior() const { return behavior_; }
  /// Bids that it got under this name with different contents.
  int reused_bid_names = 0;

 private:
  struct Bid {
    wire::Json request;
    std::string phase = "open";
    double limit = 0, rate = 0, raise = 0, decides_at = 0, duration_s = 0;
    std::uint64_t round = 0;
    std::uint32_t count = 0, expected_count = 0;
    std::vector<double> deliveries;  // times to come
    std::set<std::string> hosts;
    bool delivers_wrong_machines = false, delivers_twice = false;
    double overcharge_factor = 1;
  };
  bool faults_active(double now) const {
    return now >= behavior_.faults_from_s && now < behavior_.faults_to_s;
  }
  bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(random_) < p; }
  wire::Json quotes(const wire::Json& body, double now);
  MarketReply bid(const wire::Json& body, double now);
  wire::Json state_of(const std::string& name, double now);
  void decide(Bid& bid, double now);
  void accept(Bid& bid, double rate, double now);
  void deliver(const std::string& name, Bid& bid, double now);
  void maybe_close(Bid& bid);
  double charge(const Bid& bid, double now) const;
  std::uint32_t busy() const;

  MarketBehavior behavior_;
  std::mt19937_64 random_;
  std::vector<std::string> types_, zones_;
  std::map<std::string, Bid> bids_;
  std::map<std::string, Host> hosts_;
  std::uint64_t last_host_number_ = 0, last_quote_number_ = 0;
};

}  // namespace oxbowmill::simulation
