#include "oxbowmill/cluster/cluster_state.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace oxbowmill {

ClusterState::ClusterState(Settings initial_settings, Names initial_names)
    : settings(std::move(initial_settings)),
      names(std::move(initial_names)),
      jobs_(names.partitions.size()),
      machines_(names.partitions.size()),
      usage_(names.partitions.size()),
      owners_(names.partitions.size()) {}

PlacementLimits ClusterState::placement_limits(JobIndex job_index) const {
  PlacementLimits limits;
  if (constraints != nullptr) constraints->constrain(job_index, limits);
  return limits;
}

std::uint32_t ClusterState::placeable_task_count(JobIndex job_index) const {
  const Job& current_job = job(job_index);
  std::uint32_t pending = current_job.pending_count();
  if (pending == 0 || constraints == nullptr) return pending;
  std::uint32_t max_tasks = placement_limits(job_index).max_tasks;
  auto placed = static_cast<std::uint32_t>(current_job.placements.size());
  return max_tasks <= placed ? 0 : std::min(pending, max_tasks - placed);
}

MachineIndex ClusterState::intern_machine(const std::string& name) {
  MachineIndex machine_index = names.machines.intern(name);
  machines_.add(machine_index);
  return machine_index;
}

MachineIndex ClusterState::find_recorded(const std::string& name) const {
  MachineIndex machine_index = names.machines.find(name);
  return machines_.is_recorded(machine_index) ? machine_index : MachineIndex{};
}

TypeIndex ClusterState::intern_type(const std::string& name) {
  TypeIndex type = names.types.intern(name);
  if (catalog_known() && type.value >= catalog.size()) catalog.resize(type.value + 1);
  return type;
}

void ClusterState::mark_image_used(Machine& current_machine, const JobSpec& spec) {
  if (!spec.image.valid()) return;  // the placement's record was read before the job's
  if (image_gb.size() <= spec.image.value) image_gb.resize(spec.image.value + 1, 0);
  image_gb[spec.image.value] = spec.image_gb;
  TypeIndex type = current_machine.record.type;
  bool type_known = type.valid() && type.value < catalog.size();
  current_machine.use_image(spec.image, type_known ? catalog[type.value].cache_gb : 0, image_gb);
}

const Placement* ClusterState::find_placement(TaskId id) const {
  const Job* owning_job = known_job(id.job);
  if (owning_job == nullptr) return nullptr;
  auto it = owning_job->placements.find(id.task);
  return it == owning_job->placements.end() ? nullptr : &it->second;
}

Placement* ClusterState::edit_placement(TaskId id) {
  const Placement* placement = find_placement(id);
  if (placement == nullptr) return nullptr;
  machines_.mark_changed(placement->machine);
  return &job(id.job).placements.at(id.task);
}

Resources ClusterState::free_capacity(const Machine& machine) const {
  if (!machine.record.type.valid() || machine.record.type.value >= catalog.size()) return {};
  return catalog[machine.record.type.value].capacity - machine.used - machine.reserved;
}

void ClusterState::reserve(MachineIndex machine_index, const JobSpec& spec, int sign) {
  usage_.update_reserved(edit_machine(machine_index), spec,
                         sign > 0 ? UsageChange::acquire : UsageChange::release);
}

Seconds ClusterState::all_leases_reacquired_since() const {
  return owners_.all_live_since(settings.all_controllers).value_or(time_not_set);
}

Revision ClusterState::lowest_fencing_token(const Machine& machine) const {
  return std::max(ownership(machine.record.partition).revision, machine.revision);
}

Revision ClusterState::fencing_token(const Machine& machine) const {
  return std::max(lowest_fencing_token(machine), machine.last_placement_revision);
}

void ClusterState::set_state(Placement& placement, PlacementState new_state, Seconds now) {
  if (placement.state == new_state) return;
  machines_.mark_changed(placement.machine);
  Job& current_job = job(placement.job);
  SPDLOG_DEBUG("task state changed task={}/{} machine={} attempt={} from={} to={}", current_job.spec.ref,
               placement.task, names.machines.name(placement.machine), placement.attempt,
               name_of(placement.state), name_of(new_state));
  // Capacity is free as soon as the task is proved to be off its machine; the durable record may follow
  // later.
  if (is_off_machine(new_state) != is_off_machine(placement.state))
    change_usage(current_job, placement,
                 is_off_machine(new_state) ? UsageChange::release : UsageChange::acquire);
  placement.state = new_state;
  if (new_state == PlacementState::terminated) current_job.record_termination(placement, settings, now);
  if (new_state >= PlacementState::stopping && placement.has_started(now))
    current_job.mark_started(placement.task);
  if (new_state == PlacementState::stopping) {
    placement.stopping_since = now;
    machines_to_wake.insert(placement.machine);
  }
  if (new_state == PlacementState::sent && placement.started_at <= 0) placement.started_at = now;
  if (is_off_machine(new_state)) dirty_jobs.insert(placement.job);
}

void ClusterState::set_state(MachineIndex machine_index, MachineState new_state, Seconds now) {
  Machine& current_machine = edit_machine(machine_index);
  if (current_machine.state == new_state) return;
  SPDLOG_DEBUG("machine state changed machine={} from={} to={}", names.machines.name(machine_index),
               name_of(current_machine.state), name_of(new_state));
  current_machine.state = new_state;
  if (new_state == MachineState::ready && current_machine.placed_tasks.empty())
    current_machine.idle_since = now;
  if (new_state == MachineState::unknown) current_machine.reset_except_usage();
}

void ClusterState::change_usage(const Job& job, const Placement& placement, UsageChange change) {
  usage_.update_used(edit_machine(placement.machine), job, change);
}

}  // namespace oxbowmill
