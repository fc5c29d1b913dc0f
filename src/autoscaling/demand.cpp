// Which machines waiting work gets: those of its own partition, idle ones of the pool, others' by preemption.
#include <algorithm>
#include <cmath>

#include "oxbowmill/autoscaling/autoscaler.h"

namespace oxbowmill {

namespace {
constexpr double drain_duration_s =
    4;  // until a machine whose work of lower rank is stopped has been handed over
constexpr double placement_delay_s = 1;  // from a job's acceptance until its owner's first placement shows
constexpr double freed_window_s = 30;    // how far back room that came free speaks for what will
}  // namespace

std::vector<WaitingJob> Autoscaler::demand_order(Clock clock, std::set<JobIndex>& guaranteed) const {
  std::vector<WaitingJob> order;
  for (std::uint32_t partition_number = 1; partition_number < state_.partition_count(); ++partition_number) {
    PartitionIndex partition{partition_number};
    // A job is within its team's guarantee when it fits into it with the team's earlier unfinished jobs.
    std::vector<JobIndex> by_age;
    for (JobIndex ji : state_.live_jobs(partition)) {
      if (state_.job(ji).phase == JobPhase::open) by_age.push_back(ji);
    }
    std::sort(by_age.begin(), by_age.end(), [this](JobIndex a, JobIndex b) {
      return state_.job(a).spec.submitted_at < state_.job(b).spec.submitted_at;
    });
    Resources left = state_.settings.teams[partition_number].guaranteed;
    bool any = left.cpus > 0 || left.gpus > 0;
    if (left.cpus <= 0) left.cpus = 1e12;
    if (left.gpus <= 0) left.gpus = 1e12;
    left.memory_gb = 1e12;
    for (JobIndex job_index : by_age) {
      const JobSpec& spec = state_.job(job_index).spec;
      Resources all = static_cast<double>(spec.tasks) * spec.task_resources;
      if (!any || !fits(all, left)) break;
      left -= all;
      guaranteed.insert(job_index);
    }
    auto waiting = waiting_order(state_, partition, clock);
    order.insert(order.end(), waiting.begin(), waiting.end());
  }
  std::stable_sort(order.begin(), order.end(), [&](const WaitingJob& left, const WaitingJob& right) {
    bool ga = guaranteed.count(left.job) != 0, gb = guaranteed.count(right.job) != 0;
    if (ga != gb) return ga;
    bool la = left.start_deadline == StartDeadline::critical,
         lb = right.start_deadline == StartDeadline::critical;
    if (la || lb) return la && !lb;
    return state_.job(left.job).spec.priority > state_.job(right.job).spec.priority;
  });
  return order;
}

std::vector<CandidateMachine> Autoscaler::partition_candidates(PartitionIndex partition, Seconds now) const {
  std::vector<CandidateMachine> bins;
  auto add_candidate = [&](MachineIndex machine_index, TypeIndex type, ZoneIndex zone, bool spot, bool booted,
                           const Resources& room, Seconds age = 0) {
    const MachineType& t = state_.catalog[type.value];
    Seconds wait = booted ? 0 : std::max(state_.settings.report_interval_s, t.boot_s - age);
    bins.push_back({machine_index, type, zone, spot, wait, room});
  };
  for (std::uint32_t partition_number = 1; partition_number < state_.partition_count(); ++partition_number) {
    for (MachineIndex machine_index : state_.machines_of(PartitionIndex{partition_number})) {
      const Machine& machine = state_.machine(machine_index);
      if (machine.state == MachineState::deleting || machine.reported_failed || machine.preemption_notice)
        continue;
      if (scheduler_.is_unreachable(machine.record.zone, now) ||
          (recovery_admission_ != nullptr && recovery_admission_->suspected(machine_index)))
        continue;
      // One that takes far too long may never come: what waits for it must not wait for ever.
      if (!machine.has_booted &&
          now - machine.known_since > 2 * state_.catalog[machine.record.type.value].boot_s)
        continue;
      if (machine.record.requested_by.valid() ? machine.record.requested_by != partition
                                              : PartitionIndex{partition_number} != partition)
        continue;
      Resources room = machine.record.requested_by.valid()
                           ? state_.catalog[machine.record.type.value].capacity
                           : state_.free_capacity(machine);
      add_candidate(machine_index, machine.record.type, machine.record.zone, machine.record.spot,
                    machine.has_booted, room, now - machine.known_since);
      bins.back().long_running = machine.long_running_tasks > 0;
    }
  }
  for (const auto& [name, a] : adoptions_) {
    const MachineRecord& rec = a.record;
    if (rec.partition == partition)
      add_candidate({}, rec.type, rec.zone, rec.spot, rec.has_booted,
                    state_.catalog[rec.type.value].capacity);
  }
  if (source_ != nullptr) {
    for (const MachineSource::ExpectedMachines& e : source_->expected(partition, now)) {
      for (std::uint32_t i = 0; i < e.machines; ++i)
        bins.push_back({{}, e.type, e.zone, e.spot, e.wait_s, state_.catalog[e.type.value].capacity});
    }
  }
  for (const auto& [name, r] : scale_outs_) {
    auto count = std::count(r.request.partitions.begin(), r.request.partitions.end(), partition);
    for (std::ptrdiff_t i = 0; i < count; ++i) {
      add_candidate({}, r.request.type, r.request.zone, r.request.spot, false,
                    state_.catalog[r.request.type.value].capacity);
    }
  }
  return bins;
}

std::vector<CandidateMachine> Autoscaler::preemption_candidates(const Job& job, bool guaranteed,
                                                                Clock clock) const {
  std::vector<CandidateMachine> bins;
  for (std::uint32_t p = 1; p < state_.partition_count(); ++p) {
    PartitionIndex other{p};
    if (other == job.spec.partition) continue;
    const Resources& own_guarantee = state_.settings.teams[p].guaranteed;
    const Resources& use = state_.team_usage(other);
    // Work beyond a team's own guarantee may be stopped to give another team its guarantee; lower rank
    // always.
    bool beyond = guaranteed && use.gpus > own_guarantee.gpus + resource_tolerance &&
                  use.cpus > own_guarantee.cpus + resource_tolerance;
    for (MachineIndex machine_index : state_.machines_of(other)) {
      const Machine& machine = state_.machine(machine_index);
      // Asked for by another job in this very pass: once is enough.
      bool asked = std::any_of(moves_.begin(), moves_.end(),
                               [machine_index](const auto& x) { return x.first == machine_index; });
      if (machine.state == MachineState::deleting || machine.writing || machine.record.requested_by.valid() ||
          !machine.has_booted || asked || machine.reported_failed ||
          (recovery_admission_ != nullptr && recovery_admission_->suspected(machine_index))) {
        continue;
      }
      // An empty machine was handed over for work that is about to start there, or comes back by itself.
      bool allowed = !machine.placed_tasks.empty();
      for (TaskId id : machine.placed_tasks) {
        const Job* candidate_job = state_.live_job(id.job);
        allowed = allowed && candidate_job != nullptr &&
                  (candidate_job->spec.priority < job.spec.priority || beyond) &&
                  candidate_job->spec.shape == JobShape::array &&
                  candidate_job->spec.checkpoint_interval_s > 0 &&
                  // A guarantee is kept all the same.
                  (guaranteed || is_preemptible(state_, *candidate_job, *state_.find_placement(id), clock));
      }
      if (!allowed) continue;
      bins.push_back({machine_index, machine.record.type, machine.record.zone, machine.record.spot,
                      drain_duration_s, state_.catalog[machine.record.type.value].capacity, 2});
    }
  }
  return bins;
}

void Autoscaler::reconcile_demand(Clock clock, Effects& out) {
  double keep = std::exp(-demand_interval_s / freed_window_s);
  freed_rate_ =
      keep * freed_rate_ + (1 - keep) * (state_.freed_machines() - freed_observed_) / demand_interval_s;
  freed_observed_ = state_.freed_machines();
  // What tasks will leave within the patience, at the pace of late: nobody rents for that.
  double leaves = freed_rate_ * state_.settings.operator_settings.scale_out_delay_s;
  // Pool machines that can be handed over at once.
  std::vector<CandidateMachine> pool;
  for (MachineIndex machine_index : state_.machines_of(idle_pool)) {
    const Machine& machine = state_.machine(machine_index);
    bool fresh = machine.state == MachineState::expected && machine.has_booted &&
                 clock.now - machine.known_since < state_.settings.lease_s;
    if ((machine.state != MachineState::ready && !fresh) || machine.preemption_notice || machine.writing ||
        machine.reported_failed || !machine.placed_tasks.empty() ||
        scheduler_.is_unreachable(machine.record.zone, clock.now) || draining_.count(machine_index) != 0 ||
        (recovery_admission_ != nullptr && recovery_admission_->suspected(machine_index))) {
      continue;
    }
    pool.push_back({machine_index, machine.record.type, machine.record.zone, machine.record.spot, 0,
                    state_.free_capacity(machine), 1});
  }
  for (const auto& [name, adoption] : adoptions_) {
    MachineIndex mi = state_.names.machines.find(name);
    if (adoption.record.partition != idle_pool || !adoption.record.has_booted || state_.machine(mi).writing ||
        state_.machine(mi).revision != 0)
      continue;
    pool.push_back({mi, adoption.record.type, adoption.record.zone, adoption.record.spot, 0,
                    state_.catalog[adoption.record.type.value].capacity, 1});
  }
  std::vector<std::vector<CandidateMachine>> candidates_by_partition(state_.partition_count());
  std::vector<Resources> left(state_.partition_count());
  for (std::uint32_t partition_number = 1; partition_number < state_.partition_count(); ++partition_number) {
    candidates_by_partition[partition_number] =
        partition_candidates(PartitionIndex{partition_number}, clock.now);
    const Team& team = state_.settings.teams[partition_number];
    const Resources& use = state_.team_usage(PartitionIndex{partition_number});
    left[partition_number] = {team.limit.cpus > 0 ? team.limit.cpus - use.cpus : 1e12,
                              team.limit.gpus > 0 ? team.limit.gpus - use.gpus : 1e12, 1e12};
  }
  std::vector<bool> whole_machines(state_.partition_count());  // by partition: some gang takes them
  for (std::uint32_t p = 1; p < state_.partition_count(); ++p)
    whole_machines[p] = scheduler_.needs_whole_machines(PartitionIndex{p});
  std::vector<FailedSelections> failed(state_.partition_count());
  std::set<JobIndex> guaranteed;
  for (const WaitingJob& waiting : demand_order(clock, guaranteed)) {
    JobIndex job_index = waiting.job;
    bool pressing = waiting.start_deadline != StartDeadline::relaxed;
    Job& current_job = state_.job(job_index);
    PartitionIndex partition = current_job.spec.partition;
    std::vector<CandidateMachine>& bins = candidates_by_partition[partition.value];
    auto most = std::min<std::size_t>(
        {state_.placeable_tasks(job_index),
         static_cast<std::size_t>(how_many_fit(current_job.spec.task_resources, left[partition.value])),
         2000});
    if (current_job.spec.shape == JobShape::gang && most < current_job.pending_count()) continue;
    auto tasks = state_.pending_tasks(current_job, most);
    if (tasks.empty()) continue;
    left[partition.value] -= static_cast<double>(tasks.size()) * current_job.spec.task_resources;
    auto by_zone = tasks_by_zone(state_, current_job);
    bool avoid_whole_machines =
        !pressing && whole_machines[partition.value] && is_spot_available_for(current_job.spec, clock.now);
    auto take = [&](std::vector<CandidateMachine>& from) {
      evaluate_for_job(current_job.spec, state_, from);
      for (CandidateMachine& b : from) {
        const MachineType& type = state_.catalog[b.type.value];
        b.excluded = avoid_whole_machines && !b.spot && packs_with_others(current_job.spec, type) &&
                     is_whole_machine_free(b, type);
      }
      auto fit = choose_machines(current_job.spec, tasks, from, by_zone);
      for (const TaskAssignment& c : fit) ++by_zone[from[c.candidate].zone.value];
      tasks.erase(tasks.begin(), tasks.begin() + static_cast<std::ptrdiff_t>(fit.size()));
      return fit;
    };
    // What others' machines add to the part's own; a gang must find itself whole in all of them together.
    auto take_with = [&](std::vector<CandidateMachine> victims) {
      std::size_t from_pool = bins.size(), from_victims = from_pool + pool.size();
      std::vector<CandidateMachine> all = bins;
      all.insert(all.end(), pool.begin(), pool.end());
      all.insert(all.end(), victims.begin(), victims.end());
      std::set<std::size_t> used;
      for (const TaskAssignment& c : take(all)) {
        if (c.candidate >= from_pool) used.insert(c.candidate);
      }
      std::vector<CandidateMachine> rest;
      bins.assign(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(from_pool));
      for (std::size_t i = from_pool; i < all.size(); ++i) {
        if (used.count(i) != 0) {
          all[i].acquisition_cost = 0;
          bins.push_back(all[i]);
          move_machine(all[i].machine, partition, i >= from_victims);
          if (i < from_victims) note_turnover(current_job, all[i], 1, clock.now);
        } else if (i < from_victims) {
          rest.push_back(all[i]);
        }
      }
      pool = std::move(rest);
      if (!used.empty())
        failed[partition.value] = {};  // what they leave of these machines is room for others
    };
    // Machines that are up come before those that still boot, idle ones of the pool too: these would be
    // returned while the job waits. For urgent work others' machines are drained.
    bool within = guaranteed.count(job_index) != 0;
    bool urgent =
        state_.settings.operator_settings.preempt && (current_job.spec.priority >= Priority::high || within);
    // Others have asked for as much, or less, in vain in this very cycle.
    bool in_vain =
        !within && failed[partition.value].covers(current_job, tasks.size(), avoid_whole_machines, urgent);
    if (!in_vain) {
      std::size_t wanted = tasks.size();
      std::vector<CandidateMachine> up, booting;
      for (const CandidateMachine& b : bins) (b.available_in_s > 0 ? booting : up).push_back(b);
      bins = std::move(up);
      take_with(urgent ? preemption_candidates(current_job, within, clock) : std::vector<CandidateMachine>{});
      bins.insert(bins.end(), booting.begin(), booting.end());
      if (!tasks.empty()) take(bins);
      if (!tasks.empty()) take_with({});
      if (!within && tasks.size() == wanted)
        failed[partition.value].add(current_job, wanted, avoid_whole_machines, urgent);
    }
    // Room that others leave soon is cheaper than a machine that has yet to boot.
    if (tasks.empty()) continue;
    leaves -= static_cast<double>(tasks.size()) * current_job.machine_fraction;
    // Its owner may be placing it at this moment, and what is being written does not show yet.
    if (current_job.writing || clock.now - current_job.first_seen < placement_delay_s) continue;
    bool patient = clock.now - current_job.first_seen >= state_.settings.operator_settings.scale_out_delay_s;
    if (!patient && leaves >= 0 && !avoid_whole_machines && !pressing) continue;
    if (!may_scale_out(partition, job_index, within, clock.now)) continue;
    auto lacking = static_cast<std::uint32_t>(tasks.size());
    if (source_ != nullptr) {
      note_unmet_demand(job_index, lacking, within, clock);
    } else {
      request_machines(current_job, lacking, clock, bins);
      failed[partition.value] = {};
    }
  }
  if (source_ != nullptr) serve_unmet_demands(candidates_by_partition, clock, out);
  // Their owners stop what runs there, with time to save, and hand them over.
  for (MachineIndex machine_index : draining_) {
    const Machine& m = state_.machine(machine_index);
    if (m.revision != 0 && m.record.partition != idle_pool && m.record.requested_by != idle_pool &&
        !m.writing && m.state != MachineState::deleting)
      move_machine(machine_index, idle_pool, true);
  }
  if (may_scale_out(idle_pool, {}, false, clock.now)) keep_warm_machines(pool, clock);
  if (recovery_admission_ != nullptr) replace_suspected_machines(pool.size(), clock);
  for (ScaleOutRequest& order : new_requests_) {
    order.request_id = state_.settings.controller_name + "-" +
                       std::to_string(state_.ownership(idle_pool).revision) + "-" +
                       std::to_string(++request_count_);
    scale_outs_[order.request_id] = {order, ScaleOutState::requested, 0};
    out.scale_outs.push_back(std::move(order));
  }
  new_requests_.clear();
}

}  // namespace oxbowmill
