#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

#include "oxbowmill/market/offer.h"

namespace oxbowmill::market {

namespace {
constexpr Seconds late_slack_s = 5;             // demands with less slack are late and form one step
constexpr double slack_steps_per_doubling = 5;  // slack in the same fifth of a doubling is similar
constexpr double run_steps_per_doubling = 2;    // run times in the same half of a doubling are similar
constexpr double no_deadline = 1e9;

/// Demands with equal keys are planned as one group.
struct GroupKey {
  BidPriority priority;
  PartitionIndex partition;
  bool spot;
  ZoneIndex zone;
  std::vector<std::uint32_t> tasks_per_machine;
  double slack_step;
  double run_step;

  auto fields() const {
    return std::tie(priority, partition, spot, zone, tasks_per_machine, slack_step, run_step);
  }
  bool operator<(const GroupKey& other) const { return fields() < other.fields(); }
};

double slack_step(Seconds slack_s) {
  if (!std::isfinite(slack_s)) return no_deadline;
  return slack_s < late_slack_s ? 0 : std::floor(slack_steps_per_doubling * std::log2(slack_s));
}

double run_step(Seconds run_s) {
  return std::floor(run_steps_per_doubling * std::log2(std::max(run_s, min_run_s)));
}

GroupKey group_key(const UnmetDemand& unmet_demand, BidPriority priority) {
  return {priority,
          unmet_demand.partition,
          unmet_demand.spot,
          unmet_demand.zone,
          unmet_demand.tasks_per_machine,
          slack_step(unmet_demand.slack_s),
          run_step(unmet_demand.estimated_run_s)};
}

/// Creates a group without units.
Demand make_group(const UnmetDemand& unmet_demand, BidPriority priority) {
  Demand demand;
  demand.priority = priority;
  demand.partition = unmet_demand.partition;
  demand.spot = unmet_demand.spot;
  demand.zone = unmet_demand.zone;
  demand.tasks_per_machine = unmet_demand.tasks_per_machine;
  demand.run_s = unmet_demand.estimated_run_s;
  demand.slack_s = unmet_demand.slack_s;
  return demand;
}

std::uint32_t tasks_per_unit(const UnmetDemand& unmet_demand) {
  const std::vector<std::uint32_t>& by_type = unmet_demand.tasks_per_machine;
  return by_type.empty() ? 0 : *std::max_element(by_type.begin(), by_type.end());
}
}  // namespace

BidPriority priority_of(const UnmetDemand& unmet_demand, const Settings& settings) {
  if (unmet_demand.guaranteed) return BidPriority::guaranteed;
  if (unmet_demand.priority == Priority::low)
    return unmet_demand.waited_s > settings.starvation_threshold_s ? BidPriority::starved
                                                                   : BidPriority::best_effort;
  return unmet_demand.priority >= Priority::high ? BidPriority::high : BidPriority::standard;
}

std::vector<Demand> group_demands(const std::vector<UnmetDemand>& unmet_demands, const Settings& settings) {
  std::vector<Demand> groups;
  std::map<GroupKey, std::size_t> group_by_key;
  for (std::size_t i = 0; i < unmet_demands.size(); ++i) {
    const UnmetDemand& unmet_demand = unmet_demands[i];
    std::uint32_t unit = tasks_per_unit(unmet_demand);
    if (unit == 0 || unmet_demand.tasks == 0) continue;
    BidPriority priority = priority_of(unmet_demand, settings);
    auto [entry, inserted] = group_by_key.try_emplace(group_key(unmet_demand, priority), groups.size());
    if (inserted) groups.push_back(make_group(unmet_demand, priority));
    Demand& group = groups[entry->second];
    group.machines += (unmet_demand.tasks + unit - 1) / unit;
    group.slack_s = std::min(group.slack_s, unmet_demand.slack_s);
    group.unmet_demands.push_back(i);
  }
  for (Demand& group : groups)
    group.extra_machines = static_cast<std::uint32_t>(std::ceil(settings.extra_fraction * group.machines));
  return groups;
}

}  // namespace oxbowmill::market
