#include "oxbowmill/core/capacity_tracker.h"

#include <algorithm>
#include <stdexcept>

namespace oxbowmill {

namespace {
constexpr Seconds never = std::numeric_limits<double>::infinity();
constexpr double patience_in_reports = 2.5;  // a machine that has missed so many may be gone
}  // namespace

CapacityTracker::CapacityTracker(Model& model) : model_(model), versions_(model.parts()) {
  partitions_.reserve(model.parts());
  for (std::uint32_t p = 0; p < model.parts(); ++p) partitions_.emplace_back(model);
}

Seconds CapacityTracker::fetch_backlog_s(MachineIndex machine, Seconds now) const {
  const Machine& m = model_.machine(machine);
  std::map<ImageIndex, Seconds> left;
  for (TaskId id : m.on) {
    const Placement& p = *model_.find_placement(id);
    const JobSpec& spec = model_.job(id.job).spec;
    if (p.phase != TaskPhase::fetching || is_off(p.state) || !spec.image.valid()) continue;
    Seconds since = p.started_at > 0 ? now - p.started_at : 0;
    left[spec.image] = std::max(0.0, fetch_time(spec, model_.catalog[m.rec.type.v]) - since);
  }
  Seconds sum = 0;
  for (const auto& [image, seconds] : left) sum += seconds;
  return sum;
}

CapacityTracker::Sight CapacityTracker::look_at_booting(MachineIndex machine, Seconds now) const {
  const Machine& m = model_.machine(machine);
  Seconds boot = model_.catalog[m.rec.type.v].boot_s;
  // One that takes far too long may never come.
  Seconds given_up_at = m.known_since + 2 * boot;
  if (!m.on.empty() || m.rec.wanted_by.valid() || now >= given_up_at) return {};
  Sight sight;
  sight.capacity.emplace();
  sight.capacity->node = {machine, m.rec.type, m.rec.zone, m.rec.spot, 0, Amounts{}};
  sight.capacity->booting = true;
  sight.capacity->up_at = m.known_since + boot;
  sight.until = given_up_at;
  return sight;
}

CapacityTracker::Sight CapacityTracker::look_at(MachineIndex machine, Seconds now) const {
  const Settings& s = model_.settings;
  const Machine& m = model_.machine(machine);
  bool usable = m.stamp != 0 && m.rec.part != pool_part && m.rec.type.v < model_.catalog.size();
  if (!usable) return {};
  if (m.state == MachineState::expected && !m.up) return look_at_booting(machine, now);
  if (m.recalled || m.writing || m.rec.wanted_by.valid()) return {};
  Seconds kept_out_until = std::max(m.blocked_until, m.faulty_until);
  if (kept_out_until > now) return {std::nullopt, kept_out_until};
  // A machine just handed over reports here within moments: its tasks may be placed already. One that has
  // missed reports may be gone: nothing new goes there until it speaks again.
  Seconds until = m.state == MachineState::expected ? m.part_since + s.arrival_s()
                  : m.state == MachineState::ready  ? m.last_answered + patience_in_reports * s.report_s + 1
                                                    : now;
  if (now >= until) return {};
  Sight sight;
  sight.until = until;
  sight.capacity.emplace();
  sight.capacity->node = {machine, m.rec.type, m.rec.zone, m.rec.spot, 0, model_.room(m)};
  sight.capacity->node.lasting = m.lasting > 0;
  sight.capacity->images = m.images;
  add_tasks(m, *sight.capacity);
  return sight;
}

void CapacityTracker::add_tasks(const Machine& machine, MachineCapacity& capacity) const {
  for (TaskId id : machine.on) {
    const Placement& p = *model_.find_placement(id);
    const JobSpec& spec = model_.job(id.job).spec;
    // A member that gave up waiting has its image here and comes back as soon as its end is durable. (Taken
    // by another gang in that moment, the machine cost it a second fetch, longer than a gang waits; so gangs
    // with large images began after 340 s.)
    if (p.state == PlacementState::gone && p.cause == EndCause::incomplete) capacity.node.room -= spec.need;
    if (is_off(p.state)) continue;
    capacity.fetching = capacity.fetching || (p.phase == TaskPhase::fetching && spec.image.valid());
    if (p.state == PlacementState::stopping) {
      capacity.leaving += spec.need;
    } else if (spec.save_every_s > 0) {
      capacity.lowest_rank = capacity.preemptible ? std::min(capacity.lowest_rank, spec.rank) : spec.rank;
      capacity.preemptible = true;
    }
  }
}

void CapacityTracker::update(MachineIndex machine, Seconds now) {
  if (machine.v >= holder_.size()) {
    holder_.resize(model_.machine_count());
    recheck_at_.resize(model_.machine_count(), never);
  }
  Sight sight = look_at(machine, now);
  PartIndex& holder = holder_[machine.v];
  PartIndex partition = sight.capacity ? model_.machine(machine).rec.part : PartIndex{};
  if (holder.valid() && holder != partition) {
    if (partitions_[holder.v].update(machine, std::nullopt)) ++versions_[holder.v];
  }
  if (partition.valid() && partitions_[partition.v].update(machine, std::move(sight.capacity)))
    ++versions_[partition.v];
  holder = partition;
  if (sight.until >= recheck_at_[machine.v]) return;  // an earlier one is queued, and queues the next
  recheck_at_[machine.v] = sight.until;
  rechecks_.push({sight.until, machine});
}

void CapacityTracker::note_catalog() {
  auto same = [](const Amounts& a, const MachineType& b) {
    return a.cpus == b.room.cpus && a.gpus == b.room.gpus && a.memory_gb == b.room.memory_gb;
  };
  const auto& catalog = model_.catalog;
  if (type_rooms_.size() == catalog.size() &&
      std::equal(type_rooms_.begin(), type_rooms_.end(), catalog.begin(), same))
    return;
  type_rooms_.clear();
  for (const MachineType& type : catalog) type_rooms_.push_back(type.room);
  for (FreeCapacity& partition : partitions_) partition.clear();
  std::fill(holder_.begin(), holder_.end(), PartIndex{});
  for (std::uint32_t i = 0; i < model_.machine_count(); ++i) model_.edit_machine(MachineIndex{i});
}

void CapacityTracker::refresh(Seconds now) {
  note_catalog();
  for (FreeCapacity& partition : partitions_) {
    for (MachineIndex machine : partition.take_provisional()) update(machine, now);
  }
  for (MachineIndex machine : model_.take_changed()) update(machine, now);
  std::vector<MachineIndex> due;
  while (!rechecks_.empty() && rechecks_.top().at <= now) {
    due.push_back(rechecks_.top().machine);
    recheck_at_[due.back().v] = never;
    rechecks_.pop();
  }
  for (MachineIndex machine : due) update(machine, now);
}

void CapacityTracker::require_consistent(Seconds now) const {
  std::size_t held = 0;
  for (std::uint32_t i = 0; i < model_.machine_count(); ++i) {
    MachineIndex machine{i};
    Sight sight = look_at(machine, now);
    const MachineCapacity* known = nullptr;
    if (sight.capacity) known = partitions_[model_.machine(machine).rec.part.v].find(machine);
    if (sight.capacity && (known == nullptr || !(*known == *sight.capacity)))
      throw std::logic_error("free capacity of " + model_.names.machines.name(machine) + " is out of date");
    held += sight.capacity ? 1 : 0;
  }
  std::size_t indexed = 0;
  for (const FreeCapacity& partition : partitions_) indexed += partition.size();
  if (indexed != held) throw std::logic_error("free capacity holds machines that offer nothing");
}

}  // namespace oxbowmill
