// The scheduler's placing: which waiting tasks go where, what makes room for them and how gangs gather.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill {

namespace {

constexpr double stop_duration_s = 1.5;    // from the stop of a task that has saved to a start in its room
constexpr double handover_duration_s = 4;  // until a machine that another part drains for us reports here
constexpr double reselection_threshold_s =
    5;  // a gang that would start later than this is worth a second look
constexpr double leader_response_s = 0.7;
constexpr double partial_placement_interval_s =
    1.5;  // between two changes that place parts of a job, while changes are scarce
constexpr std::size_t max_failures = 64;
constexpr Seconds never = std::numeric_limits<double>::infinity();
constexpr double partial_placement_write_fraction =
    0.35;  // of the changes a second, written by this owner alone

/// It still takes up its room, but not for long. (What is off already has left it.)
bool is_stopping(const Placement& placement) {
  return placement.state == PlacementState::stopping;
}

}  // namespace

SelectionQuery Scheduler::query_for(const Job& job, Seconds now) const {
  SelectionQuery query;
  query.spec = &job.spec;
  for (std::uint32_t z = 0; z < state_.names.zones.size(); ++z)
    query.unreachable.push_back(is_unreachable(ZoneIndex{z}, now));
  query.fetch_backlog_s = [this, now](MachineIndex machine_index) {
    return capacity_.fetch_backlog_s(machine_index, now);
  };
  return query;
}

std::vector<Scheduler::ForecastMachine> Scheduler::forecast_of(PartitionIndex partition, Seconds now) {
  std::vector<ForecastMachine> forecast;
  auto add_forecast = [&](MachineIndex machine_index, Seconds wait) {
    const Machine& m = state_.machine(machine_index);
    forecast.push_back({{machine_index, m.record.type, m.record.zone, m.record.spot, wait, Resources{}},
                        state_.catalog[m.record.type.value].capacity});
  };
  const FreeCapacity& capacity = capacity_.free_capacity(partition);
  for (MachineIndex mi : capacity.booting()) {
    if (!is_unreachable(state_.machine(mi).record.zone, now))
      add_forecast(mi, std::max(state_.settings.report_interval_s, capacity.find(mi)->expected_up_at - now));
  }
  for (MachineIndex mi : state_.machines_requested_by(partition)) add_forecast(mi, handover_duration_s);
  return forecast;
}

bool Scheduler::may_preempt(const Job& victim, const Placement& placement, const Job& job,
                            Clock clock) const {
  return state_.settings.operator_settings.preempt && victim.spec.priority < job.spec.priority &&
         victim.spec.checkpoint_interval_s > 0 && is_preemptible(state_, victim, placement, clock);
}

std::vector<CandidateMachine> Scheduler::forecast_for(const Job& job, const Cycle& cycle, bool preempting) {
  std::vector<CandidateMachine> nodes;
  const FreeCapacity& capacity = *cycle.capacity;
  const Resources& need = job.spec.task_resources;
  auto lacks_room = [&](MachineIndex machine_index) {
    const CandidateMachine& node = capacity.find(machine_index)->candidate;
    return !fits(need, node.free_capacity) && !is_unreachable(node.zone, cycle.clock.now);
  };
  for (MachineIndex mi : capacity.with_releasing()) {
    if (!lacks_room(mi)) continue;
    nodes.push_back(capacity.find(mi)->candidate);
    nodes.back().free_capacity += capacity.find(mi)->releasing;
    nodes.back().available_in_s = stop_duration_s;
  }
  for (const ForecastMachine& f : cycle.forecast) {
    nodes.push_back(f.candidate);
    nodes.back().free_capacity = f.expected_capacity;
  }
  if (!preempting) {
    evaluate_for_job(job.spec, state_, nodes);
    return nodes;
  }
  for (MachineIndex mi : capacity.preemptible()) {
    const MachineCapacity& offer = *capacity.find(mi);
    if (offer.lowest_priority >= job.spec.priority || !lacks_room(mi)) continue;
    if (fits(need, offer.candidate.free_capacity + offer.releasing)) continue;
    CandidateMachine node = offer.candidate;
    node.free_capacity += offer.releasing;
    node.available_in_s = stop_duration_s;
    add_preemptible_capacity(job, node, cycle.clock);
    if (fits(need, node.free_capacity)) nodes.push_back(node);
  }
  evaluate_for_job(job.spec, state_, nodes);
  return nodes;
}

