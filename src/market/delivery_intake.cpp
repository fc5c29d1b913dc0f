#include "oxbowmill/market/delivery_intake.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace oxbowmill::market {

namespace {
/// Partition that gets the usable machine with the index `nth` (from 0). Machines fill the partitions in
/// order.
PartitionIndex partition_of(const BidRecord& record, std::uint32_t nth) {
  for (const auto& [partition, machines] : record.machines) {
    if (nth < machines) return partition;
    nth -= machines;
  }
  return idle_pool;
}
}  // namespace

void DeliveryIntake::adopt_hosts(Bid& bid, const BidUpdate& update, Seconds now) {
  for (const HostUpdate& host : update.hosts) {
    if (bid.hosts.count(host.name) == 0) adopt_host(bid, host, now);
  }
}

const std::string* DeliveryIntake::other_bid_of(const Bid& bid, const std::string& host,
                                                MachineIndex machine) const {
  if (machine.valid()) {
    const std::string& recorded_bid = state_.machine(machine).record.bid;
    if (!recorded_bid.empty() && recorded_bid != bid.name) return &recorded_bid;
  }
  const std::string* delivered_bid = bids_.bid_name_of_host(host);
  return delivered_bid != nullptr && *delivered_bid != bid.name ? delivered_bid : nullptr;
}

void DeliveryIntake::adopt_host(Bid& bid, const HostUpdate& host, Seconds now) {
  MarketClient& client = *markets_.find(bid.record.market);
  const MachineKind kind = bid.record.kind();
  const std::string prefix = client.market_settings().name + ".";
  const MachineIndex machine = state_.find_recorded(host.name);
  const std::string* other_bid = other_bid_of(bid, host.name, machine);
  bid.hosts.insert(host.name);
  if (host.name.compare(0, prefix.size(), prefix) != 0) {
    charges_.dispute(bid, "delivers " + host.name + ", which is not one of its names");
    return;
  }
  if (other_bid != nullptr) {
    charges_.dispute(bid, "delivers " + host.name + " twice, for " + *other_bid + " too");
    return;
  }
  bids_.set_host(host.name, bid.name);
  bool is_surplus = bid.delivered_machines >= bid.record.count();
  if (!is_surplus) ++bid.delivered_machines;
  // The bid had no machine at the market's previous report, so nothing can be charged for the time before it.
  if (bid.charged_since < 0 && !bid.loaded_from_records)
    bid.charged_since = std::max(bid.last_status_at, bid.first_sent_at);
  if (!is_surplus && !bid.loaded_from_records)
    client.record_delivery(kind, bid.record.delivery_s, now - bid.first_sent_at);
  if (is_surplus || !(host.kind == kind)) {
    SPDLOG_INFO("delivered machine returned bid={} machine={} reason=\"{}\"", bid.name, host.name,
                is_surplus ? "more than was bid for" : "not of the kind that was bid for");
    returns_.add(host.name, machine, now);
    return;
  }
  PartitionIndex partition = partition_of(bid.record, bid.usable_machines++);
  if (machine.valid() || !on_delivered_) return;
  MachineRecord record{partition, kind.type, kind.zone,         kind.spot, MachineMark::none,
                       {},        false,     bid.record.market, bid.name};
  on_delivered_(host, record);
}

void DeliveryIntake::evaluate(Bid& bid) {
  if (bid.outcome_counted) return;
  bid.outcome_counted = true;
  MarketClient* client = markets_.find(bid.record.market);
  // A lost auction breaks no promise. A bid that was won, that got machines or that became overdue does, if
  // machines are missing.
  bool made_promise = bid.state == BidState::won || bid.delivered_machines > 0 || bid.was_overdue;
  if (client == nullptr || !made_promise || bid.first_sent_at < 0) return;
  double missing = bid.record.count() - std::min(bid.record.count(), bid.usable_machines);
  client->record_machines(bid.record.kind(), bid.usable_machines, missing);
}

}  // namespace oxbowmill::market
