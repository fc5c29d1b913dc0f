// Simulated market: speaks docs/market-protocol.md, with faults as its behavior says. Serves both the
// simulated clock and loopback.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/wire/market_codec.h"

namespace oxbowmill::simulation {

/// How a market behaves; chances are per bid or per response.
struct MarketBehavior {
  std::string name;
  double price = 8;  // per machine and hour, around which its quotes lie
  std::uint32_t capacity = 40;
  double delivery_s = 45, delivery_spread = 0.15;
  double valid_s = 12, auction_s = 2;
  double faults_from_s = 0, faults_to_s = 1e9;  // the faults below occur only in this time
  double raise_chance = 0, raise_factor = 1.2;
  double never_delivers_chance = 0;  // wins the bid and never delivers
  double late_chance = 0, late_factor = 4;
  double delivered_fraction = 1;  // of the machines of a bid
  double wrong_delivery_chance = 0, double_delivery_chance = 0;
  double throttle_chance = 0, garbled_response_chance = 0, absurd_response_chance = 0;
  double stall_chance = 0;         // handles the request and does not respond
  double lost_request_chance = 0;  // does not receive the request
  bool runs_after_return = false;  // confirms the return, and the machine keeps running
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
  /// The same for a call of the bidding service, encoded and decoded.
  market::Answer call(const market::Call& c, const Names& names, double now);
  /// Decides auctions, delivers machines and ends those whose paid time is over.
  void tick(double now);

  struct Host {
    std::string name, bid, type, zone;
    double since = 0, until = -1;  // charged from, to; below 0: still charged
    bool alive = true;
    bool returned = false;
  };
  const std::map<std::string, Host>& hosts() const { return hosts_; }
  /// Sum of the charges that it reports.
  double charged(double now) const;
  const MarketBehavior& behavior() const { return behavior_; }
  /// Bids that arrived under a known name with different contents.
  int reused_bid_names = 0;

 private:
  struct Bid {
    wire::Json request;
    std::string phase = "open";
    double limit = 0, rate = 0, raise = 0, decides_at = 0, duration_s = 0;
    std::uint64_t round = 0;
    std::uint32_t count = 0, expected_count = 0;
    std::vector<double> deliveries;  // times of outstanding deliveries, the earliest last
    std::set<std::string> hosts;
    bool delivers_wrong_machines = false, delivers_twice = false;
    double overcharge_factor = 1;
  };
  bool faults_active(double now) const {
    return now >= behavior_.faults_from_s && now < behavior_.faults_to_s;
  }
  bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(random_) < p; }
  MarketReply route(const std::string& method, const std::string& path, const std::string& body, double now);
  MarketReply handle_bid(const std::string& method, const std::string& name_and_verb,
                         const wire::Json& request, double now);
  void withdraw(const std::string& name);
  MarketReply confirm(const std::string& name, Bid& bid, const wire::Json& request, double now);
  wire::Json return_hosts(const wire::Json& request, double now);
  wire::Json charges(double now) const;
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