void Scheduler::add_preemptible_capacity(const Job& job, CandidateMachine& node, Clock clock) const {
  for (TaskId id : state_.machine(node.machine).placed_tasks) {
    const Job& victim = state_.job(id.job);
    const Placement& p = *state_.find_placement(id);
    if (!may_preempt(victim, p, job, clock) || is_stopping(p) || is_off_machine(p.state)) continue;
    node.free_capacity += victim.spec.task_resources;
    node.available_in_s = std::max(node.available_in_s, stop_duration_s + victim.spec.flush_s);
    node.acquisition_cost = 2;
  }
}

void Scheduler::preempt_for(const Job& job, const Selection& selection, Clock clock) {
  std::map<MachineIndex, Resources> needed;
  for (const TaskAssignment& c : selection.assignments)
    needed[selection.machines[c.candidate].machine] += job.spec.task_resources;
  for (auto& [mi, need] : needed) {
    const Machine& machine = state_.machine(mi);
    if (machine.record.partition != job.spec.partition) continue;
    Resources free = state_.free_capacity(machine);
    for (TaskId id : machine.placed_tasks) {
      if (is_stopping(*state_.find_placement(id))) free += state_.job(id.job).spec.task_resources;
    }
    for (TaskId id : std::vector<TaskId>(machine.placed_tasks)) {
      if (fits(need, free)) break;
      if (!may_preempt(state_.job(id.job), *state_.find_placement(id), job, clock)) continue;
      Placement& placement = *state_.edit_placement(id);
      Job& victim = state_.job(id.job);
      if (is_stopping(placement) || is_off_machine(placement.state)) continue;
      free += victim.spec.task_resources;
      SPDLOG_DEBUG("task {}/{} makes room for job {}", victim.spec.ref, id.task, job.spec.ref);
      stop(placement, victim.spec.flush_s, clock.now);
      if (victim.spec.shape == JobShape::gang) check_gang(victim, clock.now);
    }
  }
}

void Scheduler::plan(JobIndex job_index, const std::vector<PlacedTask>& here,
                     std::map<JobIndex, std::vector<PlacedTask>>& planned) {
  Job& j = state_.job(job_index);
  bool gang = j.spec.shape == JobShape::gang;
  PartitionIndex partition = j.spec.partition;
  Attempt shared = !gang                  ? 0
                   : j.placements.empty() ? next_attempt(partition)
                                          : j.placements.begin()->second.attempt;
  // What exceeds one transaction follows in the next; the rest of a large gang as missing members.
  std::set<MachineIndex> machines;
  std::set<std::uint32_t> chunks;
  for (PlacedTask task : here) {
    machines.insert(task.machine);
    chunks.insert(task.task / tasks_per_chunk);
    if (machines.size() > max_guarded_machines(state_.settings) ||
        chunks.size() > max_chunks(state_.settings))
      break;
    task.attempt = gang ? shared : next_attempt(partition);
    planned[job_index].push_back(task);
  }
}

void Scheduler::release_unschedulable_gang(Job& current_job, Seconds now) {
  // Two gangs that each hold half of what both need would hold it for ever.
  if (current_job.unschedulable_since < 0) current_job.unschedulable_since = now;
  if (now - current_job.unschedulable_since < state_.settings.gang_wait_timeout_s) return;
  SPDLOG_INFO("job {}: its missing members have nowhere to go; the others let go", current_job.spec.ref);
  current_job.unschedulable_since = -1;
  for (auto& [t, p] : current_job.placements) stop(p, 0, now);
}

bool Scheduler::needs_whole_machines(PartitionIndex partition) const {
  const auto& live = state_.live_jobs(partition);
  return std::any_of(live.begin(), live.end(), [this](JobIndex job_index) {
    const Job& j = state_.job(job_index);
    return j.spec.shape == JobShape::gang && j.machine_fraction > 0.5;
  });
}

