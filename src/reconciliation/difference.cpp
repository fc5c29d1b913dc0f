#include "oxbowmill/reconciliation/difference.h"

#include <algorithm>
#include <tuple>

#include "oxbowmill/scheduling/gangs.h"
#include "oxbowmill/scheduling/reported_tasks.h"

namespace oxbowmill::reconciliation {

const char* name_of(Difference difference) {
  static constexpr const char* names[] = {
      "stale_token",      "not_reported", "not_placed",  "placed_elsewhere", "other_attempt",
      "ended_unreported", "job_finished", "gang_broken", "uncleared_task",   "market_managed"};
  return names[static_cast<int>(difference)];
}

bool DifferenceCounts::has_unsettled() const {
  for (std::size_t i = 0; i < difference_kind_count; ++i) {
    auto kind = static_cast<Difference>(i);
    // The first report to a new owner never has its fencing token, so `stale_token` needs no action.
    bool needs_no_action = kind == Difference::market_managed || kind == Difference::uncleared_task ||
                           kind == Difference::stale_token;
    if (!needs_no_action && count[i] != 0) return true;
  }
  return false;
}

namespace {

/// Whether another member of this placement's attempt may still be on its machine.
bool has_other_members(const Job& job, const Placement& placement) {
  return std::any_of(job.placements.begin(), job.placements.end(), [&placement](const auto& other) {
    const Placement& peer = other.second;
    return peer.task != placement.task && peer.attempt == placement.attempt && !is_off_machine(peer.state);
  });
}

/// Compares a placement of an earlier owner with the agent's report of the task; null: it reports none.
void compare_placement(const Job& job, const Placement& placement, const TaskReport* task_report,
                       DifferenceCounts& differences) {
  bool is_gang = job.spec.shape == JobShape::gang;
  if (task_report == nullptr) {
    differences.add(Difference::not_reported);
    if (is_gang && has_other_members(job, placement)) differences.add(Difference::gang_broken);
  } else if (task_report->attempt != placement.attempt) {
    differences.add(Difference::other_attempt);
  } else if (task_report->phase == TaskPhase::ended) {
    differences.add(Difference::ended_unreported);
    if (is_gang && task_report->cause != EndCause::done && has_other_members(job, placement))
      differences.add(Difference::gang_broken);
  }
}

/// Compares all placements that earlier owners made on the machine.
void compare_placements(const ClusterState& state, const Machine& machine, const AgentReport& report,
                        DifferenceCounts& differences) {
  ReportedTasks reported(report);
  for (TaskId id : machine.placed_tasks) {
    const Job* job = state.known_job(id.job);
    const Placement* placement = state.find_placement(id);
    // A task that this owner placed itself is not a difference: the agent may not have the command yet.
    if (job == nullptr || placement == nullptr || is_off_machine(placement->state) || !placement->inherited)
      continue;
    compare_placement(*job, *placement, reported.find(job->spec.ref, id.task), differences);
  }
}

/// Compares a reported task with the placement of that task.
void compare_reported_task(const ClusterState& state, MachineIndex machine_index,
                           const TaskReport& task_report, DifferenceCounts& differences) {
  JobIndex job_index = state.find_job(task_report.job);
  const Job* job = job_index.valid() ? state.known_job(job_index) : nullptr;
  const Placement* placement = job == nullptr ? nullptr : state.find_placement({job_index, task_report.task});
  bool is_placed_here = placement != nullptr && placement->machine == machine_index;
  if (task_report.phase == TaskPhase::ended) {
    if (!is_placed_here) differences.add(Difference::uncleared_task);
    return;
  }
  if (job == nullptr || job->is_final()) {
    differences.add(Difference::job_finished);
  } else if (placement == nullptr) {
    differences.add(Difference::not_placed);
  } else if (!is_placed_here) {
    differences.add(Difference::placed_elsewhere);
  }
}

}  // namespace

ReportValidity check_validity(const ClusterState& state, bool is_owned, MachineIndex machine_index,
                              const AgentReport& report) {
  if (!machine_index.valid()) return ReportValidity::unregistered;
  if (!is_owned) return ReportValidity::not_owned;
  const Machine& machine = state.machine(machine_index);
  if (report.fencing_token > state.fencing_token(machine)) return ReportValidity::higher_token;
  if (std::tie(report.agent_epoch, report.report_sequence) <=
      std::tie(machine.agent_epoch, machine.report_sequence))
    return ReportValidity::stale;
  return ReportValidity::valid;
}

DifferenceCounts compare(const ClusterState& state, MachineIndex machine_index, const AgentReport& report) {
  DifferenceCounts differences;
  const Machine& machine = state.machine(machine_index);
  if (machine.record.market.valid()) differences.add(Difference::market_managed);
  if (report.fencing_token < state.lowest_fencing_token(machine)) differences.add(Difference::stale_token);
  compare_placements(state, machine, report, differences);
  for (const TaskReport& task_report : report.tasks)
    compare_reported_task(state, machine_index, task_report, differences);
  return differences;
}

}  // namespace oxbowmill::reconciliation
