#include "oxbowmill/reconciliation/agent_liveness.h"

#include <algorithm>

#include "oxbowmill/scheduling/machine_selection.h"

namespace oxbowmill::reconciliation {

namespace {
constexpr double max_outcome_weight = 50;  // total of all outcomes; above it old ones decay
constexpr double min_return_probability = 0.05;
}  // namespace

const char* name_of(AgentLiveness liveness) {
  static constexpr const char* names[] = {"none",       "booting",    "awaited",   "reported",
                                          "mismatched", "reconciled", "suspected", "marked_for_deletion",
                                          "lost"};
  return names[static_cast<int>(liveness)];
}

bool is_suspect(AgentLiveness liveness) {
  return liveness == AgentLiveness::suspected || liveness == AgentLiveness::marked_for_deletion;
}

bool has_reported(AgentLiveness liveness) {
  return liveness == AgentLiveness::reported || liveness == AgentLiveness::mismatched ||
         liveness == AgentLiveness::reconciled;
}

void SuspicionStatistics::add_outcome(double returned, double lost) {
  double decay_factor = returned_weight_ + lost_weight_ + 1 > max_outcome_weight
                            ? (max_outcome_weight - 1) / (returned_weight_ + lost_weight_)
                            : 1;
  returned_weight_ = decay_factor * returned_weight_ + returned;
  lost_weight_ = decay_factor * lost_weight_ + lost;
}

double SuspicionStatistics::return_probability() const {
  // Without outcomes, three of four suspected machines are expected to report again: a wrong deletion is a
  // certain loss, a late deletion only a delay.
  constexpr double prior_returns = 3, prior_losses = 1;
  return std::max(
      min_return_probability,
      (returned_weight_ + prior_returns) / (returned_weight_ + lost_weight_ + prior_returns + prior_losses));
}

Seconds suspicion_threshold(const std::vector<double>& first_report_delays_s, std::uint32_t expected_machines,
                            Seconds floor, Seconds cap, const Settings& settings) {
  if (first_report_delays_s.empty() ||
      static_cast<double>(first_report_delays_s.size()) < settings.reported_fraction * expected_machines)
    return -1;
  return std::min(cap, std::max(floor, settings.threshold_multiplier * first_report_delays_s.back()));
}

double report_probability(const SuspicionStatistics& statistics, Seconds silent_s, Seconds within_s) {
  if (within_s <= 0) return 0;
  return statistics.return_probability() * within_s / (within_s + std::max(0.0, silent_s));
}

namespace {

/// Seconds of a task's progress that are lost if its machine is deleted although it is alive.
double progress_lost_s(const ClusterState& state, const Machine& machine, const Job& job,
                       const Placement& placement, Seconds now) {
  // A service has no progress to lose, but is short of a replica until a new one has fetched the image.
  if (job.spec.shape == JobShape::service)
    return state.settings.report_interval_s +
           fetch_time(job.spec, state.catalog.at(machine.record.type.value));
  double run_time_s = now - placement.started_at;
  // On average the last checkpoint is half an interval old.
  return job.spec.checkpoint_interval_s > 0 ? job.spec.checkpoint_interval_s / 2
                                            : std::max(run_time_s, job.spec.estimate_s / 2);
}

}  // namespace

DeletionTradeoff deletion_tradeoff(const ClusterState& state, MachineIndex machine_index, Seconds proof_at,
                                   double return_probability, Seconds now) {
  const Machine& machine = state.machine(machine_index);
  double waiting_machines = 0;         // machines of work that wait until the proof
  double lost_progress_machine_s = 0;  // machine-seconds of progress that are lost if the machine is alive
  for (TaskId id : machine.placed_tasks) {
    const Job* job = state.live_job(id.job);
    const Placement* placement = state.find_placement(id);
    if (job == nullptr || placement == nullptr || is_off_machine(placement->state)) continue;
    double machines_affected = job->machine_fraction;
    bool is_attempt_broken = false;
    if (job->spec.shape == JobShape::gang) {
      // The whole gang waits for one missing member. Another member's report that it lost its peers is
      // independent evidence, and the attempt then has no progress on the machine that could be lost.
      machines_affected *= job->spec.tasks;
      is_attempt_broken = job->broken_attempt == placement->attempt;
    }
    waiting_machines += machines_affected;
    if (!is_attempt_broken)
      lost_progress_machine_s += machines_affected * progress_lost_s(state, machine, *job, *placement, now);
  }
  double boot_s =
      machine.record.type.value < state.catalog.size() ? state.catalog[machine.record.type.value].boot_s : 0;
  DeletionTradeoff tradeoff;
  tradeoff.saved_machine_s = (1 - return_probability) * waiting_machines * std::max(0.0, proof_at - now);
  tradeoff.lost_machine_s = return_probability * (boot_s + lost_progress_machine_s);
  return tradeoff;
}

}  // namespace oxbowmill::reconciliation