std::vector<TaskNumber> Scheduler::keep_whole_machines_free(const Job& job, Cycle& cycle,
                                                            SelectionQuery& query,
                                                            std::vector<TaskNumber> tasks) {
  // Gangs wait for whole ordinary machines, and each short task on one keeps them from it. Work that may run
  // on cheap machines leaves them alone while cheap ones are asked for or on their way.
  if (job.spec.shape != JobShape::array || !job.spec.spot) return tasks;
  auto will_do = [&](const CandidateMachine& node) {
    return node.spot && is_allowed_on(job.spec, node.type, node.zone, true);
  };
  query.avoid_whole_machines = true;
  std::size_t elsewhere = cycle.capacity->count_packed_places(query, tasks.size());
  if (tasks.size() <= elsewhere) return tasks;
  std::size_t coming = 0;
  for (const ForecastMachine& f : cycle.forecast) {
    if (will_do(f.candidate) && packs_with_others(job.spec, state_.catalog[f.candidate.type.value]))
      coming += static_cast<std::size_t>(how_many_fit(job.spec.task_resources, f.expected_capacity));
  }
  bool patient = cycle.clock.now - job.first_seen < state_.settings.operator_settings.scale_out_delay_s;
  if (!patient && tasks.size() > elsewhere + coming) {
    query.avoid_whole_machines = false;  // more than comes: what is left over may have the whole ones
    return tasks;
  }
  // The rest waits for what comes, and those behind it see that room as taken.
  std::size_t rest = tasks.size() - elsewhere;
  for (ForecastMachine& f : cycle.forecast) {
    if (!will_do(f.candidate)) continue;
    while (rest > 0 && fits(job.spec.task_resources, f.expected_capacity)) {
      f.expected_capacity -= job.spec.task_resources;
      --rest;
    }
  }
  tasks.resize(elsewhere);
  return tasks;
}

void Scheduler::place(PartitionIndex partition, Clock clock, bool thorough,
                      std::map<JobIndex, std::vector<PlacedTask>>& planned) {
  capacity_.refresh(clock.now);
  if (capacity_check_enabled_) capacity_.require_consistent(clock.now);
  LastCycle& last = last_cycles_[partition.value];
  if (!thorough && is_unchanged(partition, last, clock.now)) return;
  last = {capacity_.version(partition), never};
  auto order = waiting_order(state_, partition, clock);
  if (order.empty()) return;
  // Of a gang that is not in the order an earlier attempt has yet to end.
  for (JobIndex ji : state_.live_jobs(partition))
    state_.job(ji).pending_reason = PendingReason::previous_attempt;
  for (const WaitingJob& w : order) state_.job(w.job).pending_reason = PendingReason::queue_order;
  Cycle cycle{partition,
              clock,
              thorough,
              needs_whole_machines(partition),
              &capacity_.free_capacity(partition),
              forecast_of(partition, clock.now),
              quota_left(partition),
              {},
              &last,
              &planned};
  for (const WaitingJob& waiting : order) state_.job(waiting.job).pending_reason = place_job(cycle, waiting);
}

bool Scheduler::is_unchanged(PartitionIndex partition, const LastCycle& last, Seconds now) const {
  if (state_.constraints != nullptr || now >= last.wake_at || last.version != capacity_.version(partition))
    return false;
  return std::none_of(state_.dirty_jobs.begin(), state_.dirty_jobs.end(), [&](JobIndex job_index) {
    const Job* job = state_.known_job(job_index);
    return job != nullptr && job->spec.partition == partition;
  });
}

Resources Scheduler::quota_left(PartitionIndex partition) const {
  const Team& team = state_.settings.teams[partition.value];
  auto quota = [](double most, double used) { return most > 0 ? most - used : 1e12; };
  Resources use =
      state_.team_usage(partition);  // all that is possibly on a machine, with what is being written
  return {quota(team.limit.cpus, use.cpus), quota(team.limit.gpus, use.gpus), 1e12};
}

