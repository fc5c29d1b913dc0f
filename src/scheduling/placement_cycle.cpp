#include "oxbowmill/scheduling/placement_cycle.h"

#include <algorithm>
#include <set>

#include "oxbowmill/scheduling/never.h"
#include "oxbowmill/scheduling/selection_query.h"

namespace oxbowmill {

namespace {

/// The machines of a gang that would start later than this are selected again with the forecast.
constexpr double reselection_threshold_s = 5;
constexpr double leader_response_s = 0.7;
/// Least time between two transactions that each place some of a job's tasks, while writes are scarce.
constexpr double partial_placement_interval_s = 1.5;
/// Writes are scarce while this controller alone uses more than this fraction of the state service's write
/// limit.
constexpr double partial_placement_write_fraction = 0.35;
constexpr unsigned attempt_count_bits = 24;  // low bits of an attempt; the ownership revision is above them
constexpr double unlimited = 1e12;

}  // namespace

void PlacementCycle::run(PartitionIndex partition, Clock clock, CycleDepth depth, PlannedTasks& planned) {
  capacity_.refresh(clock.now);
  if (capacity_check_enabled_) capacity_.require_consistent(clock.now);
  LastCycle& last = last_cycles_[partition.value];
  if (depth == CycleDepth::quick && is_unchanged(partition, last, clock.now)) return;
  last = {capacity_.version(partition), never};
  auto order = waiting_order(state_, partition, clock);
  if (order.empty()) return;
  reset_pending_reasons(partition, order);
  Cycle cycle;
  cycle.clock = clock;
  cycle.depth = depth;
  cycle.avoid_whole_machines = needs_whole_machines(state_, partition);
  cycle.capacity = {&capacity_.free_capacity(partition), forecast_.expected_machines(partition, clock.now)};
  cycle.quota_left = quota_left(partition);
  cycle.last = &last;
  cycle.planned = &planned;
  for (const WaitingJob& waiting : order) state_.job(waiting.job).pending_reason = place_job(cycle, waiting);
}

void PlacementCycle::reset_pending_reasons(PartitionIndex partition, const std::vector<WaitingJob>& order) {
  // A gang that is not in the queue order has an earlier attempt that has not ended yet.
  for (JobIndex job_index : state_.live_jobs(partition))
    state_.job(job_index).pending_reason = PendingReason::previous_attempt;
  for (const WaitingJob& waiting : order) state_.job(waiting.job).pending_reason = PendingReason::queue_order;
}

bool PlacementCycle::is_unchanged(PartitionIndex partition, const LastCycle& last, Seconds now) const {
  if (state_.constraints != nullptr || now >= last.wake_at || last.version != capacity_.version(partition))
    return false;
  return std::none_of(state_.dirty_jobs.begin(), state_.dirty_jobs.end(), [&](JobIndex job_index) {
    const Job* job = state_.known_job(job_index);
    return job != nullptr && job->spec.partition == partition;
  });
}

Resources PlacementCycle::quota_left(PartitionIndex partition) const {
  const Team& team = state_.settings.teams[partition.value];
  auto left = [](double limit, double used) { return limit > 0 ? limit - used : unlimited; };
  // Every task that may be on a machine uses quota, including tasks whose placement is being written.
  Resources used = state_.team_usage(partition);
  return {left(team.limit.cpus, used.cpus), left(team.limit.gpus, used.gpus), unlimited, unlimited};
}

std::size_t PlacementCycle::max_placeable(const Cycle& cycle, JobIndex job_index) const {
  const JobSpec& spec = state_.job(job_index).spec;
  return std::min<std::size_t>(state_.placeable_task_count(job_index),
                               static_cast<std::size_t>(how_many_fit(spec.task_resources, cycle.quota_left)));
}

bool PlacementCycle::may_preempt_in(const Cycle& cycle, const Job& job) const {
  return preemptor_.may_preempt_for(job) && cycle.depth == CycleDepth::thorough;
}

PendingReason PlacementCycle::place_job(Cycle& cycle, const WaitingJob& waiting) {
  Job& job = state_.job(waiting.job);
  Seconds now = cycle.clock.now;
  if (job.write_in_flight || now < job.write_backoff_until) {
    cycle.last->wake_by(job.write_backoff_until);
    return PendingReason::transaction_pending;
  }
  if (now < job.placement_backoff_until) {
    cycle.last->wake_by(job.placement_backoff_until);
    return PendingReason::error_backoff;
  }
  bool gang = job.spec.shape == JobShape::gang;
  std::size_t max_tasks = max_placeable(cycle, waiting.job);
  if (max_tasks == 0 || (gang && max_tasks < job.pending_count())) return PendingReason::quota;
  auto tasks = state_.pending_tasks(job, max_tasks);
  SelectionQuery query = selection_query_for(state_, capacity_, zones_, job, now);
  query.has_start_deadline = waiting.start_urgency != StartUrgency::relaxed;
  if (cycle.avoid_whole_machines && !query.has_start_deadline)
    tasks = keep_whole_machines_free(state_, job, now, cycle.capacity, query, tasks);
  if (tasks.empty()) return PendingReason::awaiting_spot;
  Selection selection = select_machines(cycle, job, query, tasks);
  if (selection.assignments.empty()) {
    if (gang && !job.placements.empty()) gangs_.release_unschedulable(job, now);
    return shortage_of(cycle, job);
  }
  job.unschedulable_since = -1;
  return reserve_and_plan(cycle, waiting.job, tasks.size(), selection);
}

Selection PlacementCycle::select_machines(Cycle& cycle, const Job& job, const SelectionQuery& query,
                                          const std::vector<TaskNumber>& tasks) {
  bool may_preempt = may_preempt_in(cycle, job);
  if (cycle.failed.covers(job, tasks.size(), query.avoid_whole_machines, may_preempt)) return {};
  SelectionRequest request{job, query, tasks, tasks_by_zone(state_, job), may_preempt};
  Selection selection = cycle.capacity.free->select(query, tasks, request.tasks_per_zone);
  if (job.spec.shape == JobShape::gang &&
      (selection.assignments.empty() || selection.last_start_s() > reselection_threshold_s)) {
    improve_gang_selection(cycle, request, selection);
  } else if (selection.assignments.size() < tasks.size() && may_preempt) {
    if (preempt_for_rest(cycle, request)) return selection;
  }
  if (selection.assignments.empty())
    cycle.failed.add(job, tasks.size(), query.avoid_whole_machines, may_preempt);
  return selection;
}

Selection PlacementCycle::select_with_forecast(const Cycle& cycle, const SelectionRequest& request,
                                               Preemption preemption) const {
  SelectionQuery query = request.query;
  query.has_start_deadline = query.avoid_whole_machines = false;
  return cycle.capacity.free->select(
      query, request.tasks, request.tasks_per_zone,
      forecast_.candidates_for(request.job, cycle.capacity.expected, preemption, cycle.clock));
}

void PlacementCycle::improve_gang_selection(const Cycle& cycle, const SelectionRequest& request,
                                            Selection& selection) const {
  // Members are placed on the free machines while the machines of the others are expected, and fetch and wait
  // there. Otherwise smaller jobs would take the free machines one by one. Besides, a machine that has the
  // image but is not free yet may start a member sooner than a free machine without it.
  for (Preemption preemption : {Preemption::none, Preemption::lower_priority}) {
    if (preemption == Preemption::lower_priority && !request.may_preempt) continue;
    Selection better = select_with_forecast(cycle, request, preemption);
    if (better.assignments.empty()) continue;
    if (!selection.assignments.empty() && better.last_start_s() + stop_duration_s > selection.last_start_s())
      continue;
    selection = std::move(better);
  }
}

/// Preempts tasks of lower priority for tasks of the job that found no machine. Returns whether some of them
/// will get a machine soon.
bool PlacementCycle::preempt_for_rest(const Cycle& cycle, const SelectionRequest& request) {
  std::size_t count_without_preemption =
      select_with_forecast(cycle, request, Preemption::none).assignments.size();
  Selection with_preemption = select_with_forecast(cycle, request, Preemption::lower_priority);
  if (with_preemption.assignments.size() > count_without_preemption)
    preemptor_.preempt_for(request.job, with_preemption, cycle.clock);
  return !with_preemption.assignments.empty();
}

bool PlacementCycle::awaits_leader(const Job& job, const Selection& selection, Seconds now) const {
  // Machines of other partitions may have the image and run only work of lower priority. The leader gets
  // `leader_response_s` to request them before a long fetch begins.
  return job.spec.shape == JobShape::gang && job.spec.priority >= Priority::high &&
         selection.last_start_s() > reselection_threshold_s && job.placements.empty() &&
         state_.settings.operator_settings.preempt && now - job.waiting_since < leader_response_s;
}

bool PlacementCycle::should_batch_placements(const Job& job, std::size_t placeable, std::size_t wanted,
                                             Seconds now) const {
  // Placing tasks one by one as machines arrive would cost a write each, so their capacity is reserved and
  // the placements are written together.
  return placeable < wanted && write_rate_.exceeds(partial_placement_write_fraction) &&
         now - job.last_placement_at < partial_placement_interval_s;
}

PendingReason PlacementCycle::reserve_and_plan(Cycle& cycle, JobIndex job_index, std::size_t wanted,
                                               const Selection& selection) {
  Job& job = state_.job(job_index);
  Seconds now = cycle.clock.now;
  bool waits_for_leader = awaits_leader(job, selection, now);
  if (waits_for_leader) cycle.last->wake_by(job.waiting_since + leader_response_s);
  if (job.spec.shape == JobShape::gang && may_preempt_in(cycle, job) && !waits_for_leader)
    preemptor_.preempt_for(job, selection, cycle.clock);
  cycle.quota_left -= static_cast<double>(selection.assignments.size()) * job.spec.task_resources;
  std::vector<PlacedTask> placeable;
  for (const TaskAssignment& assignment : selection.assignments) {
    const CandidateMachine& candidate = selection.machines[assignment.candidate];
    if (reserve(cycle, job, candidate, waits_for_leader))
      placeable.push_back({assignment.task, candidate.machine, 0, false});
  }
  bool batches_placements = should_batch_placements(job, placeable.size(), wanted, now);
  if (batches_placements) cycle.last->wake_by(job.last_placement_at + partial_placement_interval_s);
  if (!batches_placements && !placeable.empty()) {
    job.last_placement_at = now;
    plan(job_index, placeable, *cycle.planned);
  }
  if (waits_for_leader) return PendingReason::awaiting_leader;
  if (batches_placements) return PendingReason::write_budget;
  if (placeable.size() < selection.assignments.size()) return PendingReason::capacity_coming;
  return placeable.size() < wanted ? shortage_of(cycle, job) : PendingReason::transaction_pending;
}

PendingReason PlacementCycle::shortage_of(const Cycle& cycle, const Job& job) {
  return cycle.capacity.free->has_message_limited_place(job.spec) ? PendingReason::message_limit
                                                                  : PendingReason::no_capacity;
}

/// Takes the candidate's capacity for the rest of the cycle. Returns whether the task may be placed now.
bool PlacementCycle::reserve(Cycle& cycle, const Job& job, const CandidateMachine& candidate,
                             bool awaits_leader) {
  FreeCapacity& capacity = *cycle.capacity.free;
  const MachineCapacity* offer = capacity.find(candidate.machine);
  bool booted = offer != nullptr && !offer->booting;
  if (booted && fits(job.spec.task_resources, offer->candidate.free_capacity)) {
    capacity.take(candidate.machine, job.spec.task_resources);
    if (awaits_leader) return false;
    // Later tasks on this machine would share the fetch rate with this fetch.
    if (candidate.start_s > 0) capacity.add_fetch(candidate.machine, candidate.start_s);
    if (job.spec.shape == JobShape::service) capacity.mark_long_running(candidate.machine);
    return true;
  }
  if (booted) {
    capacity.take_releasing(candidate.machine, job.spec.task_resources);
    return false;
  }
  for (ForecastMachine& machine : cycle.capacity.expected) {
    if (machine.candidate.machine == candidate.machine) machine.expected_capacity -= job.spec.task_resources;
  }
  return false;
}

Attempt PlacementCycle::next_attempt(PartitionIndex partition) {
  return (state_.ownership(partition).revision << attempt_count_bits) | ++attempt_count_;
}

void PlacementCycle::plan(JobIndex job_index, const std::vector<PlacedTask>& tasks, PlannedTasks& planned) {
  const Job& job = state_.job(job_index);
  bool gang = job.spec.shape == JobShape::gang;
  PartitionIndex partition = job.spec.partition;
  Attempt shared = 0;
  if (gang)
    shared = job.placements.empty() ? next_attempt(partition) : job.placements.begin()->second.attempt;
  // Tasks that exceed one transaction are placed by later cycles; for a large gang they count as missing
  // members of the same attempt.
  std::set<MachineIndex> machines;
  std::set<std::uint32_t> chunks;
  for (PlacedTask task : tasks) {
    machines.insert(task.machine);
    chunks.insert(task.task / tasks_per_chunk);
    if (machines.size() > max_guarded_machines(state_.settings) ||
        chunks.size() > max_chunks_per_transaction(state_.settings))
      break;
    task.attempt = gang ? shared : next_attempt(partition);
    planned[job_index].push_back(task);
  }
}

}  // namespace oxbowmill
