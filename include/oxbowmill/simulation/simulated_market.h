// Simulated market: implements docs/market-protocol.md with the faults that its behaviour states. It owns its
// bids and machines. It has no clock or sockets: it serves the simulated clock and, by MarketServer,
// loopback. One thread.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/wire/market_codec.h"

namespace oxbowmill::simulation {

/// How a market behaves; chances are per bid or per response, times in seconds.
struct MarketBehavior {
  std::string name;                  ///< also the prefix of its machines' names
  double price = 8;                  ///< per machine and hour; its quotes are within 3 % of it
  std::uint32_t capacity = 40;       ///< most machines delivered or on order at once
  double delivery_s = 45,            ///< median delivery time
      delivery_spread = 0.15;        ///< standard deviation of its logarithm
  double valid_s = 12,               ///< validity of a quote
      auction_s = 2;                 ///< time until a bid is decided
  double faults_from_s = 0,          ///< the faults below occur only from this time
      faults_to_s = 1e9;             ///< until this time
  double raise_chance = 0,           ///< it asks for a higher price
      raise_factor = 1.2;            ///< by this factor
  double never_delivers_chance = 0;  ///< wins the bid and never delivers
  double late_chance = 0,            ///< delivers late
      late_factor = 4;               ///< by this factor
  double delivered_fraction = 1;     ///< of the machines of a bid
  double wrong_delivery_chance = 0,  ///< delivers machines of another zone or type
      double_delivery_chance = 0;    ///< delivers machines that belong to another bid
  double throttle_chance = 0,        ///< answers 429 or 503
      garbled_response_chance = 0,   ///< answers with a body that cannot be decoded
      absurd_response_chance = 0;    ///< quotes a price that makes no sense
  double stall_chance = 0;           ///< handles the request and does not respond
  double lost_request_chance = 0;    ///< does not receive the request
  bool runs_after_return = false;    ///< confirms the return, and the machine keeps running
  double overcharge_factor = 1;      ///< charges so many times the price
};

/// A response of the market.
struct MarketReply {
  int status = 200;       ///< HTTP status; 0: no response
  std::string body;       ///< CBOR
  int retry_after_s = 0;  ///< seconds; 0: not stated
};

/// One market. Times are in seconds on the caller's clock, from 0 on.
class SimulatedMarket {
 public:
  /// `types`, `zones`: names of what it can deliver.
  SimulatedMarket(MarketBehavior profile, std::uint64_t seed, std::vector<std::string> types,
                  std::vector<std::string> zones);

  /// Handles one request; `body` in CBOR, may be empty.
  MarketReply handle(const std::string& method, const std::string& path, const std::string& body, double now);
  /// The same for a call of the bidding service, encoded and decoded.
  market::Answer call(const market::Call& c, const Names& names, double now);
  /// Decides auctions, delivers machines and ends those whose paid time is over.
  void tick(double now);

  /// A machine that was delivered.
  struct Host {
    std::string name,       ///< unique within the market
        bid,                ///< the bid that it was delivered for
        type,               ///< machine type
        zone;               ///< zone
    double since = 0,       ///< charged from
        until = -1;         ///< charged until; below 0: still charged
    bool alive = true;      ///< its agent runs
    bool returned = false;  ///< its return was confirmed
  };
  /// By name; machines stay here after their end.
  const std::map<std::string, Host>& hosts() const { return hosts_; }
  /// Sum of the charges that it reports.
  double charged(double now) const;
  /// As it was made.
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
