#include "oxbowmill/scheduling/queue_order.h"

#include <algorithm>
#include <numeric>
#include <queue>
#include <tuple>

#include "oxbowmill/scheduling/gangs.h"

namespace oxbowmill {

namespace {

constexpr double start_margin_s = 5;  // from the start command until the task works, including the fetch

struct QueueEntry {
  int priority = 0;
  /// -1: its start deadline is near, 0: it can meet its deadline, 1: it has no deadline, 2: it misses its
  /// deadline.
  int tier = 0;
  double sort_key = 0, waiting_since = 0;
  JobIndex job;
  StartUrgency start_urgency = StartUrgency::relaxed;
};

/// Whether the gang can be placed as a whole, or lacks members in an attempt that has not run yet.
bool gang_may_be_placed(const Job& job) {
  GangState state = gang_state(job);
  if (state == GangState::idle) return true;
  if (state != GangState::gathering) return false;
  return std::none_of(job.placements.begin(), job.placements.end(), [](const auto& entry) {
    const Placement& placement = entry.second;
    return placement.state == PlacementState::terminated || placement.state == PlacementState::stopping;
  });
}

/// Capacity, in machines per second, that the partition's placed tasks release according to their users'
/// estimates.
double capacity_release_rate(const ClusterState& state, PartitionIndex partition) {
  double machines_per_s = 0;
  for (JobIndex job_index : state.live_jobs(partition)) {
    const Job& job = state.job(job_index);
    if (job.placements.empty() || job.spec.estimate_s <= 0) continue;
    if (job.checkpoints.empty()) {  // all tasks have the same remaining run time
      machines_per_s += static_cast<double>(job.placements.size()) * job.machine_fraction /
                        (job.spec.estimate_s + start_margin_s);
      continue;
    }
    for (const auto& [task, placement] : job.placements)
      machines_per_s +=
          job.machine_fraction /
          (checkpoint::remaining_run_time(job.spec.estimate_s, job.checkpoint_of(task)) + start_margin_s);
  }
  return machines_per_s;
}

}  // namespace

std::vector<bool> select_late_jobs(const std::vector<DueJob>& jobs, double machines_per_s) {
  std::vector<std::size_t> order(jobs.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&jobs](std::size_t left, std::size_t right) {
    return jobs[left].start_by_s < jobs[right].start_by_s;
  });
  std::vector<bool> given_up(jobs.size(), false);
  std::priority_queue<std::pair<double, std::size_t>> retained;
  double machines_ahead = 0;
  for (std::size_t position : order) {
    const DueJob& job = jobs[position];
    if (job.start_by_s < 0) {  // late even if it were the only one
      given_up[position] = true;
      continue;
    }
    machines_ahead += job.machines_needed;
    retained.emplace(job.machines_needed, position);
    if (machines_ahead <= machines_per_s * job.start_by_s) continue;
    given_up[retained.top().second] = true;
    machines_ahead -= retained.top().first;
    retained.pop();
  }
  return given_up;
}

