#include "oxbowmill/autoscaling/demand_order.h"

#include <algorithm>

namespace oxbowmill::autoscaling {

namespace {

/// Open jobs of the partition, earliest submission first.
std::vector<JobIndex> open_jobs_by_age(const ClusterState& state, PartitionIndex partition) {
  std::vector<JobIndex> jobs;
  for (JobIndex job_index : state.live_jobs(partition)) {
    if (state.job(job_index).phase == JobPhase::open) jobs.push_back(job_index);
  }
  std::sort(jobs.begin(), jobs.end(), [&state](JobIndex a, JobIndex b) {
    return state.job(a).spec.submitted_at < state.job(b).spec.submitted_at;
  });
  return jobs;
}

/// Adds the partition's jobs that are within the team's guarantee: those that fit into it together with all
/// the team's unfinished jobs submitted before them.
void add_guaranteed_jobs(const ClusterState& state, PartitionIndex partition, std::set<JobIndex>& jobs) {
  Resources remaining_guarantee = state.settings.teams[partition.value].guaranteed;
  if (remaining_guarantee.cpus <= 0 && remaining_guarantee.gpus <= 0) return;
  if (remaining_guarantee.cpus <= 0) remaining_guarantee.cpus = unlimited_capacity;
  if (remaining_guarantee.gpus <= 0) remaining_guarantee.gpus = unlimited_capacity;
  remaining_guarantee.memory_gb = remaining_guarantee.message_bytes = unlimited_capacity;
  for (JobIndex job_index : open_jobs_by_age(state, partition)) {
    const JobSpec& spec = state.job(job_index).spec;
    Resources needed = static_cast<double>(spec.tasks) * spec.task_resources;
    if (!fits(needed, remaining_guarantee)) break;
    remaining_guarantee -= needed;
    jobs.insert(job_index);
  }
}

}  // namespace

DemandOrder demand_order(const ClusterState& state, Clock clock) {
  DemandOrder order;
  for (std::uint32_t i = 1; i < state.partition_count(); ++i) {
    PartitionIndex partition{i};
    add_guaranteed_jobs(state, partition, order.guaranteed);
    std::vector<WaitingJob> waiting = waiting_order(state, partition, clock);
    order.jobs.insert(order.jobs.end(), waiting.begin(), waiting.end());
  }
  std::stable_sort(order.jobs.begin(), order.jobs.end(),
                   [&](const WaitingJob& left, const WaitingJob& right) {
                     bool left_guaranteed = order.guaranteed.count(left.job) != 0;
                     bool right_guaranteed = order.guaranteed.count(right.job) != 0;
                     if (left_guaranteed != right_guaranteed) return left_guaranteed;
                     bool left_critical = left.start_urgency == StartUrgency::critical;
                     bool right_critical = right.start_urgency == StartUrgency::critical;
                     if (left_critical || right_critical) return left_critical && !right_critical;
                     return state.job(left.job).spec.priority > state.job(right.job).spec.priority;
                   });
  return order;
}

}  // namespace oxbowmill::autoscaling
