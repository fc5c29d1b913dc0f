// Simulates a market that implements docs/market-protocol.md, with configurable faults. SimulatedMarket owns
// its bids and machines. It has neither a clock nor sockets, so that it runs on a simulated clock as well as
// behind the HTTP server of MarketServer. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/wire/market_codec.h"

namespace oxbowmill::simulation {

/// Behaviour of a market. Chances are per bid or per response, times in seconds.
struct MarketBehavior {
  std::string name;                  ///< name of the market and prefix of its machines' names
  double price = 8;                  ///< price per machine and hour; quotes differ from it by at most 3 %
  std::uint32_t capacity = 40;       ///< most machines delivered or ordered at once
  double delivery_s = 45,            ///< median delivery time
      delivery_spread = 0.15;        ///< standard deviation of the logarithm of the delivery time
  double valid_s = 12,               ///< validity of a quote
      auction_s = 2;                 ///< time until a bid is decided
  double faults_from_s = 0,          ///< the faults below occur only from this time on
      faults_to_s = 1e9;             ///< and until this time
  double raise_chance = 0,           ///< raises the price of a bid
      raise_factor = 1.2;            ///< factor of the raised price
  double never_delivers_chance = 0;  ///< accepts a bid and never delivers
  double late_chance = 0,            ///< delivers late, by `late_factor`
      late_factor = 4;               ///< factor of the late delivery time
  double delivered_fraction = 1;     ///< fraction of the machines of a bid that is delivered
  double wrong_delivery_chance = 0,  ///< delivers machines of another zone or type
      double_delivery_chance = 0;    ///< delivers machines that belong to another bid
  double throttle_chance = 0,        ///< answers a request with 429 or 503
      garbled_response_chance = 0,   ///< answers with a body that cannot be decoded
      absurd_response_chance = 0;    ///< quotes an invalid price: negative, 0, not a number or 1e300
  double stall_chance = 0;           ///< handles the request and does not respond
  double lost_request_chance = 0;    ///< ignores the request without a response
  bool runs_after_return = false;    ///< confirms a return but keeps the machine running
  double overcharge_factor = 1;      ///< charges this multiple of the price
};

/// HTTP response of the market.
struct MarketReply {
  int status = 200;       ///< HTTP status; 0: no response
  std::string body;       ///< CBOR
  int retry_after_s = 0;  ///< seconds; 0: not stated
};

/// One market. Times are in seconds of the caller's clock, which starts at 0.
class SimulatedMarket {
 public:
  /// `types`, `zones`: names of the machine types and zones that it can deliver.
  SimulatedMarket(MarketBehavior behavior, std::uint64_t seed, std::vector<std::string> types,
                  std::vector<std::string> zones);

  /// Handles one request; `body` is CBOR or empty.
  MarketReply handle(const std::string& method, const std::string& path, const std::string& body, double now);
  /// Encodes a call of the bidding service, handles it as a request and decodes the response.
  market::Answer call(const market::Call& c, const Names& names, double now);
  /// Decides auctions, delivers machines and stops machines whose paid time is over.
  void tick(double now);

  /// A delivered machine. Times are in seconds.
  struct Host {
    std::string name,          ///< unique within the market
        bid,                   ///< name of the bid that it was delivered for
        type,                  ///< machine type
        zone;                  ///< zone
    double charged_since = 0,  ///< time from which it is charged
        charged_until = -1;    ///< time until which it is charged; below 0: it is still charged
    bool alive = true;         ///< the machine is running
    bool returned = false;     ///< its return was confirmed
  };
  /// Delivered machines by name, including those that have ended.
  const std::map<std::string, Host>& hosts() const { return hosts_; }
  /// Sum of the charges that it reports, in the currency of its prices.
  double charged(double now) const;
  /// Behaviour with which it was created.
  const MarketBehavior& behavior() const { return behavior_; }
  /// Number of bids that arrived under the name of another bid with different contents.
  int reused_bid_names = 0;

 private:
  struct Bid {
    wire::Json request;
    std::string phase = "open";
    double price_limit = 0, price = 0, raised_price = 0, decides_at = 0, duration_s = 0;
    std::uint64_t round = 0;
    std::uint32_t count = 0, expected_count = 0;
    std::vector<double> delivery_times;  // times of outstanding deliveries, the earliest last
    std::set<std::string> hosts;
    bool delivers_wrong_machines = false, delivers_twice = false;
    double overcharge_factor = 1;
  };
  bool faults_active(double now) const {
    return now >= behavior_.faults_from_s && now < behavior_.faults_to_s;
  }
  bool happens(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
  MarketReply route(const std::string& method, const std::string& path, const std::string& body, double now);
  MarketReply handle_bid(const std::string& method, const std::string& name_and_verb,
                         const wire::Json& request, double now);
  void withdraw(const std::string& name);
  MarketReply confirm(const std::string& name, Bid& bid, const wire::Json& request, double now);
  wire::Json return_hosts(const wire::Json& request, double now);
  wire::Json charges(double now) const;
  wire::Json quotes(const wire::Json& body, double now);
  MarketReply bid(const wire::Json& body, double now);
  wire::Json bid_json(const std::string& name, double now);
  void decide(Bid& bid, double now);
  void accept(Bid& bid, double price, double now);
  void deliver(const std::string& name, Bid& bid, double now);
  /// Ends a won bid that expects no more machines: `closed` once its machines have ended, `withdrawn` if it
  /// has none.
  void close_if_finished(Bid& bid);
  double charge(const Bid& bid, double now) const;
  /// Number of machines that are charged, ordered or bid for.
  std::uint32_t machines_in_use() const;

  MarketBehavior behavior_;
  std::mt19937_64 random_;
  std::vector<std::string> types_, zones_;
  std::map<std::string, Bid> bids_;
  std::map<std::string, Host> hosts_;
  std::uint64_t last_host_number_ = 0, last_quote_number_ = 0;
};

}  // namespace oxbowmill::simulation
