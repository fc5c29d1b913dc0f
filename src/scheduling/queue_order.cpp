#include "oxbowmill/scheduling/queue_order.h"

#include <algorithm>
#include <numeric>
#include <queue>
#include <tuple>

#include "oxbowmill/scheduling/gangs.h"

namespace oxbowmill {

namespace {

constexpr double start_margin_s = 5;  // from the start order to the first second of work, with its fetch

struct QueueEntry {
  int priority = 0;
  int tier = 0;  // -1: has to begin, 0: can be in time, 1: no deadline, 2: late whatever is done
  double sort_key = 0, waiting_since = 0;
  JobIndex job;
  StartDeadline start_deadline = StartDeadline::relaxed;
};

/// Whole, or the missing members of an attempt that has not run yet.
bool gang_may_be_placed(const Job& job) {
  GangState state = gang_state(job);
  if (state == GangState::idle) return true;
  if (state != GangState::gathering) return false;
  return std::none_of(job.placements.begin(), job.placements.end(), [](const auto& p) {
    return p.second.state == PlacementState::terminated || p.second.state == PlacementState::stopping;
  });
}

/// Machines' worth of capacity that the partition's running tasks release each second, as their owner
/// estimates.
double capacity_release_rate(const ClusterState& model, PartitionIndex partition) {
  double rate = 0;
  for (JobIndex ji : model.live_jobs(partition)) {
    const Job& job = model.job(ji);
    if (job.placements.empty() || job.spec.estimate_s <= 0) continue;
    if (job.checkpoints.empty()) {  // all its tasks alike
      rate += static_cast<double>(job.placements.size()) * job.machine_fraction /
              (job.spec.estimate_s + start_margin_s);
      continue;
    }
    for (const auto& [t, p] : job.placements)
      rate += job.machine_fraction /
              (checkpoint::remaining_run_time(job.spec.estimate_s, job.checkpoint_of(t)) + start_margin_s);
  }
  return rate;
}

}  // namespace

std::vector<bool> select_late_jobs(const std::vector<DueJob>& jobs, double rate) {
  std::vector<std::size_t> order(jobs.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [&jobs](std::size_t a, std::size_t b) { return jobs[a].start_by < jobs[b].start_by; });
  std::vector<bool> given_up(jobs.size(), false);
  std::priority_queue<std::pair<double, std::size_t>> retained;
  double ahead = 0;
  for (std::size_t i : order) {
    if (jobs[i].start_by < 0) {  // late even if it were the only one
      given_up[i] = true;
      continue;
    }
    ahead += jobs[i].machines;
    retained.emplace(jobs[i].machines, i);
    if (ahead <= rate * jobs[i].start_by) continue;
    given_up[retained.top().second] = true;
    ahead -= retained.top().first;
    retained.pop();
  }
  return given_up;
}

/// What is given up for a deadline, or has a lower priority, would otherwise wait as long as others come: its
/// place is then decided by its start deadline. How much may cross priorities at a time is bounded, so that
/// they still mean something where there is never enough capacity.
void apply_start_deadlines(const ClusterState& model, PartitionIndex partition, Clock clock,
                           std::vector<QueueEntry>& entries) {
  constexpr int before_all_ranks = -100;
  std::vector<QueueEntry*> lifted;
  for (QueueEntry& entry : entries) {
    const Job& job = model.job(entry.job);
    entry.start_deadline = start_deadline_of(model, job.spec, clock.wall);
    if (entry.start_deadline < StartDeadline::urgent || !awaits_first_start(job)) {
      entry.start_deadline = StartDeadline::relaxed;
      continue;
    }
    entry.tier = -1;
    entry.sort_key = start_deadline_slack(model, job.spec, clock.wall);
    if (entry.start_deadline == StartDeadline::critical) lifted.push_back(&entry);
  }
  std::sort(lifted.begin(), lifted.end(), [](const QueueEntry* a, const QueueEntry* b) {
    return std::tie(a->sort_key, a->job) < std::tie(b->sort_key, b->job);
  });
  double room = model.settings.operator_settings.start_deadline_share *
                static_cast<double>(model.machines_of(partition).size());
  bool first = true;
  for (QueueEntry* entry : lifted) {
    const Job& j = model.job(entry->job);
    room -= j.pending_count() * j.machine_fraction;
    if (room >= 0 || first) {
      entry->priority = before_all_ranks;
    } else {
      entry->start_deadline = StartDeadline::urgent;
    }
    first = false;
  }
}

std::vector<WaitingJob> waiting_order(const ClusterState& model, PartitionIndex partition, Clock clock) {
  std::vector<QueueEntry> entries, deadline_entries;
  for (JobIndex job_index : model.live_jobs(partition)) {
    const Job& job = model.job(job_index);
    if (model.placeable_tasks(job_index) == 0) continue;
    if (job.spec.shape == JobShape::gang && !gang_may_be_placed(job)) continue;
    // Progress that was saved before its machines were lost counts: those nearest their end continue first.
    double since = job.spec.submitted_at - model.placement_limits(job_index).priority_boost_s -
                   (job.spec.estimate_s - job.remaining_s());
    QueueEntry e{-static_cast<int>(job.spec.priority), 1, since, since, job_index};
    (job.spec.deadline_s < 0 ? entries : deadline_entries).push_back(e);
  }
  if (!deadline_entries.empty()) {
    double rate = capacity_release_rate(model, partition);
    // First the deadline itself, then the multiples of it that the users' aims name: what misses one can
    // still make the next.
    std::vector<double> multiples = model.settings.deadline_multiples;
    if (multiples.empty()) multiples.push_back(1);
    for (QueueEntry& e : deadline_entries) e.tier = -1;
    for (double times : multiples) {
      std::vector<DueJob> jobs;
      for (QueueEntry& entry : deadline_entries) {
        const JobSpec& s = model.job(entry.job).spec;
        if (entry.tier < 0)
          entry.sort_key = s.submitted_at + times * s.deadline_s - clock.wall -
                           model.job(entry.job).remaining_s() - start_margin_s;
        jobs.push_back(
            {entry.sort_key, model.job(entry.job).pending_count() * model.job(entry.job).machine_fraction});
      }
      auto given_up = select_late_jobs(jobs, rate);
      for (std::size_t i = 0; i < deadline_entries.size(); ++i) {
        if (!given_up[i]) deadline_entries[i].tier = 0;
      }
    }
    for (QueueEntry& e : deadline_entries) {
      if (e.tier == 0) continue;
      e.tier = 2;
      e.sort_key = -model.job(e.job).remaining_s();
    }
    entries.insert(entries.end(), deadline_entries.begin(), deadline_entries.end());
  }
  apply_start_deadlines(model, partition, clock, entries);
  std::sort(entries.begin(), entries.end(), [](const QueueEntry& a, const QueueEntry& b) {
    return std::tie(a.priority, a.tier, a.sort_key, a.waiting_since, a.job) <
           std::tie(b.priority, b.tier, b.sort_key, b.waiting_since, b.job);
  });
  std::vector<WaitingJob> out;
  for (const QueueEntry& e : entries) out.push_back({e.job, e.start_deadline});
  return out;
}

}  // namespace oxbowmill
