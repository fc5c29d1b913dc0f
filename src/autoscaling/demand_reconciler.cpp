#include "oxbowmill/autoscaling/demand_reconciler.h"

#include <algorithm>
#include <cmath>

#include "oxbowmill/autoscaling/demand_order.h"

namespace oxbowmill::autoscaling {

namespace {
constexpr Seconds placement_delay_s = 1;  // from a job's acceptance until its first placement is visible here
constexpr Seconds freed_rate_window_s = 30;      // time constant of the average rate of freed capacity
constexpr std::size_t max_tasks_per_job = 2000;  // limit on the tasks that a cycle serves
}  // namespace

std::vector<CandidateMachine> DemandReconciler::reconcile(Clock clock, Effects& out) {
  Cycle cycle = begin_cycle(clock);
  DemandOrder order = demand_order(environment_.state, clock);
  for (const WaitingJob& waiting : order.jobs) {
    std::optional<JobDemand> demand = demand_of(waiting, order.guaranteed.count(waiting.job) != 0, cycle);
    if (!demand) continue;
    assign_machines(*demand, cycle);
    if (demand->tasks.empty()) continue;
    // Waiting for capacity that tasks will free soon is cheaper than booting a machine.
    cycle.expected_freed_machines -=
        static_cast<double>(demand->tasks.size()) * demand->job->machine_fraction;
    if (should_scale_out(*demand, cycle)) scale_out(*demand, cycle);
  }
  if (environment_.source != nullptr) serve_unmet_demand(cycle, out);
  return std::move(cycle.idle_machines);
}

void DemandReconciler::update_freed_rate() {
  double decay = std::exp(-demand_interval_s / freed_rate_window_s);
  double freed_machines = environment_.state.freed_machine_equivalents();
  freed_machines_per_s_ = decay * freed_machines_per_s_ +
                          (1 - decay) * (freed_machines - last_freed_machines_) / demand_interval_s;
  last_freed_machines_ = freed_machines;
}

DemandReconciler::Cycle DemandReconciler::begin_cycle(Clock clock) {
  const ClusterState& state = environment_.state;
  update_freed_rate();
  Cycle cycle;
  cycle.clock = clock;
  cycle.expected_freed_machines = freed_machines_per_s_ * state.settings.operator_settings.scale_out_delay_s;
  cycle.idle_machines = candidates_.idle_candidates(clock.now);
  cycle.partitions.resize(state.partition_count());
  for (std::uint32_t i = 1; i < state.partition_count(); ++i) {
    PartitionIndex index{i};
    PartitionDemand& partition = cycle.partitions[i];
    partition.candidates = candidates_.partition_candidates(index, clock.now);
    const Resources& limit = state.settings.teams[i].limit;
    const Resources& usage = state.team_usage(index);
    partition.remaining_quota = {limit.cpus > 0 ? limit.cpus - usage.cpus : unlimited_capacity,
                                 limit.gpus > 0 ? limit.gpus - usage.gpus : unlimited_capacity,
                                 unlimited_capacity, unlimited_capacity};
    partition.has_whole_machine_gangs = environment_.scheduler.needs_whole_machines(index);
  }
  return cycle;
}

std::optional<DemandReconciler::JobDemand> DemandReconciler::demand_of(const WaitingJob& waiting,
                                                                       bool guaranteed, Cycle& cycle) const {
  ClusterState& state = environment_.state;
  const OperatorSettings& settings = state.settings.operator_settings;
  Job& job = state.job(waiting.job);
  PartitionDemand& partition = cycle.partitions[job.spec.partition.value];
  auto max_tasks = std::min<std::size_t>(
      {state.placeable_task_count(waiting.job),
       static_cast<std::size_t>(how_many_fit(job.spec.task_resources, partition.remaining_quota)),
       max_tasks_per_job});
  if (job.spec.shape == JobShape::gang && max_tasks < job.pending_count()) return std::nullopt;
  JobDemand demand;
  demand.tasks = state.pending_tasks(job, max_tasks);
  if (demand.tasks.empty()) return std::nullopt;
  partition.remaining_quota -= static_cast<double>(demand.tasks.size()) * job.spec.task_resources;
  demand.index = waiting.job;
  demand.job = &job;
  demand.guaranteed = guaranteed;
  demand.is_start_deadline_near = waiting.start_urgency != StartUrgency::relaxed;
  demand.may_preempt = settings.preempt && (job.spec.priority >= Priority::high || guaranteed);
  demand.avoid_whole_machines = !demand.is_start_deadline_near && partition.has_whole_machine_gangs &&
                                planner_.is_spot_available_for(job.spec, cycle.clock.now);
  demand.tasks_by_zone = tasks_by_zone(state, job);
  return demand;
}

void DemandReconciler::assign_machines(JobDemand& demand, Cycle& cycle) {
  PartitionDemand& partition = cycle.partitions[demand.job->spec.partition.value];
  std::size_t wanted = demand.tasks.size();
  // A job with the same or a smaller demand has already found no capacity in this cycle.
  if (!demand.guaranteed && partition.failed_selections.covers(
                                *demand.job, wanted, demand.avoid_whole_machines, demand.may_preempt))
    return;
  // Machines that are available now are used before those that still boot. This includes idle machines of the
  // pool, which would otherwise be returned while the job waits.
  std::vector<CandidateMachine> available, booting;
  for (const CandidateMachine& candidate : partition.candidates)
    (candidate.available_in_s > 0 ? booting : available).push_back(candidate);
  partition.candidates = std::move(available);
  select_with_moves(demand,
                    demand.may_preempt
                        ? candidates_.preemption_candidates(*demand.job, demand.guaranteed, cycle.clock)
                        : std::vector<CandidateMachine>{},
                    cycle);
  partition.candidates.insert(partition.candidates.end(), booting.begin(), booting.end());
  if (!demand.tasks.empty()) select(demand, partition.candidates);
  if (!demand.tasks.empty()) select_with_moves(demand, {}, cycle);
  if (!demand.guaranteed && demand.tasks.size() == wanted)
    partition.failed_selections.add(*demand.job, wanted, demand.avoid_whole_machines, demand.may_preempt);
}

std::vector<TaskAssignment> DemandReconciler::select(JobDemand& demand,
                                                     std::vector<CandidateMachine>& candidates) const {
  const ClusterState& state = environment_.state;
  const JobSpec& spec = demand.job->spec;
  evaluate_for_job(spec, state, candidates);
  for (CandidateMachine& candidate : candidates) {
    const MachineType& type = state.catalog[candidate.type.value];
    candidate.excluded = demand.avoid_whole_machines && !candidate.spot && packs_with_others(spec, type) &&
                         is_whole_machine_free(candidate, type);
  }
  std::vector<TaskAssignment> assigned =
      choose_machines(spec, demand.tasks, candidates, demand.tasks_by_zone);
  for (const TaskAssignment& assignment : assigned)
    ++demand.tasks_by_zone[candidates[assignment.candidate].zone.value];
  demand.tasks.erase(demand.tasks.begin(),
                     demand.tasks.begin() + static_cast<std::ptrdiff_t>(assigned.size()));
  return assigned;
}

void DemandReconciler::select_with_moves(JobDemand& demand, const std::vector<CandidateMachine>& preemptible,
                                         Cycle& cycle) {
  PartitionIndex partition_index = demand.job->spec.partition;
  PartitionDemand& partition = cycle.partitions[partition_index.value];
  // Combines own, idle and preemptible machines, in this order, because a gang has to fit as a whole.
  std::size_t first_idle = partition.candidates.size();
  std::size_t first_preemptible = first_idle + cycle.idle_machines.size();
  std::vector<CandidateMachine> all_candidates = partition.candidates;
  all_candidates.insert(all_candidates.end(), cycle.idle_machines.begin(), cycle.idle_machines.end());
  all_candidates.insert(all_candidates.end(), preemptible.begin(), preemptible.end());
  std::set<std::size_t> moved;
  for (const TaskAssignment& assignment : select(demand, all_candidates)) {
    if (assignment.candidate >= first_idle) moved.insert(assignment.candidate);
  }
  std::vector<CandidateMachine> still_idle;
  partition.candidates.assign(all_candidates.begin(),
                              all_candidates.begin() + static_cast<std::ptrdiff_t>(first_idle));
  for (std::size_t i = first_idle; i < all_candidates.size(); ++i) {
    bool was_idle = i < first_preemptible;
    if (moved.count(i) != 0) {
      all_candidates[i].acquisition_cost = 0;
      partition.candidates.push_back(all_candidates[i]);
      moves_.add(all_candidates[i].machine, partition_index,
                 was_idle ? MoveMode::assign : MoveMode::request_handover);
      if (was_idle)
        warm_machines_.record_gang_acquisition(*demand.job, all_candidates[i], 1, cycle.clock.now);
    } else if (was_idle) {
      still_idle.push_back(all_candidates[i]);
    }
  }
  cycle.idle_machines = std::move(still_idle);
  // Other jobs can use the capacity that this job leaves on the moved machines, so they are tried again.
  if (!moved.empty()) partition.failed_selections = {};
}

bool DemandReconciler::should_scale_out(const JobDemand& demand, const Cycle& cycle) const {
  const Job& job = *demand.job;
  Seconds now = cycle.clock.now;
  Seconds waited_s = now - job.waiting_since;
  // The job's owner may be placing it now, and a placement that is being written is not visible yet.
  if (job.write_in_flight || waited_s < placement_delay_s) return false;
  bool has_waited_enough = waited_s >= environment_.state.settings.operator_settings.scale_out_delay_s;
  if (!has_waited_enough && cycle.expected_freed_machines >= 0 && !demand.avoid_whole_machines &&
      !demand.is_start_deadline_near)
    return false;
  return environment_.may_scale_out(job.spec.partition, demand.index, demand.guaranteed, now);
}

void DemandReconciler::scale_out(const JobDemand& demand, Cycle& cycle) {
  if (environment_.source != nullptr) {
    cycle.unmet_demands.push_back(unmet_demand(demand, cycle.clock));
    return;
  }
  PartitionDemand& partition = cycle.partitions[demand.job->spec.partition.value];
  planner_.request_machines(*demand.job, static_cast<std::uint32_t>(demand.tasks.size()), cycle.clock.now,
                            partition.candidates);
  partition.failed_selections = {};
}

UnmetDemand DemandReconciler::unmet_demand(const JobDemand& demand, Clock clock) const {
  const ClusterState& state = environment_.state;
  const JobSpec& spec = demand.job->spec;
  UnmetDemand unmet;
  unmet.job = demand.index;
  unmet.partition = spec.partition;
  unmet.priority = spec.priority;
  unmet.guaranteed = demand.guaranteed;
  unmet.spot = spec.spot && state.settings.operator_settings.use_spot;
  unmet.tasks = static_cast<std::uint32_t>(demand.tasks.size());
  unmet.zone = spec.zone;
  unmet.estimated_run_s = spec.estimate_s;
  unmet.waited_s = clock.now - demand.job->waiting_since;
  if (spec.deadline_s >= 0) {
    double fetch_s = state.catalog.empty() ? 0 : fetch_time(spec, state.catalog.front());
    unmet.slack_s = spec.submitted_at + spec.deadline_s - spec.estimate_s - fetch_s - clock.wall;
  }
  for (std::uint32_t i = 0; i < state.catalog.size(); ++i) {
    unmet.tasks_per_machine.push_back(
        spec.allows(TypeIndex{i})
            ? static_cast<std::uint32_t>(how_many_fit(spec.task_resources, state.catalog[i].capacity))
            : 0);
  }
  return unmet;
}

void DemandReconciler::serve_unmet_demand(Cycle& cycle, Effects& out) {
  std::vector<std::uint32_t> tasks_for_cloud = environment_.source->plan(
      cycle.unmet_demands, planner_.cloud_offers(cycle.clock.now), cycle.clock, out);
  for (std::size_t i = 0; i < cycle.unmet_demands.size(); ++i) {
    if (tasks_for_cloud[i] > 0)
      planner_.request_machines(environment_.state.job(cycle.unmet_demands[i].job), tasks_for_cloud[i],
                                cycle.clock.now,
                                cycle.partitions[cycle.unmet_demands[i].partition.value].candidates);
  }
}

}  // namespace oxbowmill::autoscaling
