// The leader's trade with markets: it follows markets and bids, commits money before it bids, and adopts the
// machines that are delivered. A façade over classes for single concerns (docs/markets-design.md). Free of
// input and output: durable changes, answers and the time go in; transactions and calls come out. Used on the
// controller's thread only.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "oxbowmill/autoscaling/autoscaler.h"
#include "oxbowmill/market/bid_accounting.h"
#include "oxbowmill/market/bid_book.h"
#include "oxbowmill/market/bid_lifecycle.h"
#include "oxbowmill/market/call_tracker.h"
#include "oxbowmill/market/charge_guard.h"
#include "oxbowmill/market/delivery_intake.h"
#include "oxbowmill/market/machine_callbacks.h"
#include "oxbowmill/market/market_client.h"
#include "oxbowmill/market/market_poller.h"
#include "oxbowmill/market/market_registry.h"
#include "oxbowmill/market/return_queue.h"
#include "oxbowmill/market/unmet_capacity.h"

namespace oxbowmill::market {

/// Source of machines for the autoscaler that buys them on markets.
class BiddingService : public MachineSource {
 public:
  /// State, scheduler (the controller's; money is recorded through them) and settings must outlive it.
  BiddingService(ClusterState& state, Scheduler& scheduler, const Settings& settings);
  BiddingService(const BiddingService&) = delete;
  BiddingService& operator=(const BiddingService&) = delete;

  /// Machines for the partition that have been bid for and can still be counted on.
  std::vector<ExpectedMachines> expected(PartitionIndex partition, Seconds now) const override;
  /// Buys for the demands and returns for how many tasks of each the cloud is to be asked; elsewhere than on
  /// the leader that is all of them.
  std::vector<std::uint32_t> plan(const std::vector<UnmetDemand>& unmet_demands,
                                  const std::vector<CloudOffer>& cloud, Clock clock, Effects& out) override;
  /// Returns machines with nothing on them to their markets; repeated until the markets confirm.
  void release(const std::vector<MachineIndex>& machines, Seconds now) override;

  /// Called for each usable machine that is delivered and has no record yet.
  DeliveryHandler on_delivered;
  /// Called when machines are back at their market, or it can no longer be known.
  ReturnHandler on_returned;
  /// Called with the machines of a bid that is charged above its agreement.
  OverpricedHandler on_overpriced;
  /// How demands are turned into awards; experiments put their baselines here.
  std::function<Plan(const std::vector<Demand>&, const std::vector<Offer>&, const Ledger&, double reference,
                     const Settings&)>
      planner = make_plan;

  /// One cycle of the leader: advances bids and appends the calls that are due; does nothing elsewhere.
  void run_cycle(Clock clock, Effects& out, std::vector<Call>& calls);
  /// Applies the answer to one of its calls.
  void on_answer(const Call& call, const Answer& answer, Clock clock);

  /// The bids that are not closed, by name.
  const std::map<std::string, Bid>& bids() const { return bids_.bids(); }
  /// A configured market; throws std::out_of_range if its index is beyond all of them.
  const MarketClient& market_client(MarketIndex market) const { return markets_.at(market); }
  /// What was spent and what open bids may cost.
  const Ledger& ledger() const { return accounting_.ledger(); }
  /// Machines within guarantees that the last plan left unserved.
  std::uint32_t unmet_guarantee() const { return unmet_.guaranteed_machines(); }

 private:
  bool acquire_leadership(Clock clock);
  void release_leadership();
  void buy(const std::vector<UnmetDemand>& unmet_demands, Clock clock, Purchases& purchases);
  double reference_price() const;

  const ClusterState& state_;
  const Scheduler& scheduler_;
  const Settings& settings_;
  CloudOfferSource cloud_;
  MarketRegistry markets_;
  BidBook bids_;
  CallTracker call_tracker_;
  ReturnQueue returns_;
  ChargeGuard charges_;
  DeliveryIntake deliveries_;
  BidLifecycle lifecycle_;
  BidAccounting accounting_;
  MarketPoller poller_;
  UnmetCapacity unmet_;
  Seconds next_plan_at_ = 0;
};

/// The autoscaler buys through this service from now on and adopts what is delivered; both must outlive the
/// connection.
void connect(BiddingService& bidding_service, Autoscaler& autoscaler);

}  // namespace oxbowmill::market
