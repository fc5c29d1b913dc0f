// The leader's view of one market: connection state, request rate, quotes and reputation. Sends no requests
// itself. Used on the controller's thread only.
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

/// Holds the connection state, quotes and reputation of one market.
class MarketClient : public OfferSource {
 public:
  /// Both arguments must outlive this object.
  MarketClient(const MarketSettings& market_settings, const Settings& settings)
      : market_settings_(market_settings), settings_(settings) {}

  void append_offers(Seconds now, std::vector<Offer>& out) const override;
  void add_purchase(const Award& award, const Offer& offer, const Demand& demand,
                    const std::vector<UnmetDemand>& unmet_demands, double reference_price,
                    Purchases& out) const override;

  /// Changes the connection state; the only place that does. Returns false and changes nothing if the
  /// transition is not allowed.
  bool set_state(MarketState to, const std::string& reason);
  /// Current connection state.
  MarketState state() const { return state_; }
  /// Whether new bids may be sent.
  bool accepts_bids() const { return state_ == MarketState::trading && !market_settings_.paused; }
  /// Whether the pauses and the rate limit allow a request at `now` (steady clock); if so, takes one token
  /// from the rate limit.
  [[nodiscard]] bool try_acquire_request(Seconds now);
  /// Updates the connection state from the kind of an answer; its content is handled elsewhere.
  void on_answer(const Answer& answer, Seconds now);
  /// Replaces the quotes. `requested_at` is the time of the request (steady clock).
  void on_quotes(const Answer& answer, Seconds requested_at, const Names& names);
  /// Loads the stored record: reputation and suspension.
  void load_record(const MarketRecord& record);
  /// The record to be stored.
  MarketRecord to_record() const;
  /// Suspends the market: no new bids until an operator reinstates it. The reason is stored in its record.
  void suspend(const std::string& reason);

  /// Counts machines that were delivered as agreed (`delivered`) and that were not (`undelivered`).
  void record_machines(const MachineKind& kind, double delivered, double undelivered);
  /// Counts a delivery that was promised within `promised_s` of the bid and made after `actual_s` (seconds).
  void record_delivery(const MachineKind& kind, Seconds promised_s, Seconds actual_s);
  /// Counts the ratio of a final price to the quoted one (both in the currency per machine and hour).
  void record_price(const MachineKind& kind, double quoted, double paid);
  /// Reputation for a kind of machine; machines that are overdue now count as not delivered.
  Reputation reputation(const MachineKind& kind) const;
  /// Reputation over all kinds of machines; only this one is stored.
  const Reputation& overall_reputation() const { return overall_reputation_; }
  /// Resets the counts of overdue machines.
  void clear_overdue_machines() { overdue_machines_.clear(); }
  /// Counts machines that are overdue and not yet given up as not delivered, until the counts are reset.
  void add_overdue_machines(const MachineKind& kind, std::uint32_t machines) {
    overdue_machines_[kind] += machines;
  }

  /// Whether quotes should be requested now. `has_demand`: there is unmet demand.
  bool quotes_due(Seconds now, bool has_demand) const;
  /// Records that quotes have been requested.
  void on_quotes_requested(Seconds now) { quotes_requested_at_ = now; }
  /// Whether any quote is still valid.
  bool has_quotes(Seconds now) const;
  /// Whether the list of charges is due to be requested.
  bool charges_due(Seconds now) const { return now >= next_charges_at_; }
  /// Records that the list of charges has been requested.
  void on_charges_requested(Seconds now);
  /// Highest number of a charge that was read; 0: none.
  std::uint64_t last_charge_read() const { return last_charge_read_; }
  /// Records that the charge of this number was read.
  void on_charge_read(std::uint64_t number);
  /// Makes the next request start from the first charge.
  void reset_last_charge_read() { last_charge_read_ = 0; }

  /// Whether reputation or suspension changed since the record was last written.
  bool has_unsaved_changes() const { return has_unsaved_changes_; }
  /// Marks the record as being written (false) or as to be written again (true).
  void set_unsaved_changes(bool unsaved) { has_unsaved_changes_ = unsaved; }
  /// The operators' settings for this market.
  const MarketSettings& market_settings() const { return market_settings_; }

 private:
  struct Quote {
    QuoteUpdate update;
    Seconds expires_at = 0;  // steady clock
  };
  struct CachedDistribution {
    std::uint64_t evidence_version = 0;  // `evidence_version_` when computed; 0: never
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
  std::uint64_t evidence_version_ = 1;  // increases with each counted delivery
  mutable std::map<std::pair<MachineKind, int>, CachedDistribution>
      distribution_cache_;  // by kind and promised delivery time in whole seconds
  bool has_unsaved_changes_ = false;
  std::uint64_t last_charge_read_ = 0;
  Seconds next_charges_at_ = 0;
  Seconds paused_until_ = 0;
  Seconds quotes_requested_at_ = never;
  Seconds refilled_at_ = 0;  // when the tokens were last refilled
  double request_tokens_ = 1;
  int consecutive_failures_ = 0;  // calls without a readable answer
};

}  // namespace oxbowmill::market
