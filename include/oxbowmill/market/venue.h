// Where machines can be had, behind one interface: the platform's cloud at its posted price, and markets that
// quote, hold auctions and may lie.
#pragma once

#include <map>
#include <set>

#include "oxbowmill/market/calls.h"
#include "oxbowmill/market/planner.h"

namespace oxbowmill::market {

/// Collects what a plan's awards come to.
struct Purchases {
  /// Machines of one offer for one claim; becomes a bid.
  struct Draft {
    Offer offer;
    Claim claim = Claim::standard;
    double limit = 0;
    std::map<PartIndex, std::uint32_t> machines;
  };
  std::vector<Draft> drafts;
  std::vector<std::uint32_t> cloud_tasks;  // by need
};

class Venue {
 public:
  virtual ~Venue() = default;
  virtual void offers(Seconds now, std::vector<Offer>& out) const = 0;
  virtual void buy(const Award& a, const Offer& o, const Demand& d, const std::vector<Need>& needs,
                   double reference, Purchases& out) const = 0;
};

/// The platform's cloud: its price is posted, it says at once what it gives, and renting stays the fleet's.
class CloudVenue : public Venue {
 public:
  /// What it offers now.
  void post(const std::vector<CloudOffer>& offers) { offers_ = offers; }
  void offers(Seconds now, std::vector<Offer>& out) const override;
  void buy(const Award& a, const Offer& o, const Demand& d, const std::vector<Need>& needs, double reference,
           Purchases& out) const override;

 private:
  std::vector<CloudOffer> offers_;
  mutable std::map<Seconds, Punctuality> tables_;  // by what is promised
};

enum class VenueState : std::uint8_t {
  fresh,      // not heard yet
  trading,    // answers
  throttled,  // asked to be left alone for a while
  silent,     // does not answer; nothing new until it does
  probing,    // one question is out to see whether it answers again
  shut,       // broke what it promised in money: no new bids until an operator reopens it
};
const char* name_of(VenueState s);
bool may_follow(VenueState from, VenueState to);

class MarketVenue : public Venue {
 public:
  MarketVenue(const MarketSettings& m, const Settings& s) : market_(m), settings_(s) {}

  void offers(Seconds now, std::vector<Offer>& out) const override;
  void buy(const Award& a, const Offer& o, const Demand& d, const std::vector<Need>& needs, double reference,
           Purchases& out) const override;

  /// The only place where a market's state changes.
  bool set_state(VenueState to, const std::string& why);
  VenueState state() const { return state_; }
  /// New bids may be sent.
  bool open_for_business() const { return state_ == VenueState::trading && !market_.paused; }
  /// A question or a bid may be sent now, as far as its pauses and its rate go; takes one of its turns.
  bool turn(Seconds now);
  /// What an answer says of the market itself; its content is read elsewhere.
  void heard(const Answer& a, Seconds now);
  void quoted(const Answer& a, Seconds asked_at, const Names& names);
  void read_durable(const MarketRecord& r);
  MarketRecord durable() const;
  void shut(const std::string& why);

  // What it did.
  void judge_machines(const Kind& k, double kept, double broken);
  void judge_delivery(const Kind& k, Seconds promised_s, Seconds actual_s);
  void judge_price(const Kind& k, double quoted, double paid);
  Trust trust(const Kind& k) const;
  const Trust& whole() const { return whole_; }
  /// Machines of a kind that are overdue and not yet given up: held against it while they are out.
  std::map<Kind, double> overdue;

  bool quotes_wanted(Seconds now, bool needed) const;
  void asked_for_quotes(Seconds now) { asked_quotes_ = now; }
  /// Of the quotes some can still be used.
  bool has_quotes(Seconds now) const;
  const MarketSettings& market() const { return market_; }
  bool changed = false;  // trust or state, since it was last written
  std::uint64_t charges_read = 0;
  Seconds next_charges = 0;

 private:
  const MarketSettings& market_;
  const Settings& settings_;
  VenueState state_ = VenueState::fresh;
  std::string why_shut_;
  Trust whole_;
  std::map<Kind, Trust> kinds_;
  struct Quote {
    QuoteNews news;
    Seconds ends = 0;
  };
  std::vector<Quote> quotes_;
  std::uint64_t learnt_ = 1;  // rises with each delivery that was judged
  mutable std::map<std::pair<Kind, int>, std::pair<std::uint64_t, Punctuality>> tables_;
  Seconds paused_until_ = 0, asked_quotes_ = -1e9, refilled_ = 0;
  double turns_ = 1;
  int failures_ = 0;
};

}  // namespace oxbowmill::market
