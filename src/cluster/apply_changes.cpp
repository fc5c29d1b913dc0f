// Application of durable changes to the cluster state.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/cluster/message_size.h"

namespace oxbowmill {

namespace {

constexpr Seconds max_assumed_wait_s = 3600;  // for a job whose submission this controller did not see

/// Fraction of a machine that one task takes up, on the allowed type that holds the most of these tasks.
double machine_fraction(const JobSpec& spec, const std::vector<MachineType>& catalog) {
  int task_count = 1;
  for (std::uint32_t type = 0; type < catalog.size(); ++type) {
    if (spec.allows(TypeIndex{type}))
      task_count = std::max(task_count, how_many_fit(spec.task_resources, catalog[type].capacity));
  }
  return 1.0 / task_count;
}

bool contains_placement(const ChunkRecord& record, const Placement& placement) {
  return std::any_of(
      record.placements.begin(), record.placements.end(), [&placement](const PlacedTask& placed_task) {
        return placed_task.task == placement.task && placed_task.attempt == placement.attempt &&
               placed_task.machine == placement.machine;
      });
}

/// The new record of a change, or null if it is a removal.
template <class Record>
const Record* record_of(const Change& change) {
  return std::get_if<Record>(&change.value);
}

}  // namespace

void ClusterState::apply(const Change& change, Revision revision, Seconds now) {
  if (const auto* job_key = std::get_if<JobKey>(&change.key)) {
    apply_job(job_key->job, record_of<JobRecord>(change), revision, now);
  } else if (const auto* chunk_key = std::get_if<ChunkKey>(&change.key)) {
    apply_chunk(*chunk_key, record_of<ChunkRecord>(change), revision, now);
  } else if (const auto* machine_key = std::get_if<MachineKey>(&change.key)) {
    apply_machine(machine_key->machine, record_of<MachineRecord>(change), revision, now);
  } else if (const auto* ownership_key = std::get_if<OwnershipKey>(&change.key)) {
    apply_ownership(ownership_key->partition, record_of<OwnershipRecord>(change), revision, now);
  } else if (const auto* controller_key = std::get_if<ControllerKey>(&change.key)) {
    owners_.set_controller(controller_key->controller, record_of<OwnershipRecord>(change), now);
  } else if (const auto* decision_key = std::get_if<DecisionKey>(&change.key)) {
    apply_decision(decision_key->name, record_of<DecisionRecord>(change), revision);
  } else {
    accounting.apply(change, revision);
  }
}

void ClusterState::apply_job(JobIndex job_index, const JobRecord* record, Revision revision, Seconds now) {
  if (record == nullptr) {
    remove_job_record(job_index);
    return;
  }
  Job& current_job = job(job_index);
  if (current_job.revision == no_record) add_job(job_index, record->spec, now);
  current_job.revision = revision;
  if (current_job.phase != record->phase)
    SPDLOG_INFO("job phase changed job={} from={} to={}", current_job.spec.ref, name_of(current_job.phase),
                name_of(record->phase));
  current_job.phase = record->phase;
  if (current_job.phase == JobPhase::cancelled) stop_placements(current_job, now);
  dirty_jobs.insert(job_index);
}

void ClusterState::add_job(JobIndex job_index, const JobSpec& spec, Seconds now) {
  Job& current_job = job(job_index);
  current_job.set_spec(spec);
  // Placement records may have been read first; their usage is counted once the job is known.
  for (const auto& [task, placement] : current_job.placements) {
    if (!is_off_machine(placement.state)) change_usage(current_job, placement, UsageChange::acquire);
    mark_image_used(edit_machine(placement.machine), current_job.spec);
  }
  // A job that was accepted while no controller was running has waited since its submission, not since its
  // record was read.
  double age = wall_clock_offset_s != 0 ? now + wall_clock_offset_s - current_job.spec.submitted_at : 0;
  current_job.waiting_since =
      age > Settings::clock_skew_tolerance_s ? now - std::min(age, max_assumed_wait_s) : now;
  current_job.machine_fraction = machine_fraction(current_job.spec, catalog);
  jobs_.add_live(job_index);
  SPDLOG_INFO("job added job={} shape={} tasks={}", current_job.spec.ref, name_of(current_job.spec.shape),
              current_job.spec.tasks);
}

void ClusterState::remove_job_record(JobIndex job_index) {
  jobs_.remove_live(job_index);
  Job& current_job = job(job_index);
  current_job.revision = no_record;
  // The final phase is stored under another key and not known here. `cancelled` keeps further tasks of the
  // job from starting.
  if (current_job.phase == JobPhase::open) current_job.phase = JobPhase::cancelled;
  erase_if_unused(job_index);
}

void ClusterState::stop_placements(Job& current_job, Seconds now) {
  for (auto& [task, placement] : current_job.placements) {
    placement.termination_timeout_s = 0;
    if (is_off_machine(placement.state)) continue;
    set_state(placement, PlacementState::stopping, now);
    machines_to_wake.insert(placement.machine);
  }
}

void ClusterState::erase_if_unused(JobIndex job_index) {
  if (jobs_.erase_if_unused(job_index)) dirty_jobs.erase(job_index);
}

void ClusterState::apply_chunk(const ChunkKey& key, const ChunkRecord* record, Revision revision,
                               Seconds now) {
  static const ChunkRecord empty;
  const ChunkRecord& content = record != nullptr ? *record : empty;
  Job& current_job = job(key.job);
  remove_unlisted_placements(current_job, key.chunk, content, now);
  std::uint64_t done_or_placed_bits = content.done;
  for (const PlacedTask& placed_task : content.placements) {
    auto placement_it = current_job.placements.find(placed_task.task);
    if (placement_it == current_job.placements.end()) {
      add_placement(current_job, placed_task, key.job, now);
    } else {
      placement_it->second.restarting = placed_task.restarting;
    }
    done_or_placed_bits |= task_bit(placed_task.task);
  }
  if (record != nullptr) {
    current_job.update_chunk(key.chunk, *record, revision, done_or_placed_bits);
  } else {
    current_job.chunks.erase(key.chunk);
  }
  dirty_jobs.insert(key.job);
  erase_if_unused(key.job);
}

void ClusterState::remove_unlisted_placements(Job& current_job, std::uint32_t chunk,
                                              const ChunkRecord& record, Seconds now) {
  TaskNumber first = chunk * tasks_per_chunk;
  auto next = current_job.placements.lower_bound(first);
  while (next != current_job.placements.end() && next->first < first + tasks_per_chunk) {
    auto placement_it = next++;
    if (!contains_placement(record, placement_it->second)) remove_placement(current_job, placement_it, now);
  }
}

void ClusterState::add_placement(Job& current_job, const PlacedTask& placed_task, JobIndex job_index,
                                 Seconds now) {
  Placement placement;
  placement.task = placed_task.task;
  placement.job = job_index;
  placement.machine = placed_task.machine;
  placement.attempt = placed_task.attempt;
  placement.restarting = placed_task.restarting;
  placement.known_at = now;
  placement.placed_after_s = placed_task.placed_after_s;
  current_job.placements.emplace(placed_task.task, placement);
  Machine& current_machine = edit_machine(placed_task.machine);
  current_machine.placed_tasks.push_back({job_index, placed_task.task});
  current_machine.used.message_bytes += static_cast<double>(task_message_bytes(current_job.spec.ref));
  current_machine.has_booted = true;
  change_usage(current_job, placement, UsageChange::acquire);
  mark_image_used(current_machine, current_job.spec);
  if (current_job.phase == JobPhase::cancelled)
    set_state(current_job.placements.at(placed_task.task), PlacementState::stopping, now);
}

void ClusterState::remove_placement(Job& current_job, std::map<TaskNumber, Placement>::iterator placement_it,
                                    Seconds now) {
  const Placement& placement = placement_it->second;
  Machine& current_machine = edit_machine(placement.machine);
  if (!is_off_machine(placement.state)) change_usage(current_job, placement, UsageChange::release);
  current_machine.used.message_bytes -= static_cast<double>(task_message_bytes(current_job.spec.ref));
  auto& placed_tasks = current_machine.placed_tasks;
  placed_tasks.erase(std::remove_if(placed_tasks.begin(), placed_tasks.end(),
                                    [&placement](const TaskId& id) {
                                      return id.job == placement.job && id.task == placement.task;
                                    }),
                     placed_tasks.end());
  if (placed_tasks.empty()) {
    current_machine.used = {};  // prevents rounding errors from accumulating
    current_machine.idle_since = now;
  }
  current_job.placements.erase(placement_it);
}

void ClusterState::apply_machine(MachineIndex machine_index, const MachineRecord* record, Revision revision,
                                 Seconds now) {
  if (record == nullptr) {
    remove_machine_record(machine_index, now);
    return;
  }
  Machine& current_machine = edit_machine(machine_index);
  bool is_new = !current_machine.is_recorded();
  bool moved = is_new || current_machine.record.partition != record->partition;
  if (is_new) {
    current_machine.known_since = now;
    current_machine.has_booted = current_machine.has_booted || record->has_booted;
  } else if (moved) {
    current_machine.has_booted = true;
  }
  machines_.set_record(machine_index, *record, revision);
  if (record->mark == MachineMark::deleting) {
    set_state(machine_index, MachineState::deleting, now);
  } else if (moved) {
    current_machine.inherited = false;
    current_machine.restart_session(now);
    // A machine is moved only when no task can be on it, so there is usually nothing to reconcile.
    set_state(machine_index, current_machine.initial_state(), now);
  }
}

void ClusterState::remove_machine_record(MachineIndex machine_index, Seconds now) {
  // The record is removed only after the cloud has confirmed the deletion, so every task on the machine is
  // gone.
  for (TaskId id : edit_machine(machine_index).placed_tasks) {
    Placement* placement = edit_placement(id);
    if (placement == nullptr || placement->state == PlacementState::finished) continue;
    placement->cause = EndCause::none;
    set_state(*placement, PlacementState::terminated, now);
  }
  machines_.erase_record(machine_index);
  set_state(machine_index, MachineState::unknown, now);
}

void ClusterState::apply_ownership(PartitionIndex partition, const OwnershipRecord* record, Revision revision,
                                   Seconds now) {
  owners_.set_owner(partition, record, revision, now);
  SPDLOG_INFO("partition ownership changed partition={} owner={} revision={}",
              names.partitions.name(partition),
              ownership(partition).revision != no_record ? record->controller : "none", revision);
}

void ClusterState::apply_decision(const std::string& name, const DecisionRecord* record, Revision revision) {
  if (record != nullptr) {
    decisions[name] = {*record, revision};
  } else {
    decisions.erase(name);
  }
}

}  // namespace oxbowmill
