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

namespace oxbowmill::lab {

/// How a market behaves; chances are per bid or per answer.
struct Character {
  std::string name;
  double price = 8;  // per machine and hour, around which its quotes lie
  std::uint32_t capacity = 40;
  double delivery_s = 45, delivery_spread = 0.15;
  double valid_s = 12, auction_s = 2;
  double bad_from_s = 0, bad_to_s = 1e9;  // what follows holds only then
  double raise_chance = 0, raise_by = 1.2;
  double never = 0;  // accepts and never delivers
  double late = 0, late_by = 4;
  double short_share = 1;  // of what it accepts it delivers so much
  double wrong = 0, twice = 0;
  double throttle = 0, garble = 0, absurd = 0;
  double stall = 0;            // gets the request, gives no answer
  double deaf = 0;             // does not even get it
  bool keeps_running = false;  // says returned, and the machine runs on
  double overcharge = 1;
};

struct MarketReply {
  int status = 200;  // 0: none
  std::string body;
  int retry_after_s = 0;
};

class Market {
 public:
  Market(Character c, std::uint64_t seed, std::vector<std::string> types, std::vector<std::string> zones);

  MarketReply handle(const std::string& method, const std::string& path, const std::string& body, double now);
  /// The same by a desk's call, through the codec both ways.
  market::Answer ask(const market::Call& c, const Names& names, double now);
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
  const Character& character() const { return c_; }
  /// Bids that it got under this name with different contents.
  int renamed = 0;

 private:
  struct Bid {
    wire::Json asked;
    std::string phase = "open";
    double limit = 0, rate = 0, raise = 0, decides_at = 0, term_s = 0;
    std::uint64_t round = 0;
    std::uint32_t count = 0, expects = 0;
    std::vector<double> deliveries;  // times to come
    std::set<std::string> hosts;
    bool wrong = false, twice = false;
    double factor = 1;
  };
  bool bad(double now) const { return now >= c_.bad_from_s && now < c_.bad_to_s; }
  bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(random_) < p; }
  wire::Json quotes(const wire::Json& body, double now);
  MarketReply bid(const wire::Json& body, double now);
  wire::Json state_of(const std::string& name, double now);
  void decide(Bid& b, double now);
  void accept(Bid& b, double rate, double now);
  void deliver(const std::string& name, Bid& b, double now);
  void maybe_close(Bid& b);
  double charge(const Bid& b, double now) const;
  std::uint32_t busy() const;

  Character c_;
  std::mt19937_64 random_;
  std::vector<std::string> types_, zones_;
  std::map<std::string, Bid> bids_;
  std::map<std::string, Host> hosts_;
  std::uint64_t named_ = 0, quoted_ = 0;
};

}  // namespace oxbowmill::lab