PendingReason Scheduler::place_job(Cycle& cycle, const WaitingJob& waiting) {
  Job& current_job = state_.job(waiting.job);
  Seconds now = cycle.clock.now;
  if (current_job.writing || now < current_job.write_backoff_until) {
    cycle.last->wake_by(current_job.write_backoff_until);
    return PendingReason::transaction_pending;
  }
  if (now < current_job.placement_backoff_until) {
    cycle.last->wake_by(current_job.placement_backoff_until);
    return PendingReason::error_backoff;
  }
  bool gang = current_job.spec.shape == JobShape::gang;
  std::size_t most = std::min<std::size_t>(
      state_.placeable_tasks(waiting.job),
      static_cast<std::size_t>(how_many_fit(current_job.spec.task_resources, cycle.quota_left)));
  if (most == 0 || (gang && most < current_job.pending_count())) return PendingReason::quota;
  auto tasks = state_.pending_tasks(current_job, most);
  SelectionQuery query = query_for(current_job, now);
  query.has_start_deadline = waiting.start_deadline != StartDeadline::relaxed;
  if (cycle.avoid_whole_machines && !query.has_start_deadline)
    tasks = keep_whole_machines_free(current_job, cycle, query, tasks);
  if (tasks.empty()) return PendingReason::awaiting_spot;
  Selection selection = select_machines(cycle, current_job, query, tasks);
  if (selection.assignments.empty()) {
    if (gang && !current_job.placements.empty()) release_unschedulable_gang(current_job, now);
    return PendingReason::no_capacity;
  }
  current_job.unschedulable_since = -1;
  return reserve_and_plan(cycle, waiting.job, tasks.size(), selection);
}

Selection Scheduler::select_machines(Cycle& cycle, const Job& job, const SelectionQuery& query,
                                     const std::vector<TaskNumber>& tasks) {
  bool gang = job.spec.shape == JobShape::gang;
  bool preempting =
      state_.settings.operator_settings.preempt && job.spec.priority > Priority::low && cycle.thorough;
  if (cycle.failed.covers(job, tasks.size(), query.avoid_whole_machines, preempting)) return {};
  auto by_zone = tasks_by_zone(state_, job);
  FreeCapacity& capacity = *cycle.capacity;
  Selection selection = capacity.select(query, tasks, by_zone);
  Seconds start = selection.last_start_s();
  SelectionQuery ahead = query;
  ahead.has_start_deadline = ahead.avoid_whole_machines = false;
  // A gang is not only whole or nothing: while the rest of its machines are sure to come, its members
  // fetch and wait on those that are there. Otherwise smaller jobs would take these one by one. And a
  // machine that has the image may start it sooner than one that is free.
  if (gang && (selection.assignments.empty() || start > reselection_threshold_s)) {
    for (bool others : {false, true}) {
      if (others && !preempting) continue;
      Selection better = capacity.select(ahead, tasks, by_zone, forecast_for(job, cycle, others));
      if (better.assignments.empty()) continue;
      if (!selection.assignments.empty() && better.last_start_s() + stop_duration_s > start) continue;
      selection = std::move(better);
      start = selection.last_start_s();
    }
  } else if (selection.assignments.size() < tasks.size() && preempting) {
    std::size_t soon =
        capacity.select(ahead, tasks, by_zone, forecast_for(job, cycle, false)).assignments.size();
    Selection more = capacity.select(ahead, tasks, by_zone, forecast_for(job, cycle, true));
    if (more.assignments.size() > soon) preempt_for(job, more, cycle.clock);
    if (!more.assignments.empty()) return selection;
  }
  if (selection.assignments.empty())
    cycle.failed.add(job, tasks.size(), query.avoid_whole_machines, preempting);
  return selection;
}

