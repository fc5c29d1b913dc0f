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
  struct BidDraft {
    Offer offer;
    BidPriority priority = BidPriority::standard;
    double limit = 0;
    std::map<PartitionIndex, std::uint32_t> machines;
  };
  std::vector<BidDraft> drafts;
  std::vector<std::uint32_t> cloud_tasks;  // by need
};

class OfferSource {
 public:
  virtual ~OfferSource() = default;
  virtual void offers(Seconds now, std::vector<Offer>& out) const = 0;
  virtual void buy(const Award& award, const Offer& offer, const Demand& demand,
                   const std::vector<UnmetDemand>& needs, double reference, Purchases& out) const = 0;
};

/// The platform's cloud: its price is posted, it says at once what it gives, and renting stays the fleet's.
class CloudOfferSource : public OfferSource {
 public:
  /// What it offers now.
  void set_offers(const std::vector<CloudOffer>& offers) { offers_ = offers; }
  void offers(Seconds now, std::vector<Offer>& out) const override;
  void buy(const Award& award, const Offer& offer, const Demand& demand,
           const std::vector<UnmetDemand>& needs, double reference, Purchases& out) const override;

 private:
  std::vector<CloudOffer> offers_;
  mutable std::map<Seconds, DeliveryDistribution> distribution_cache_;  // by what is promised
};

enum class MarketState : std::uint8_t {
  untried,       // not heard yet
  trading,       // answers
  throttled,     // asked to be left alone for a while
  unresponsive,  // does not answer; nothing new until it does
  probing,       // one question is out to see whether it answers again
  suspended,     // broke what it promised in money: no new bids until an operator reopens it
};
const char* name_of(MarketState s);
bool may_follow(MarketState from, MarketState to);

class MarketClient : public OfferSource {
 public:
  MarketClient(const MarketSettings& m, const Settings& settings)
      : market_settings_(m), settings_(settings) {}

  void offers(Seconds now, std::vector<Offer>& out) const override;
  void buy(const Award& award, const Offer& offer, const Demand& demand,
           const std::vector<UnmetDemand>& needs, double reference, Purchases& out) const override;

  /// The only place where a market's state changes.
  bool set_state(MarketState to, const std::string& why);
  MarketState state() const { return state_; }
  /// New bids may be sent.
  bool accepts_bids() const { return state_ == MarketState::trading && !market_settings_.paused; }
  /// A question or a bid may be sent now, as far as its pauses and its rate go; takes one of its turns.
  bool try_acquire_request(Seconds now);
  /// What an answer says of the market itself; its content is read elsewhere.
  void on_answer(const Answer& answer, Seconds now);
  void on_quotes(const Answer& answer, Seconds asked_at, const Names& names);
  void load_record(const MarketRecord& record);
  MarketRecord to_record() const;
  void suspend(const std::string& why);

  // What it did.
  void record_machines(const MachineKind& kind, double kept, double broken);
  void record_delivery(const MachineKind& kind, Seconds promised_s, Seconds actual_s);
  void record_price(const MachineKind& kind, double quoted, double paid);
  Reputation reputation(const MachineKind& kind) const;
  const Reputation& overall_reputation() const { return overall_reputation_; }
  /// Machines of a kind that are overdue and not yet given up: held against it while they are out.
  std::map<MachineKind, double> overdue_machines;

  bool quotes_wanted(Seconds now, bool needed) const;
  void on_quotes_requested(Seconds now) { quotes_requested_at_ = now; }
  /// Of the quotes some can still be used.
  bool has_quotes(Seconds now) const;
  const MarketSettings& market_settings() const { return market_settings_; }
  bool has_unsaved_changes = false;  // trust or state, since it was last written
  std::uint64_t last_charge_read = 0;
  Seconds next_charges_at = 0;

 private:
  const MarketSettings& market_settings_;
  const Settings& settings_;
  MarketState state_ = MarketState::untried;
  std::string suspension_reason_;
  Reputation overall_reputation_;
  std::map<MachineKind, Reputation> reputation_by_kind_;
  struct Quote {
    QuoteUpdate update;
    Seconds expires_at = 0;
  };
  std::vector<Quote> quotes_;
  std::uint64_t evidence_version_ = 1;  // rises with each delivery that was judged
  mutable std::map<std::pair<MachineKind, int>, std::pair<std::uint64_t, DeliveryDistribution>>
      distribution_cache_;
  Seconds paused_until_ = 0, quotes_requested_at_ = -1e9, refilled_at_ = 0;
  double request_tokens_ = 1;
  int failures_ = 0;
};

}  // namespace oxbowmill::market
