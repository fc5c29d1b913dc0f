#include "oxbowmill/reconciliation/agent_liveness.h"

#include <algorithm>

#include "oxbowmill/scheduling/machine_selection.h"

namespace oxbowmill::reconciliation {

namespace {
constexpr double max_evidence = 50;  // suspicions that are remembered
constexpr double min_return_probability = 0.05;
}  // namespace

const char* name_of(AgentLiveness liveness) {
  static constexpr const char* names[] = {"none",       "booting",    "awaited",   "reported",
                                          "mismatched", "reconciled", "suspected", "marked_for_deletion",
                                          "lost"};
  return names[static_cast<int>(liveness)];
}

void SuspicionStatistics::add_evidence(double back, double gone) {
  double keep = returned_weight_ + lost_weight_ + 1 > max_evidence
                    ? (max_evidence - 1) / (returned_weight_ + lost_weight_)
                    : 1;
  returned_weight_ = keep * returned_weight_ + back;
  lost_weight_ = keep * lost_weight_ + gone;
}

double SuspicionStatistics::return_probability() const {
  // Before anything was seen, three of four troubles are taken to pass: a deletion that was wrong is a loss
  // for certain, one that comes late only a delay.
  constexpr double passed = 3, stayed = 1;
  return std::max(min_return_probability,
                  (returned_weight_ + passed) / (returned_weight_ + lost_weight_ + passed + stayed));
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

DeletionTradeoff deletion_tradeoff(const ClusterState& model, MachineIndex machine_index, Seconds proof_at,
                                   double chance_of_return, Seconds now) {
  const Machine& machine = model.machine(machine_index);
  double waiting = 0;  // machines' worth of work that stands still until the proof
  double at_risk = 0;  // machine-seconds of progress that go if it is alive
  for (TaskId id : machine.placed_tasks) {
    const Job* job = model.live_job(id.job);
    const Placement* placement = model.find_placement(id);
    if (job == nullptr || placement == nullptr || is_off_machine(placement->state)) continue;
    double size = job->machine_fraction;
    bool broken = false;
    if (job->spec.shape == JobShape::gang) {
      // The whole gang waits for its last member. Another member's word that it has lost its peers is the
      // second witness, and then there is no progress left that the machine could hold.
      size *= job->spec.tasks;
      broken = job->broken_attempt == placement->attempt;
    }
    waiting += size;
    if (broken) continue;
    if (job->spec.shape == JobShape::service) {
      // No progress to lose, but a replica that is up, until another has its image.
      at_risk += size * (model.settings.report_interval_s +
                         fetch_time(job->spec, model.catalog.at(machine.record.type.value)));
      continue;
    }
    double ran = now - placement->started_at;
    // Half an interval on average since the last checkpoint.
    double unsaved = job->spec.checkpoint_interval_s > 0 ? job->spec.checkpoint_interval_s / 2
                                                         : std::max(ran, job->spec.estimate_s / 2);
    at_risk += size * unsaved;
  }
  double boot =
      machine.record.type.value < model.catalog.size() ? model.catalog[machine.record.type.value].boot_s : 0;
  DeletionTradeoff s;
  s.gain = (1 - chance_of_return) * waiting * std::max(0.0, proof_at - now);
  s.loss = chance_of_return * (boot + at_risk);
  return s;
}

}  // namespace oxbowmill::reconciliation