PendingReason Scheduler::reserve_and_plan(Cycle& cycle, JobIndex job_index, std::size_t wanted,
                                          const Selection& selection) {
  Job& current_job = state_.job(job_index);
  Seconds now = cycle.clock.now;
  bool gang = current_job.spec.shape == JobShape::gang;
  bool preempting = state_.settings.operator_settings.preempt && current_job.spec.priority > Priority::low &&
                    cycle.thorough;
  // The leader may know machines with the image that other work of lower rank holds: it gets a moment to
  // ask for them before a long fetch begins.
  bool look_first = gang && current_job.spec.priority >= Priority::high &&
                    selection.last_start_s() > reselection_threshold_s && current_job.placements.empty() &&
                    state_.settings.operator_settings.preempt &&
                    now - current_job.first_seen < leader_response_s;
  if (look_first) cycle.last->wake_by(current_job.first_seen + leader_response_s);
  if (gang && preempting && !look_first) preempt_for(current_job, selection, cycle.clock);
  cycle.quota_left -= static_cast<double>(selection.assignments.size()) * current_job.spec.task_resources;
  std::vector<PlacedTask> here;
  for (const TaskAssignment& c : selection.assignments) {
    const CandidateMachine& node = selection.machines[c.candidate];
    if (reserve(cycle, current_job, node, look_first)) here.push_back({c.task, node.machine, 0, false});
  }
  // Machines that come one by one would cost a change each: what is there is held, and written together.
  bool gathers = here.size() < wanted && exceeds_write_fraction(partial_placement_write_fraction) &&
                 now - current_job.last_placement_at < partial_placement_interval_s;
  if (gathers) cycle.last->wake_by(current_job.last_placement_at + partial_placement_interval_s);
  if (!gathers && !here.empty()) {
    current_job.last_placement_at = now;
    plan(job_index, here, *cycle.planned);
  }
  return look_first                                   ? PendingReason::awaiting_leader
         : gathers                                    ? PendingReason::write_budget
         : here.size() < selection.assignments.size() ? PendingReason::capacity_coming
         : here.size() < wanted                       ? PendingReason::no_capacity
                                                      : PendingReason::transaction_pending;
}

bool Scheduler::reserve(Cycle& cycle, const Job& job, const CandidateMachine& node, bool look_first) {
  FreeCapacity& capacity = *cycle.capacity;
  const MachineCapacity* offer = capacity.find(node.machine);
  bool booted = offer != nullptr && !offer->booting;
  if (booted && fits(job.spec.task_resources, offer->candidate.free_capacity)) {
    capacity.take(node.machine, job.spec.task_resources);
    if (look_first) return false;
    // Its fetch, which those behind it would share.
    if (node.start_s > 0) capacity.add_fetch(node.machine, node.start_s);
    if (job.spec.shape == JobShape::service) capacity.host_service(node.machine);
    return true;
  }
  if (booted) {
    capacity.take_releasing(node.machine, job.spec.task_resources);
    return false;
  }
  for (ForecastMachine& f : cycle.forecast) {
    if (f.candidate.machine == node.machine) f.expected_capacity -= job.spec.task_resources;
  }
  return false;
}

void FailedSelections::add(const Job& job, std::size_t tasks, bool avoid_whole_machines, bool preempting) {
  // Where its other tasks are decides as well; and a long list would cost more than it saves.
  if (!job.placements.empty() || job.spec.spread_zones || failures_.size() >= max_failures) return;
  failures_.push_back({&job.spec, tasks, avoid_whole_machines, preempting});
}

bool FailedSelections::covers(const Job& job, std::size_t tasks, bool avoid_whole_machines,
                              bool preempting) const {
  if (!job.placements.empty()) return false;
  const JobSpec& spec = job.spec;
  return std::any_of(failures_.begin(), failures_.end(), [&](const Failure& failure) {
    const JobSpec& other = *failure.spec;
    bool same = other.types == spec.types && other.zone == spec.zone && other.spot == spec.spot &&
                other.single_zone == spec.single_zone && other.shape == spec.shape &&
                failure.avoid_whole_machines == avoid_whole_machines;
    bool asks_more = other.task_resources.cpus <= spec.task_resources.cpus &&
                     other.task_resources.gpus <= spec.task_resources.gpus &&
                     other.task_resources.memory_gb <= spec.task_resources.memory_gb &&
                     (spec.shape != JobShape::gang || failure.task_count <= tasks);
    bool stops_no_more = !preempting || (failure.preempting && other.priority >= spec.priority);
    return same && asks_more && stops_no_more;
  });
}

}  // namespace oxbowmill
