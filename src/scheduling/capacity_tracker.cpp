#include "oxbowmill/scheduling/capacity_tracker.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <stdexcept>
#include <string>

#include "oxbowmill/scheduling/never.h"

namespace oxbowmill {

namespace {
constexpr double tolerated_missed_reports = 2.5;  // a machine that has missed more reports may be gone
}  // namespace

CapacityTracker::CapacityTracker(ClusterState& state) : state_(state), versions_(state.partition_count()) {
  partitions_.reserve(state.partition_count());
  for (std::uint32_t p = 0; p < state.partition_count(); ++p) partitions_.emplace_back(state);
}

Seconds CapacityTracker::fetch_backlog_s(MachineIndex machine, Seconds now) const {
  const Machine& machine_state = state_.machine(machine);
  std::map<ImageIndex, Seconds> remaining_fetch_s;
  for (TaskId id : machine_state.placed_tasks) {
    const Placement& placement = *state_.find_placement(id);
    const JobSpec& spec = state_.job(id.job).spec;
    if (placement.phase != TaskPhase::fetching || is_off_machine(placement.state) || !spec.image.valid())
      continue;
    Seconds elapsed_s = placement.started_at > 0 ? now - placement.started_at : 0;
    remaining_fetch_s[spec.image] =
        std::max(0.0, fetch_time(spec, state_.catalog[machine_state.record.type.value]) - elapsed_s);
  }
  Seconds sum = 0;
  for (const auto& [image, seconds] : remaining_fetch_s) sum += seconds;
  return sum;
}

CapacityTracker::CapacityEstimate CapacityTracker::estimate_booting_capacity(MachineIndex machine,
                                                                             Seconds now) const {
  const Machine& machine_state = state_.machine(machine);
  Seconds boot_s = state_.catalog[machine_state.record.type.value].boot_s;
  // A machine that takes twice its boot time may never report.
  Seconds given_up_at = machine_state.known_since + 2 * boot_s;
  if (!machine_state.placed_tasks.empty() || machine_state.record.requested_by.valid() || now >= given_up_at)
    return {};
  CapacityEstimate estimate;
  estimate.capacity.emplace();
  estimate.capacity->candidate = {
      machine,    machine_state.record.type, machine_state.record.zone, machine_state.record.spot, 0,
      Resources{}};
  estimate.capacity->booting = true;
  estimate.capacity->expected_up_at = machine_state.known_since + boot_s;
  estimate.valid_until = given_up_at;
  return estimate;
}

CapacityTracker::CapacityEstimate CapacityTracker::estimate_capacity(MachineIndex machine,
                                                                     Seconds now) const {
  const Settings& settings = state_.settings;
  const Machine& machine_state = state_.machine(machine);
  bool usable = machine_state.revision != 0 && machine_state.record.partition != idle_pool &&
                machine_state.record.type.value < state_.catalog.size();
  if (!usable) return {};
  if (machine_state.state == MachineState::expected && !machine_state.has_booted)
    return estimate_booting_capacity(machine, now);
  if (machine_state.preemption_notice || machine_state.write_in_flight ||
      machine_state.record.requested_by.valid())
    return {};
  Seconds unavailable_until = std::max(machine_state.blocked_until, machine_state.faulty_until);
  if (unavailable_until > now) return {std::nullopt, unavailable_until};
  // A machine that was just handed over reports here soon, so tasks may be placed on it already. A machine
  // that has missed reports may be gone, so nothing new is placed on it until it reports again.
  Seconds usable_until =
      machine_state.state == MachineState::expected
          ? machine_state.in_partition_since + settings.first_report_timeout_s()
      : machine_state.state == MachineState::ready
          ? machine_state.last_answered_report_at + tolerated_missed_reports * settings.report_interval_s + 1
          : now;
  if (now >= usable_until) return {};
  CapacityEstimate estimate;
  estimate.valid_until = usable_until;
  estimate.capacity.emplace();
  estimate.capacity->candidate = {
      machine, machine_state.record.type,          machine_state.record.zone, machine_state.record.spot,
      0,       state_.free_capacity(machine_state)};
  estimate.capacity->candidate.long_running = machine_state.long_running_tasks > 0;
  estimate.capacity->images = machine_state.cached_images;
  add_tasks(machine_state, *estimate.capacity);
  return estimate;
}

void CapacityTracker::add_tasks(const Machine& machine, MachineCapacity& capacity) const {
  for (TaskId id : machine.placed_tasks) {
    const Placement& placement = *state_.find_placement(id);
    const JobSpec& spec = state_.job(id.job).spec;
    // A gang member that gave up waiting is placed here again as soon as its end is durable, because the
    // machine has its image. When another gang took the machine in between, the member needed a second fetch,
    // which takes longer than a gang waits: gangs with large images started after 340 s.
    if (placement.state == PlacementState::terminated && placement.cause == EndCause::gang_incomplete)
      capacity.candidate.free_capacity -= without_message_bytes(spec.task_resources);
    if (is_off_machine(placement.state)) continue;
    capacity.fetching_images =
        capacity.fetching_images || (placement.phase == TaskPhase::fetching && spec.image.valid());
    if (placement.state == PlacementState::stopping) {
      capacity.releasing += spec.task_resources;
    } else if (spec.checkpoint_interval_s > 0) {
      capacity.lowest_priority =
          capacity.preemptible ? std::min(capacity.lowest_priority, spec.priority) : spec.priority;
      capacity.preemptible = true;
    }
  }
}

void CapacityTracker::update(MachineIndex machine, Seconds now) {
  if (machine.value >= indexed_partitions_.size()) {
    indexed_partitions_.resize(state_.machine_count());
    recheck_at_.resize(state_.machine_count(), never);
  }
  CapacityEstimate estimate = estimate_capacity(machine, now);
  PartitionIndex& indexed_partition = indexed_partitions_[machine.value];
  PartitionIndex partition = estimate.capacity ? state_.machine(machine).record.partition : PartitionIndex{};
  bool was_message_limited = is_message_limited(indexed_partition, machine);
  if (indexed_partition.valid() && indexed_partition != partition) {
    if (partitions_[indexed_partition.value].update(machine, std::nullopt))
      ++versions_[indexed_partition.value];
  }
  if (partition.valid() && partitions_[partition.value].update(machine, std::move(estimate.capacity)))
    ++versions_[partition.value];
  indexed_partition = partition;
  if (!was_message_limited && is_message_limited(partition, machine) && message_limited_.add())
    SPDLOG_INFO("machine holds as many tasks as its messages can list machine={} tasks={} count={}",
                state_.names.machines.name(machine), state_.machine(machine).placed_tasks.size(),
                message_limited_.count());
  if (estimate.valid_until >= recheck_at_[machine.value])
    return;  // an earlier recheck is queued and will queue the next one
  recheck_at_[machine.value] = estimate.valid_until;
  rechecks_.push({estimate.valid_until, machine});
}

bool CapacityTracker::is_message_limited(PartitionIndex partition, MachineIndex machine) const {
  return partition.valid() && partitions_[partition.value].message_limited().count(machine) != 0;
}

void CapacityTracker::refresh_type_capacities() {
  auto same = [](const Resources& known, const MachineType& type) { return known == type.capacity; };
  const auto& catalog = state_.catalog;
  if (type_capacities_.size() == catalog.size() &&
      std::equal(type_capacities_.begin(), type_capacities_.end(), catalog.begin(), same))
    return;
  type_capacities_.clear();
  for (const MachineType& type : catalog) type_capacities_.push_back(type.capacity);
  for (FreeCapacity& partition : partitions_) partition.clear();
  std::fill(indexed_partitions_.begin(), indexed_partitions_.end(), PartitionIndex{});
  for (std::uint32_t i = 0; i < state_.machine_count(); ++i) state_.edit_machine(MachineIndex{i});
}

void CapacityTracker::refresh(Seconds now) {
  refresh_type_capacities();
  for (FreeCapacity& partition : partitions_) {
    for (MachineIndex machine : partition.take_provisional()) update(machine, now);
  }
  for (MachineIndex machine : state_.take_changed_machines()) update(machine, now);
  std::vector<MachineIndex> due;
  while (!rechecks_.empty() && rechecks_.top().due_at <= now) {
    due.push_back(rechecks_.top().machine);
    recheck_at_[due.back().value] = never;
    rechecks_.pop();
  }
  for (MachineIndex machine : due) update(machine, now);
}

void CapacityTracker::require_consistent(Seconds now) const {
  std::size_t offering_count = 0;
  for (std::uint32_t i = 0; i < state_.machine_count(); ++i) {
    MachineIndex machine{i};
    CapacityEstimate estimate = estimate_capacity(machine, now);
    const MachineCapacity* known = nullptr;
    if (estimate.capacity) known = partitions_[state_.machine(machine).record.partition.value].find(machine);
    if (estimate.capacity && (known == nullptr || !(*known == *estimate.capacity)))
      throw std::logic_error("free capacity index: entry of machine " + state_.names.machines.name(machine) +
                             " differs from the cluster state");
    offering_count += estimate.capacity ? 1 : 0;
  }
  std::size_t indexed_count = 0;
  for (const FreeCapacity& partition : partitions_) indexed_count += partition.size();
  if (indexed_count != offering_count)
    throw std::logic_error("free capacity index: holds " + std::to_string(indexed_count) +
                           " machines, of which only " + std::to_string(offering_count) + " have capacity");
}

}  // namespace oxbowmill
