#include "oxbowmill/autoscaling/warm_machines.h"

#include <algorithm>
#include <cmath>

#include "oxbowmill/autoscaling/machine_kind.h"

namespace oxbowmill::autoscaling {

namespace {
constexpr Seconds acquisition_window_s = 30;
constexpr double max_warm_fraction = 0.1;              // of the booted on-demand machines
constexpr double min_fraction_of_whole_machine = 0.5;  // a larger task has its machine for itself
}  // namespace

void WarmMachines::record_gang_acquisition(const Job& job, const CandidateMachine& candidate,
                                           std::uint32_t count, Seconds now) {
  if (job.spec.shape == JobShape::gang && job.machine_fraction > min_fraction_of_whole_machine &&
      !candidate.spot)
    recent_acquisitions_.push_back({now, {candidate.type, candidate.zone, false}, count});
}

double WarmMachines::target(const MachineKind& kind) const {
  auto it = targets_.find(kind);
  return it == targets_.end() ? 0.0 : it->second;
}

void WarmMachines::update_targets(Seconds now) {
  while (!recent_acquisitions_.empty() && now - recent_acquisitions_.front().at > acquisition_window_s)
    recent_acquisitions_.pop_front();
  targets_.clear();
  for (const GangAcquisition& acquisition : recent_acquisitions_)
    targets_[acquisition.kind] += acquisition.count / acquisition_window_s;
}

WarmMachines::MachineCounts WarmMachines::count_machines(
    const std::vector<CandidateMachine>& idle_machines) const {
  const ClusterState& state = environment_.state;
  MachineCounts counts;
  for (std::uint32_t i = 0; i < state.machine_count(); ++i) {
    const Machine& machine = state.machine(MachineIndex{i});
    if (machine.revision == 0 || machine.record.spot || machine.record.mark == MachineMark::deleting ||
        machine.reported_failed)
      continue;
    if (machine.has_booted) {
      ++counts.booted_on_demand;
    } else if (machine.record.partition == idle_pool) {
      ++counts.pool_machines_by_kind[kind_of(machine.record)];
    }
  }
  for (const CandidateMachine& candidate : idle_machines)
    counts.pool_machines_by_kind[kind_of(candidate)] += 1;
  for (const auto& [name, adoption] : adoption_.queued()) {
    if (adoption.record.partition == idle_pool && !adoption.record.has_booted)
      counts.pool_machines_by_kind[kind_of(adoption.record)] += 1;
  }
  return counts;
}

void WarmMachines::replenish(const std::vector<CandidateMachine>& idle_machines, Seconds now) {
  update_targets(now);
  if (targets_.empty()) return;
  MachineCounts counts = count_machines(idle_machines);
  double wanted_machines = 0;
  for (auto& [kind, target] : targets_) {
    target *= environment_.state.catalog[kind.type.value].boot_s;
    wanted_machines += target;
  }
  // The bound applies above all in the first minutes after a start, when all demand is requested at once and
  // would fill the cluster with warm machines that are not needed later.
  double scale = std::min(1.0, max_warm_fraction * counts.booted_on_demand / wanted_machines);
  for (auto& [kind, target] : targets_) {
    target = std::ceil(target * scale);
    double missing = std::floor(target - counts.pool_machines_by_kind[kind]);
    if (missing < 1 || requests_.is_refused(kind, now) || requests_.is_requested(kind)) continue;
    requests_.add(kind, static_cast<std::uint32_t>(missing), idle_pool);
  }
}

}  // namespace oxbowmill::autoscaling
