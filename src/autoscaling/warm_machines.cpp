#include "oxbowmill/autoscaling/warm_machines.h"

#include <algorithm>
#include <cmath>

#include "oxbowmill/autoscaling/machine_kind.h"

namespace oxbowmill::autoscaling {

namespace {
constexpr Seconds turnover_window_s = 30;
constexpr double max_warm_fraction = 0.1;              // of the booted on-demand machines
constexpr double min_fraction_of_whole_machine = 0.5;  // a task above this takes its machine whole
}  // namespace

void WarmMachines::note_turnover(const Job& job, const CandidateMachine& candidate, std::uint32_t count,
                                 Seconds now) {
  if (job.spec.shape == JobShape::gang && job.machine_fraction > min_fraction_of_whole_machine &&
      !candidate.spot)
    turnover_.push_back({now, {candidate.type, candidate.zone, false}, count});
}

double WarmMachines::target(const MachineKind& kind) const {
  auto it = targets_.find(kind);
  return it == targets_.end() ? 0.0 : it->second;
}

void WarmMachines::update_rates(Seconds now) {
  while (!turnover_.empty() && now - turnover_.front().at > turnover_window_s) turnover_.pop_front();
  targets_.clear();
  for (const Turnover& turnover : turnover_) targets_[turnover.kind] += turnover.count / turnover_window_s;
}

WarmMachines::Stock WarmMachines::count_stock(const std::vector<CandidateMachine>& idle) const {
  const ClusterState& state = environment_.state;
  Stock stock;
  for (std::uint32_t i = 0; i < state.machine_count(); ++i) {
    const Machine& machine = state.machine(MachineIndex{i});
    if (machine.revision == 0 || machine.record.spot || machine.record.mark == MachineMark::deleting ||
        machine.reported_failed)
      continue;
    if (machine.has_booted) {
      ++stock.booted_machines;
    } else if (machine.record.partition == idle_pool) {
      ++stock.by_kind[kind_of(machine.record)];
    }
  }
  for (const CandidateMachine& candidate : idle) stock.by_kind[kind_of(candidate)] += 1;
  for (const auto& [name, adoption] : adoption_.queued()) {
    if (adoption.record.partition == idle_pool && !adoption.record.has_booted)
      stock.by_kind[kind_of(adoption.record)] += 1;
  }
  return stock;
}

void WarmMachines::replenish(const std::vector<CandidateMachine>& idle, Seconds now) {
  update_rates(now);
  if (targets_.empty()) return;
  Stock stock = count_stock(idle);
  double wanted_machines = 0;
  for (auto& [kind, target] : targets_) {
    target *= environment_.state.catalog[kind.type.value].boot_s;
    wanted_machines += target;
  }
  // The bound keeps the first minutes, when everything is requested at once, from filling the cluster with
  // machines that nobody will need.
  double scale = std::min(1.0, max_warm_fraction * stock.booted_machines / wanted_machines);
  for (auto& [kind, target] : targets_) {
    target = std::ceil(target * scale);
    double missing = std::floor(target - stock.by_kind[kind]);
    if (missing < 1 || requests_.is_refused(kind, now) || requests_.is_requested(kind)) continue;
    requests_.add(kind, static_cast<std::uint32_t>(missing), idle_pool);
  }
}

}  // namespace oxbowmill::autoscaling
