#include "oxbowmill/market/bidding_service.h"

#include <spdlog/spdlog.h>

#include "oxbowmill/market/extra_machines.h"

namespace oxbowmill::market {

namespace {
constexpr Seconds plan_interval_s = 0.5;
}  // namespace

BiddingService::BiddingService(ClusterState& state, Scheduler& scheduler, const Settings& settings)
    : state_(state),
      scheduler_(scheduler),
      settings_(settings),
      markets_(settings),
      returns_(state, markets_, bids_, call_tracker_, on_returned),
      charges_(state, markets_, bids_, on_disputed),
      deliveries_(state, markets_, bids_, charges_, returns_, on_delivered),
      lifecycle_(markets_, bids_, call_tracker_, charges_, deliveries_, settings),
      accounting_(state, scheduler, markets_, bids_, charges_, settings),
      poller_(state, markets_, bids_, charges_, call_tracker_),
      unmet_(settings) {}

bool BiddingService::acquire_leadership(Clock clock) {
  if (!scheduler_.is_leader()) {
    if (accounting_.leadership_revision() != 0) release_leadership();
    return false;
  }
  Revision revision = state_.ownership(idle_pool).revision;
  if (accounting_.leadership_revision() != revision) {
    // Another controller may have led in between, so the bids in memory are stale; the records hold all bids.
    release_leadership();
    accounting_.begin_leadership(revision);
    markets_.load_records(state_);
    SPDLOG_INFO("market leadership acquired revision={} open_bids={}", revision,
                state_.accounting.bids.size());
  }
  accounting_.load_ledger(clock.wall);
  return true;
}

void BiddingService::release_leadership() {
  returns_.end_leadership();
  bids_.clear();
  charges_.end_leadership();
  call_tracker_.clear();
  markets_.end_leadership();
  accounting_.end_leadership();
}

std::vector<MachineSource::ExpectedMachines> BiddingService::expected(PartitionIndex partition,
                                                                      Seconds now) const {
  return bids_.expected(partition, now, state_.settings.report_interval_s);
}

void BiddingService::release(const std::vector<MachineIndex>& machines, Seconds now) {
  for (MachineIndex machine : machines) returns_.add(state_.names.machines.name(machine), machine, now);
}

double BiddingService::lowest_catalog_price() const {
  double price = 0;
  for (const MachineType& type : state_.catalog) {
    if (type.price > 0 && (price == 0 || type.price < price)) price = type.price;
  }
  return price;
}

std::vector<std::uint32_t> BiddingService::plan(const std::vector<UnmetDemand>& unmet_demands,
                                                const std::vector<CloudOffer>& cloud, Clock clock,
                                                Effects& out) {
  Purchases purchases;
  purchases.cloud_tasks.assign(unmet_demands.size(), 0);
  if (unmet_demands.empty()) {
    unmet_.clear();
    return purchases.cloud_tasks;
  }
  if (!acquire_leadership(clock)) {
    for (std::size_t i = 0; i < unmet_demands.size(); ++i) purchases.cloud_tasks[i] = unmet_demands[i].tasks;
    return purchases.cloud_tasks;
  }
  accounting_.adopt_records(clock);
  poller_.on_demand(unmet_demands, clock.now);
  if (clock.now < next_plan_at_ || poller_.awaits_first_quotes(clock.now)) return purchases.cloud_tasks;
  next_plan_at_ = clock.now + plan_interval_s;
  cloud_.set_offers(cloud);
  buy(unmet_demands, clock, purchases);
  for (const Purchases::BidDraft& draft : purchases.drafts) accounting_.commit(draft, clock, out);
  return purchases.cloud_tasks;
}

void BiddingService::buy(const std::vector<UnmetDemand>& unmet_demands, Clock clock, Purchases& purchases) {
  std::vector<Offer> offers;
  cloud_.append_offers(clock.now, offers);
  markets_.update_overdue_machines(bids_, clock.now);
  markets_.append_offers(clock.now, offers);
  std::vector<Demand> demands = group_demands(unmet_demands, settings_);
  limit_extra_machines(demands, bids_.bids(), settings_, clock.now);
  double reference_price = lowest_catalog_price();
  Plan plan = planner(demands, offers, accounting_.ledger(), reference_price, settings_);
  for (const Award& award : plan.awards) {
    const Offer& offer = offers[award.offer_index];
    const OfferSource& source =
        offer.market.valid() ? static_cast<const OfferSource&>(markets_.at(offer.market)) : cloud_;
    source.add_purchase(award, offer, demands[award.demand_index], unmet_demands, reference_price, purchases);
  }
  unmet_.update(demands, plan, accounting_.ledger(), reference_price, clock.now);
}

void BiddingService::run_cycle(Clock clock, Effects& out, std::vector<Call>& calls) {
  if (!acquire_leadership(clock)) return;
  accounting_.adopt_records(clock);
  lifecycle_.advance(unmet_.budget_exhausted() ? GuaranteeBudget::exhausted : GuaranteeBudget::sufficient,
                     clock, calls);
  poller_.poll(clock.now, calls);
  returns_.send(clock.now, calls);
  accounting_.settle(clock, out);
}

void BiddingService::on_answer(const Call& call, const Answer& answer, Clock clock) {
  std::optional<Seconds> sent_at = call_tracker_.complete(call);
  if (!sent_at) return;
  MarketClient* client = markets_.find(call.market);
  if (client == nullptr) return;
  client->on_answer(answer, clock.now);
  switch (call.kind) {
    case CallKind::quotes:
      if (answer.kind == AnswerKind::ok) client->on_quotes(answer, *sent_at, state_.names);
      return;
    case CallKind::charges:
      if (answer.kind == AnswerKind::ok)
        charges_.on_charges(*client, answer, accounting_.leadership_revision(), clock.now);
      return;
    case CallKind::release:
      return returns_.on_answer(call, answer, clock.now);
    default:
      return lifecycle_.on_answer(call, answer, clock);
  }
}

void connect(BiddingService& bidding_service, Autoscaler& autoscaler) {
  bidding_service.on_delivered = [&autoscaler](const HostUpdate& host, const MachineRecord& record) {
    autoscaler.adopt(host.name, host.address, record);
  };
  bidding_service.on_returned = [&autoscaler](const std::vector<MachineIndex>& machines, bool confirmed) {
    autoscaler.on_deleted(machines, confirmed);
  };
  bidding_service.on_disputed = [&autoscaler](const std::vector<MachineIndex>& machines) {
    autoscaler.drain(machines);
  };
  autoscaler.set_source(&bidding_service);
}

}  // namespace oxbowmill::market
