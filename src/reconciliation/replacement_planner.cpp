#include "oxbowmill/reconciliation/replacement_planner.h"

#include <algorithm>
#include <iterator>

namespace oxbowmill::reconciliation {

std::vector<Replacement> ReplacementPlanner::replacements(
    const std::function<bool(MachineIndex)>& is_suspected, const SuspicionStatistics& statistics,
    Seconds now) const {
  std::vector<Replacement> replacements;
  std::size_t booted_machines = 0;
  double expected_losses = 0;
  for (std::uint32_t i = 0; i < state_.machine_count(); ++i) {
    MachineIndex machine_index{i};
    const Machine& machine = state_.machine(machine_index);
    if (machine.revision == 0) continue;
    booted_machines += machine.has_booted ? 1 : 0;
    if (machine.placed_tasks.empty() || !is_suspected(machine_index) ||
        scheduler_.is_unreachable(machine.record.zone, now))
      continue;
    Seconds silent_since = std::max(machine.last_answered_report_at, machine.in_partition_since);
    Seconds proof_at = silent_since + state_.settings.lease_expiry_s();
    expected_losses += 1 - report_probability(statistics, now - silent_since, proof_at - now);
    if (requested_at_.count(machine_index) == 0)
      replacements.push_back({machine_index,
                              machine.record.partition,
                              {machine.record.type, machine.record.zone, machine.record.spot}});
  }
  double max_replacements =
      std::min(expected_losses, settings_.max_replacement_fraction * static_cast<double>(booted_machines));
  auto max_new_requests =
      static_cast<std::size_t>(std::max(0.0, max_replacements - static_cast<double>(requested_at_.size())));
  if (replacements.size() > max_new_requests) replacements.resize(max_new_requests);
  return replacements;
}

void ReplacementPlanner::expire(Seconds now) {
  for (auto it = requested_at_.begin(); it != requested_at_.end();) {
    it = now - it->second > state_.settings.failover_silence_s() ? requested_at_.erase(it) : std::next(it);
  }
}

}  // namespace oxbowmill::reconciliation
