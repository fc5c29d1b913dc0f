// One market as the leader sees it: the state of the connection, the rate of requests, its quotes, and what
// has been learnt of its reliability. Owns all of that; sends nothing itself. Used on the controller's thread
// only.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "oxbowmill/market/calls.h"
#include "oxbowmill/market/cloud_offer_source.h"
#include "oxbowmill/market/market_state.h"
#include "oxbowmill/market/offer_source.h"

namespace oxbowmill::market {

/// Connection to one market, its quotes and its reputation.
class MarketClient : public OfferSource {
 public:
  /// Both settings must outlive it.
  MarketClient(const MarketSettings& market_settings, const Settings& settings)
      : market_settings_(market_settings), settings_(settings) {}

  void offers(Seconds now, std::vector<Offer>& out) const override;
  void buy(const Award& award, const Offer& offer, const Demand& demand,
           const std::vector<UnmetDemand>& unmet_demands, double reference, Purchases& out) const override;

  /// The only place where the market's state changes; false, and nothing changed, if the transition is not
  /// allowed.
  bool set_state(MarketState to, const std::string& why);
  /// State of the connection.
  MarketState state() const { return state_; }
  /// Whether new bids may be sent.
  bool accepts_bids() const { return state_ == MarketState::trading && !market_settings_.paused; }
  /// Whether a request may be sent at `now` (seconds, steady) under its pauses and its rate; if so, uses up
  /// one request of that rate.
  [[nodiscard]] bool try_acquire_request(Seconds now);
  /// Updates the connection's state by the kind of an answer; its content is for others.
  void on_answer(const Answer& answer, Seconds now);
  /// Replaces the quotes; `requested_at` is when they were asked for (seconds, steady).
  void on_quotes(const Answer& answer, Seconds requested_at, const Names& names);
  /// Adopts what an earlier leader stored.
  void load_record(const MarketRecord& record);
  /// What is stored of it.
  MarketRecord to_record() const;
  /// Stops new bids until an operator reinstates the market. The reason is stored with its record.
  void suspend(const std::string& why);

  /// Counts machines that came as agreed (`kept`) and that did not (`broken`).
  void record_machines(const MachineKind& kind, double kept, double broken);
  /// Counts a delivery: promised within `promised_s` of the bid, made after `actual_s` (seconds).
  void record_delivery(const MachineKind& kind, Seconds promised_s, Seconds actual_s);
  /// Counts a final price against the quoted one (the currency per machine and hour).
  void record_price(const MachineKind& kind, double quoted, double paid);
  /// What is expected of it for a kind of machine, overdue ones counted against it.
  Reputation reputation(const MachineKind& kind) const;
  /// What is known of the whole market; this is what is stored.
  const Reputation& overall_reputation() const { return overall_reputation_; }
  /// Forgets all overdue machines.
  void clear_overdue_machines() { overdue_machines_.clear(); }
  /// Counts machines against it while they are overdue and not yet given up.
  void add_overdue_machines(const MachineKind& kind, std::uint32_t machines) {
    overdue_machines_[kind] += machines;
  }

  /// Whether quotes should be requested now; `needed`: something is in demand.
  bool quotes_wanted(Seconds now, bool needed) const;
  /// Notes that quotes have been requested.
  void on_quotes_requested(Seconds now) { quotes_requested_at_ = now; }
  /// Whether any quote is still valid.
  bool has_quotes(Seconds now) const;
  /// Whether its list of charges is due to be read.
  bool charges_due(Seconds now) const { return now >= next_charges_at_; }
  /// Notes that its charges have been requested.
  void on_charges_requested(Seconds now);
  /// Number of the last charge that was read; 0: none.
  std::uint64_t last_charge_read() const { return last_charge_read_; }
  /// Notes that a charge was read.
  void on_charge_read(std::uint64_t number);
  /// Reads its charges from the first on again.
  void restart_charges() { last_charge_read_ = 0; }

  /// Whether reputation or suspension changed since they were last written.
  bool has_unsaved_changes() const { return has_unsaved_changes_; }
  /// Notes that its record is being written (false) or has to be written again (true).
  void set_unsaved_changes(bool unsaved) { has_unsaved_changes_ = unsaved; }
  /// The operators' settings of this market.
  const MarketSettings& market_settings() const { return market_settings_; }

 private:
  struct Quote {
    QuoteUpdate update;
    Seconds expires_at = 0;  // steady
  };
  struct CachedDistribution {
    std::uint64_t evidence_version = 0;  // that it was made from; 0: not made yet
    DeliveryDistribution distribution;
  };
  void on_no_answer(AnswerKind kind, Seconds now);
  Offer make_offer(const Quote& quote, const Reputation& reputation) const;
  const DeliveryDistribution& delivery_distribution(const QuoteUpdate& quote,
                                                    const Reputation& reputation) const;

  const MarketSettings& market_settings_;
  const Settings& settings_;
  MarketState state_ = MarketState::untried;
  std::string suspension_reason_;
  Reputation overall_reputation_;
  std::map<MachineKind, Reputation> reputation_by_kind_;
  std::map<MachineKind, double> overdue_machines_;
  std::vector<Quote> quotes_;
  std::uint64_t evidence_version_ = 1;  // rises with each delivery that is counted
  mutable std::map<std::pair<MachineKind, int>, CachedDistribution>
      distribution_cache_;  // by kind and promised delivery in whole seconds
  bool has_unsaved_changes_ = false;
  std::uint64_t last_charge_read_ = 0;
  Seconds next_charges_at_ = 0;
  Seconds paused_until_ = 0;
  Seconds quotes_requested_at_ = never;
  Seconds refilled_at_ = 0;  // when the rate's budget was last refilled
  double request_tokens_ = 1;
  int failures_ = 0;  // calls in a row without a readable answer
};

}  // namespace oxbowmill::market
