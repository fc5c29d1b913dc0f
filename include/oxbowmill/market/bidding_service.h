// The leader's trading: follows markets and bids, commits money before it bids, and takes in what is
// delivered. Pure: durable changes, answers and the time go in; transactions and calls come out.
#pragma once

#include <functional>
#include <memory>

#include "oxbowmill/autoscaling/autoscaler.h"
#include "oxbowmill/market/market_client.h"

namespace oxbowmill::market {

class BiddingService : public MachineSource {
 public:
  /// `model` and `scheduler` are the controller's; money enters the tables through them.
  BiddingService(ClusterState& model, Scheduler& scheduler, const Settings& settings);

  // The fleet's side.
  std::vector<ExpectedMachines> expected(PartitionIndex partition, Seconds now) const override;
  std::vector<std::uint32_t> plan(const std::vector<UnmetDemand>& needs, const std::vector<CloudOffer>& cloud,
                                  Clock clock, Effects& out) override;
  void release(const std::vector<MachineIndex>& machines, Seconds now) override;
  /// A machine that was bid for is there; the record names its market and bid.
  std::function<void(const HostUpdate&, const MachineRecord&)> on_delivered;
  /// The market says that they are back, or was not to be moved to say so.
  std::function<void(const std::vector<MachineIndex>&, bool said)> on_returned;
  /// They cost more than was agreed: work is to leave them, and they go back.
  std::function<void(const std::vector<MachineIndex>&)> on_overpriced;
  /// How needs are turned into awards; the experiments put baselines here.
  std::function<Plan(const std::vector<Demand>&, const std::vector<Offer>&, const Ledger&, double reference,
                     const Settings&)>
      planner = make_plan;

  // The controller's side.
  void run_cycle(Clock clock, Effects& out, std::vector<Call>& calls);
  void on_answer(const Call& call, const Answer& answer, Clock clock);

  const std::map<std::string, Bid>& bids() const { return bids_; }
  const MarketClient& market_client(MarketIndex market) const { return *market_clients_.at(market.value); }
  const Ledger& ledger() const { return ledger_; }
  /// Machines within guarantees that the last plan left unserved for want of money.
  std::uint32_t unmet_guarantee() const { return unmet_guarantee_; }

 private:
  struct PendingReturn {
    std::string host;
    MachineIndex machine;  // none: one that never got a record
    Seconds next_at = 0;
    bool in_flight = false;
  };
  bool acquire_leadership(Clock clock);
  void release_leadership();
  void adopt_records(Clock clock);
  void commit_bid(const Purchases::BidDraft& draft, Clock clock, Effects& out);
  void advance_bid(Bid& bid, Clock clock, std::vector<Call>& calls);
  void apply_update(Bid& bid, const BidUpdate& update, Clock clock);
  void adopt_hosts(Bid& bid, const BidUpdate& update, Clock clock);
  void check_charge(Bid& bid, MoneyAmount charged, Seconds now);
  void decide_raise(Bid& bid, const BidUpdate& update);
  void evaluate_delivery(Bid& bid);
  void finish_bid(Bid& bid, MoneyAmount charged, const std::string& why);
  void dispute(Bid& bid, const std::string& why);
  void read_charges(MarketClient& client, const Answer& answer, Seconds now);
  void settle_bids(Clock clock, Effects& out);
  void maintain_markets(Clock clock, std::vector<Call>& calls);
  void send_returns(Clock clock, std::vector<Call>& calls);
  bool send_bid_call(const Bid& bid, CallKind kind, Clock clock, std::vector<Call>& calls);
  void send_call(Call call, Clock clock, std::vector<Call>& calls);
  bool is_overdue(const Bid& bid, Seconds now) const;
  bool is_delivery_late(const Bid& bid, Seconds now) const;
  void set_delivery_deadlines(Bid& bid) const;
  std::uint32_t missing_machines(const Bid& bid) const;
  void limit_extra_machines(std::vector<Demand>& demands, Seconds now) const;
  void log_unmet(const std::vector<Demand>& demands, const Plan& plan, Seconds now);
  double reference_price() const;
  MarketClient* find_market_client(MarketIndex market) const;

  ClusterState& state_;
  Scheduler& scheduler_;
  const Settings& settings_;
  Ledger ledger_;
  CloudOfferSource cloud_;
  std::vector<std::unique_ptr<MarketClient>>
      market_clients_;  // by market; those that are not configured are null
  std::map<std::string, Bid> bids_;
  std::map<std::string, std::string> bid_by_host_;  // who delivered it
  std::map<std::string, PendingReturn> returns_;
  std::map<std::string, MoneyAmount> settled_costs_;  // bids of this term that are over, and what they cost
  std::vector<MachineKind> wanted_kinds_;             // what quotes are asked for
  Seconds wanted_at_ = -1e9, wanted_since_ = 0;
  Revision leadership_revision_ = 0;  // the leader's claim that this state belongs to; 0: not leading
  std::uint64_t bid_name_count_ = 0, call_count_ = 0;
  std::map<std::uint64_t, Seconds> unanswered_calls_;  // calls without an answer, and when they were sent
  std::set<std::string> bids_with_call_;               // bids with a call that is out
  std::set<std::pair<std::uint32_t, CallKind>> markets_with_call_;
  bool settling_ = false;
  Seconds next_plan_at_ = 0, unmet_logged_at_ = -1e9;
  std::uint32_t unmet_guarantee_ = 0;
  bool budget_exhausted_ = false;  // for work within a guarantee
};

/// The desk buys for this fleet from now on, and the fleet takes in what it is delivered.
void connect(BiddingService& bidding_service, Autoscaler& fleet);

}  // namespace oxbowmill::market