namespace {

/// Moves jobs ahead whose start deadline is near. A job that is given up because it misses its deadline, or
/// that has a lower priority, would otherwise wait for as long as other jobs arrive. The capacity that
/// critical jobs may take ahead of higher priorities at a time is limited, so that priorities still count
/// while capacity is always short.
void apply_start_deadlines(const ClusterState& state, PartitionIndex partition, Clock clock,
                           std::vector<QueueEntry>& entries) {
  constexpr int above_all_priorities = -100;
  std::vector<QueueEntry*> critical_entries;
  for (QueueEntry& entry : entries) {
    const Job& job = state.job(entry.job);
    entry.start_urgency = start_urgency_of(state, job.spec, clock.wall);
    if (entry.start_urgency < StartUrgency::urgent || !awaits_first_start(job)) {
      entry.start_urgency = StartUrgency::relaxed;
      continue;
    }
    entry.tier = -1;
    entry.sort_key = start_deadline_slack(state, job.spec, clock.wall);
    if (entry.start_urgency == StartUrgency::critical) critical_entries.push_back(&entry);
  }
  std::sort(critical_entries.begin(), critical_entries.end(),
            [](const QueueEntry* left, const QueueEntry* right) {
              return std::tie(left->sort_key, left->job) < std::tie(right->sort_key, right->job);
            });
  double machines_ahead_left = state.settings.operator_settings.start_deadline_share *
                               static_cast<double>(state.machines_of(partition).size());
  bool first = true;
  for (QueueEntry* entry : critical_entries) {
    const Job& job = state.job(entry->job);
    machines_ahead_left -= job.pending_count() * job.machine_fraction;
    if (machines_ahead_left >= 0 || first) {
      entry->priority = above_all_priorities;
    } else {
      entry->start_urgency = StartUrgency::urgent;
    }
    first = false;
  }
}

/// Jobs with tasks to be placed, in the order of the partition's live jobs.
struct QueueEntries {
  std::vector<QueueEntry> without_deadline, with_deadline;
};

QueueEntries collect_entries(const ClusterState& state, PartitionIndex partition) {
  QueueEntries entries;
  for (JobIndex job_index : state.live_jobs(partition)) {
    const Job& job = state.job(job_index);
    if (state.placeable_task_count(job_index) == 0) continue;
    if (job.spec.shape == JobShape::gang && !gang_may_be_placed(job)) continue;
    // Saved progress counts as waiting time, so that among the jobs that lost their machines, those with the
    // most saved progress continue first.
    double waiting_from = job.spec.submitted_at - state.placement_limits(job_index).priority_boost_s -
                          (job.spec.estimate_s - job.remaining_s());
    QueueEntry entry{-static_cast<int>(job.spec.priority), 1, waiting_from, waiting_from, job_index};
    (job.spec.deadline_s < 0 ? entries.without_deadline : entries.with_deadline).push_back(entry);
  }
  return entries;
}

/// Sets tier 0 for the entries that can still meet `multiple` times their deadline. Entries that already have
/// tier 0, because they meet a smaller multiple, keep the sort key of that multiple.
void mark_in_time(const ClusterState& state, double now, double multiple, double machines_per_s,
                  std::vector<QueueEntry>& entries) {
  std::vector<DueJob> due_jobs;
  for (QueueEntry& entry : entries) {
    const Job& job = state.job(entry.job);
    if (entry.tier < 0)
      entry.sort_key =
          job.spec.submitted_at + multiple * job.spec.deadline_s - now - job.remaining_s() - start_margin_s;
    due_jobs.push_back({entry.sort_key, job.pending_count() * job.machine_fraction});
  }
  auto given_up = select_late_jobs(due_jobs, machines_per_s);
  for (std::size_t i = 0; i < entries.size(); ++i)
    if (!given_up[i]) entries[i].tier = 0;
}

/// Sets tier and sort key of the entries that have a deadline.
void rank_by_deadline(const ClusterState& state, PartitionIndex partition, double now,
                      std::vector<QueueEntry>& entries) {
  if (entries.empty()) return;
  double machines_per_s = capacity_release_rate(state, partition);
  // The configured multiples of the deadline, or the deadline itself if there are none: a job that misses one
  // multiple can still meet the next.
  std::vector<double> multiples = state.settings.deadline_multiples;
  if (multiples.empty()) multiples.push_back(1);
  for (QueueEntry& entry : entries) entry.tier = -1;
  for (double multiple : multiples) mark_in_time(state, now, multiple, machines_per_s, entries);
  for (QueueEntry& entry : entries) {
    if (entry.tier == 0) continue;
    entry.tier = 2;
    entry.sort_key = -state.job(entry.job).remaining_s();
  }
}

}  // namespace

std::vector<WaitingJob> waiting_order(const ClusterState& state, PartitionIndex partition, Clock clock) {
  auto [entries, deadline_entries] = collect_entries(state, partition);
  rank_by_deadline(state, partition, clock.wall, deadline_entries);
  entries.insert(entries.end(), deadline_entries.begin(), deadline_entries.end());
  apply_start_deadlines(state, partition, clock, entries);
  std::sort(entries.begin(), entries.end(), [](const QueueEntry& left, const QueueEntry& right) {
    return std::tie(left.priority, left.tier, left.sort_key, left.waiting_since, left.job) <
           std::tie(right.priority, right.tier, right.sort_key, right.waiting_since, right.job);
  });
  std::vector<WaitingJob> order;
  for (const QueueEntry& entry : entries) order.push_back({entry.job, entry.start_urgency});
  return order;
}

}  // namespace oxbowmill
