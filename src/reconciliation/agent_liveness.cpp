#include "oxbowmill/reconciliation/agent_liveness.h"

#include <algorithm>

#include "oxbowmill/scheduling/machine_selection.h"

namespace oxbowmill::reconciliation {

namespace {
constexpr double max_evidence = 50;  // maximum total weight of recorded outcomes
constexpr double min_return_probability = 0.05;
}  // namespace

const char* name_of(AgentLiveness liveness) {
  static constexpr const char* names[] = {"none",       "booting",    "awaited",   "reported",
                                          "mismatched", "reconciled", "suspected", "marked_for_deletion",
                                          "lost"};
  return names[static_cast<int>(liveness)];
}

bool is_doubted(AgentLiveness liveness) {
  return liveness == AgentLiveness::suspected || liveness == AgentLiveness::marked_for_deletion;
}

bool has_reported(AgentLiveness liveness) {
  return liveness == AgentLiveness::reported || liveness == AgentLiveness::mismatched ||
         liveness == AgentLiveness::reconciled;
}

void SuspicionStatistics::add_evidence(double returned, double lost) {
  double keep = returned_weight_ + lost_weight_ + 1 > max_evidence
                    ? (max_evidence - 1) / (returned_weight_ + lost_weight_)
                    : 1;
  returned_weight_ = keep * returned_weight_ + returned;
  lost_weight_ = keep * lost_weight_ + lost;
}

double SuspicionStatistics::return_probability() const {
  // Without outcomes, three of four suspected machines are expected to report again: a wrong deletion is a
  // certain loss, a late deletion only a delay.
  constexpr double prior_returns = 3, prior_losses = 1;
  return std::max(
      min_return_probability,
      (returned_weight_ + prior_returns) / (returned_weight_ + lost_weight_ + prior_returns + prior_losses));
}

Seconds suspicion_threshold(const std::vector<double>& first_report_delays_s, std::uint32_t expected,
                            Seconds floor, Seconds cap, const Settings& settings) {
  if (first_report_delays_s.empty() ||
      static_cast<double>(first_report_delays_s.size()) < settings.reported_fraction * expected)
    return -1;
  return std::min(cap, std::max(floor, settings.threshold_multiplier * first_report_delays_s.back()));
}

double report_probability(const SuspicionStatistics& experience, Seconds silent_s, Seconds rest_s) {
  if (rest_s <= 0) return 0;
  return experience.return_probability() * rest_s / (rest_s + std::max(0.0, silent_s));
}

namespace {

/// Seconds of a task's progress that are lost if its machine is deleted although it is alive.
double progress_at_risk_s(const ClusterState& model, const Machine& machine, const Job& job,
                          const Placement& placement, Seconds now) {
  // A service has no progress to lose, but is short of a replica until a new one has fetched the image.
  if (job.spec.shape == JobShape::service)
    return model.settings.report_interval_s +
           fetch_time(job.spec, model.catalog.at(machine.record.type.value));
  double ran = now - placement.started_at;
  // On average the last checkpoint is half an interval old.
  return job.spec.checkpoint_interval_s > 0 ? job.spec.checkpoint_interval_s / 2
                                            : std::max(ran, job.spec.estimate_s / 2);
}

}  // namespace

DeletionTradeoff deletion_tradeoff(const ClusterState& model, MachineIndex machine_index, Seconds proof_at,
                                   double chance_of_return, Seconds now) {
  const Machine& machine = model.machine(machine_index);
  double waiting = 0;  // machines of work that wait until the proof
  double at_risk = 0;  // machine-seconds of progress that are lost if the machine is alive
  for (TaskId id : machine.placed_tasks) {
    const Job* job = model.live_job(id.job);
    const Placement* placement = model.find_placement(id);
    if (job == nullptr || placement == nullptr || is_off_machine(placement->state)) continue;
    double size = job->machine_fraction;
    bool broken = false;
    if (job->spec.shape == JobShape::gang) {
      // The whole gang waits for one missing member. Another member's report that it lost its peers is
      // independent evidence, and the attempt then has no progress on the machine that could be lost.
      size *= job->spec.tasks;
      broken = job->broken_attempt == placement->attempt;
    }
    waiting += size;
    if (!broken) at_risk += size * progress_at_risk_s(model, machine, *job, *placement, now);
  }
  double boot =
      machine.record.type.value < model.catalog.size() ? model.catalog[machine.record.type.value].boot_s : 0;
  DeletionTradeoff tradeoff;
  tradeoff.gain = (1 - chance_of_return) * waiting * std::max(0.0, proof_at - now);
  tradeoff.loss = chance_of_return * (boot + at_risk);
  return tradeoff;
}

}  // namespace oxbowmill::reconciliation
