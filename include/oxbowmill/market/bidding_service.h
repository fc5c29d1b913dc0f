// Buys machines on markets for the leader: polls markets, reserves money before it bids, tracks bids and
// adopts delivered machines. A facade over one class for each of these concerns (docs/markets-design.md).
// Performs no input or output: it takes durable changes, answers and the time, and produces transactions and
// calls. Used on the controller's thread only.
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

/// Machine source of the autoscaler that buys machines on markets.
class BiddingService : public MachineSource {
 public:
  /// `state` and `scheduler` are the controller's; records are read and written through them. All arguments
  /// must outlive this object.
  BiddingService(ClusterState& state, Scheduler& scheduler, const Settings& settings);
  BiddingService(const BiddingService&) = delete;
  BiddingService& operator=(const BiddingService&) = delete;

  /// Machines that have been bid for, are not delivered yet and can still be counted on.
  std::vector<ExpectedMachines> expected(PartitionIndex partition, Seconds now) const override;
  /// Creates bids for the demands. Returns, for each demand, the number of tasks to request from the cloud;
  /// on a controller that is not the leader these are all tasks.
  std::vector<std::uint32_t> plan(const std::vector<UnmetDemand>& unmet_demands,
                                  const std::vector<CloudOffer>& cloud, Clock clock, Effects& out) override;
  /// Returns empty machines to their markets; repeated until the markets confirm.
  void release(const std::vector<MachineIndex>& machines, Seconds now) override;

  /// Called for each usable machine that is delivered and has no record yet.
  DeliveryHandler on_delivered;
  /// Called when a market has confirmed the return of machines, or when the leadership ends before it has.
  ReturnHandler on_returned;
  /// Called with the machines of a disputed bid, which are to be drained.
  DisputeHandler on_disputed;
  /// Assigns offers to demands; simulations replace it by baselines.
  std::function<Plan(const std::vector<Demand>&, const std::vector<Offer>&, const Ledger&,
                     double reference_price, const Settings&)>
      planner = make_plan;

  /// Runs one cycle: advances bids and appends the calls that are due. Does nothing on a controller that is
  /// not the leader.
  void run_cycle(Clock clock, Effects& out, std::vector<Call>& calls);
  /// Applies the answer to a call that `run_cycle` appended.
  void on_answer(const Call& call, const Answer& answer, Clock clock);

  /// The bids that are not closed, by name.
  const std::map<std::string, Bid>& bids() const { return bids_.bids(); }
  /// Client of a configured market. Throws std::out_of_range if the index is above all configured ones.
  const MarketClient& market_client(MarketIndex market) const { return markets_.at(market); }
  /// Amounts that were spent and that open bids may cost.
  const Ledger& ledger() const { return accounting_.ledger(); }
  /// Number of machines within guarantees that the last plan left unserved.
  std::uint32_t unmet_guaranteed_machines() const { return unmet_.guaranteed_machines(); }

 private:
  bool acquire_leadership(Clock clock);
  void release_leadership();
  void buy(const std::vector<UnmetDemand>& unmet_demands, Clock clock, Purchases& purchases);
  double lowest_catalog_price() const;

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

/// Makes the service the autoscaler's machine source and forwards deliveries, returns and drains to the
/// autoscaler. Each must not be used after the other is destroyed.
void connect(BiddingService& bidding_service, Autoscaler& autoscaler);

}  // namespace oxbowmill::market
