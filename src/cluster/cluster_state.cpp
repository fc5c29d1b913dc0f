#include "oxbowmill/cluster/cluster_state.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "oxbowmill/cluster/start_deadline.h"

namespace oxbowmill {

namespace {
constexpr double clock_skew_tolerance_s = 3;  // beyond what clocks of different nodes differ by
constexpr double max_assumed_wait_s = 3600;
}  // namespace

double Settings::read_only_period_s() const {
  // hold life + grace + lease + margins stays under cancel_s: by then what a cut-off owner kept alive is
  // gone.
  double left =
      cancel_deadline_s - operator_settings.controller_lease_s - lease_expiry_s() - 2 * safety_margin_s;
  return std::clamp(left, 0.0, 12.0);
}

const char* name_of(PlacementState new_state) {
  static constexpr const char* names[] = {"placed", "sent", "seen", "stopping", "finished", "gone"};
  return names[static_cast<int>(new_state)];
}

const char* name_of(MachineState new_state) {
  static constexpr const char* names[] = {"unknown", "expected", "unaccounted",
                                          "ready",   "silent",   "deleting"};
  return names[static_cast<int>(new_state)];
}

ClusterState::ClusterState(Settings s, Names n) : settings(std::move(s)), names(std::move(n)) {
  live_jobs_.resize(names.partitions.size());
  partition_machines_.resize(names.partitions.size());
  requested_machines_.resize(names.partitions.size());
  ownerships_.resize(names.partitions.size());
  team_usage_.resize(names.partitions.size());
}

JobIndex ClusterState::find_job(const std::string& ref) const {
  auto it = job_names_.find(ref);
  return it == job_names_.end() ? JobIndex{} : it->second;
}

JobIndex ClusterState::intern_job(const std::string& ref) {
  auto [it, added] = job_names_.try_emplace(ref, JobIndex{next_job_});
  if (added) {
    jobs_[next_job_].spec.ref = ref;
    ++next_job_;
  }
  return it->second;
}

MachineIndex ClusterState::intern_machine(const std::string& name) {
  MachineIndex m = names.machines.intern(name);
  if (m.value >= machines_.size()) machines_.resize(m.value + 1);
  return m;
}

MachineIndex ClusterState::find_recorded(const std::string& name) const {
  MachineIndex m = names.machines.find(name);
  return m.valid() && m.value < machines_.size() && machines_[m.value].revision != 0 ? m : MachineIndex{};
}

TypeIndex ClusterState::intern_type(const std::string& name) {
  TypeIndex t = names.types.intern(name);
  if (catalog_known() && t.value >= catalog.size()) catalog.resize(t.value + 1);
  return t;
}

Resources ClusterState::free_capacity(const Machine& machine) const {
  if (!machine.record.type.valid() || machine.record.type.value >= catalog.size()) return {};
  return catalog[machine.record.type.value].capacity - machine.used - machine.reserved;
}

void ClusterState::reserve(MachineIndex i, const JobSpec& spec, int sign) {
  Machine& current_machine = edit_machine(i);
  current_machine.reserved += sign * spec.task_resources;
  current_machine.reservations += static_cast<std::uint32_t>(sign);
  team_usage_[spec.partition.value] += sign * spec.task_resources;
  if (current_machine.reservations == 0) current_machine.reserved = {};
}

double ClusterState::machine_fraction(const JobSpec& spec) const {
  int most = 1;
  for (std::uint32_t t = 0; t < catalog.size(); ++t) {
    if (spec.allows(TypeIndex{t}))
      most = std::max(most, how_many_fit(spec.task_resources, catalog[t].capacity));
  }
  return 1.0 / most;
}

Revision ClusterState::lowest_fencing_token(const Machine& machine) const {
  return std::max(ownerships_[machine.record.partition.value].revision, machine.revision);
}

Revision ClusterState::fencing_token(const Machine& machine) const {
  return std::max(lowest_fencing_token(machine), machine.last_placement_revision);
}

Seconds ClusterState::all_reacquired_since() const {
  Seconds last = -1;
  for (const std::string& name : settings.all_controllers) {
    auto it = controllers_.find(name);
    if (it == controllers_.end()) return -1;
    last = std::max(last, it->second.since);
  }
  return last;
}

const Placement* ClusterState::find_placement(TaskId id) const {
  auto j = jobs_.find(id.job.value);
  if (j == jobs_.end()) return nullptr;
  auto it = j->second.placements.find(id.task);
  return it == j->second.placements.end() ? nullptr : &it->second;
}

Placement* ClusterState::edit_placement(TaskId id) {
  const Placement* placement = find_placement(id);
  if (placement == nullptr) return nullptr;
  mark_changed(placement->machine);
  return &jobs_.at(id.job.value).placements.at(id.task);
}

std::vector<MachineIndex> ClusterState::take_changed_machines() {
  std::vector<MachineIndex> changed;
  changed.swap(changed_machines_);
  for (MachineIndex m : changed) machines_[m.value].change_noted = false;
  return changed;
}

std::vector<TaskNumber> ClusterState::pending_tasks(Job& current_job, std::size_t most) const {
  std::vector<TaskNumber> out;
  for (std::uint32_t word_index = current_job.scan_from;
       word_index < current_job.done_or_placed.size() && out.size() < most; ++word_index) {
    std::uint64_t free = ~current_job.done_or_placed[word_index];
    if (free == 0 && word_index == current_job.scan_from) current_job.scan_from = word_index + 1;
    while (free != 0 && out.size() < most) {
      TaskNumber t = word_index * 64 + static_cast<TaskNumber>(__builtin_ctzll(free));
      free &= free - 1;
      if (t < current_job.spec.tasks) out.push_back(t);
    }
  }
  return out;
}

void ClusterState::set_state(Placement& placement, PlacementState new_state, Seconds now) {
  if (placement.state == new_state) return;
  mark_changed(placement.machine);
  SPDLOG_DEBUG("task {}/{} on {} try {}: {} -> {}", job(placement.job).spec.ref, placement.task,
               names.machines.name(placement.machine), placement.attempt, name_of(placement.state),
               name_of(new_state));
  // The room is free from the proof on: the record may follow when it is convenient.
  if (is_off_machine(new_state) != is_off_machine(placement.state))
    adjust_usage(job(placement.job), placement, is_off_machine(new_state) ? -1 : 1);
  placement.state = new_state;
  if (new_state == PlacementState::terminated) record_checkpoint(placement, now);
  if (new_state >= PlacementState::stopping && placement.has_started(now))
    record_task_start(job(placement.job), placement.task);
  if (new_state == PlacementState::stopping) {
    placement.stopping_since = now;
    machines_to_wake.insert(placement.machine);
  }
  if (new_state == PlacementState::sent && placement.started_at <= 0) placement.started_at = now;
  if (is_off_machine(new_state)) dirty_jobs.insert(placement.job);
}

void ClusterState::record_task_start(Job& current_job, TaskNumber task) {
  current_job.ever_started.resize(current_job.done_or_placed.size());
  if (task / 64 < current_job.ever_started.size()) current_job.ever_started[task / 64] |= 1ULL << (task % 64);
}

void ClusterState::record_checkpoint(const Placement& placement, Seconds now) {
  Job& current_job = job(placement.job);
  if (!settings.progress.enabled || current_job.spec.checkpoint_interval_s <= 0 || placement.running_at < 0)
    return;
  bool gang = current_job.spec.shape == JobShape::gang;
  // A gang's progress is one. The first of an attempt to leave decides what is saved: once it has gone
  // without a save, whatever another says it stored is of no use (PROTOCOL, "Gangs").
  if (gang && current_job.checkpoint_attempt == placement.attempt) return;
  current_job.checkpoint_attempt = placement.attempt;
  checkpoint::RunTimeBounds run_time{placement.observed_run_s, now - placement.started_at};
  // Members run on, as far as reports tell, for a while after one is lost.
  if (gang && !placement.checkpoint_saved)
    run_time.min_s =
        std::max(0.0, run_time.min_s - settings.gang_peer_timeout_s - settings.report_interval_s);
  checkpoint::SavedProgress before = current_job.checkpoint_of(placement.task);
  auto after = placement.checkpoint_saved
                   ? checkpoint::after_store(before, run_time, current_job.spec.checkpoint_interval_s,
                                             settings.progress)
                   : checkpoint::after_loss(before, run_time, current_job.spec.checkpoint_interval_s,
                                            settings.progress);
  current_job.checkpoints[gang ? 0 : placement.task] = checkpoint::merged(before, after);
}

Seconds Job::remaining_s() const {
  if (checkpoints.empty() || spec.tasks == 0) return spec.estimate_s;
  if (spec.shape == JobShape::gang) return checkpoint::remaining_run_time(spec.estimate_s, checkpoint_of(0));
  double sum = 0;
  std::uint32_t n = 0;
  for (const auto& [t, s] : checkpoints) {
    if (placements.count(t) != 0 || t / 64 >= done_or_placed.size() ||
        (done_or_placed[t / 64] >> (t % 64) & 1) != 0)
      continue;
    sum += checkpoint::remaining_run_time(spec.estimate_s, s);
    ++n;
  }
  std::uint32_t waiting = std::max(pending_count(), n);
  return waiting == 0 ? spec.estimate_s : (sum + (waiting - n) * spec.estimate_s) / waiting;
}

void ClusterState::set_state(MachineIndex i, MachineState new_state, Seconds now) {
  Machine& current_machine = edit_machine(i);
  if (current_machine.state == new_state) return;
  SPDLOG_DEBUG("machine {}: {} -> {}", names.machines.name(i), name_of(current_machine.state),
               name_of(new_state));
  current_machine.state = new_state;
  if (new_state == MachineState::ready && current_machine.placed_tasks.empty())
    current_machine.idle_since = now;
  if (new_state == MachineState::unknown) {
    // What is still booked on it goes with its placements' records.
    Machine fresh;
    fresh.placed_tasks = current_machine.placed_tasks;
    fresh.used = current_machine.used;
    fresh.long_running_tasks = current_machine.long_running_tasks;
    fresh.reserved = current_machine.reserved;
    fresh.reservations = current_machine.reservations;
    fresh.change_count = current_machine.change_count;
    fresh.change_noted = current_machine.change_noted;
    current_machine = fresh;
  }
}

bool ClusterState::has_image(const Machine& machine, ImageIndex image) {
  return std::find(machine.cached_images.begin(), machine.cached_images.end(), image) !=
         machine.cached_images.end();
}

void ClusterState::mark_image_used(Machine& current_machine, const JobSpec& spec) {
  if (!spec.image.valid()) return;  // a placement record that came before its job's
  if (image_gb.size() <= spec.image.value) image_gb.resize(spec.image.value + 1, 0);
  image_gb[spec.image.value] = spec.image_gb;
  auto it = std::find(current_machine.cached_images.begin(), current_machine.cached_images.end(), spec.image);
  if (it != current_machine.cached_images.end()) current_machine.cached_images.erase(it);
  current_machine.cached_images.push_back(spec.image);
  // The machine keeps the most recently used ones that its cache holds.
  double room = current_machine.record.type.valid() && current_machine.record.type.value < catalog.size()
                    ? catalog[current_machine.record.type.value].cache_gb
                    : 0;
  std::size_t keep = current_machine.cached_images.size();
  for (; keep > 0; --keep) {
    room -= image_gb[current_machine.cached_images[keep - 1].value];
    if (room < 0) break;
  }
  current_machine.cached_images.erase(
      current_machine.cached_images.begin(),
      current_machine.cached_images.begin() +
          static_cast<std::ptrdiff_t>(std::min(keep, current_machine.cached_images.size() - 1)));
}

void ClusterState::add_placement(Job& current_job, const PlacedTask& placed_task, JobIndex index,
                                 Seconds now) {
  Placement placement;
  placement.task = placed_task.task;
  placement.job = index;
  placement.machine = placed_task.machine;
  placement.attempt = placed_task.attempt;
  placement.restarting = placed_task.restarting;
  placement.known_at = now;
  placement.placed_after_s = placed_task.placed_after_s;
  current_job.placements.emplace(placed_task.task, placement);
  Machine& current_machine = edit_machine(placed_task.machine);
  current_machine.placed_tasks.push_back({index, placed_task.task});
  current_machine.has_booted = true;
  adjust_usage(current_job, placement, 1);
  mark_image_used(current_machine, current_job.spec);
  if (current_job.phase == JobPhase::cancelled)
    set_state(current_job.placements.at(placed_task.task), PlacementState::stopping, now);
}

void ClusterState::adjust_usage(const Job& job, const Placement& placement, int sign) {
  Machine& m = edit_machine(placement.machine);
  m.used += sign * job.spec.task_resources;
  if (job.spec.shape == JobShape::service) m.long_running_tasks += static_cast<std::uint32_t>(sign);
  if (job.spec.partition.valid()) team_usage_[job.spec.partition.value] += sign * job.spec.task_resources;
  if (sign < 0) freed_machines_ += job.machine_fraction;
}

void ClusterState::remove_placement(Job& current_job, std::map<TaskNumber, Placement>::iterator it,
                                    Seconds now) {
  Machine& current_machine = edit_machine(it->second.machine);
  JobIndex index = it->second.job;
  TaskNumber task = it->first;
  if (!is_off_machine(it->second.state)) adjust_usage(current_job, it->second, -1);
  current_machine.placed_tasks.erase(
      std::remove_if(current_machine.placed_tasks.begin(), current_machine.placed_tasks.end(),
                     [&](const TaskId& id) { return id.job == index && id.task == task; }),
      current_machine.placed_tasks.end());
  if (current_machine.placed_tasks.empty()) {
    current_machine.used = {};  // sums of decimals must not drift
    current_machine.idle_since = now;
  }
  current_job.placements.erase(it);
}

void ClusterState::apply(const Change& change, Revision revision, Seconds now) {
  if (const auto* k = std::get_if<JobKey>(&change.key)) {
    apply_job(k->job, std::get_if<JobRecord>(&change.value), revision, now);
  } else if (const auto* c = std::get_if<ChunkKey>(&change.key)) {
    apply_chunk(*c, std::get_if<ChunkRecord>(&change.value), revision, now);
  } else if (const auto* m = std::get_if<MachineKey>(&change.key)) {
    apply_machine(m->machine, std::get_if<MachineRecord>(&change.value), revision, now);
  } else if (const auto* ownership_key = std::get_if<OwnershipKey>(&change.key)) {
    Ownership& ownership = ownerships_[ownership_key->partition.value];
    if (const auto* rec = std::get_if<OwnershipRecord>(&change.value)) {
      ownership = {*rec, revision, now};
    } else {
      ownership = {};
    }
    SPDLOG_INFO("part {} is held by {} since revision {}", names.partitions.name(ownership_key->partition),
                ownership.revision ? ownership.record.controller : "nobody", revision);
  } else if (const auto* controller_key = std::get_if<ControllerKey>(&change.key)) {
    if (const auto* rec = std::get_if<OwnershipRecord>(&change.value)) {
      auto [it, fresh] = controllers_.try_emplace(controller_key->controller, LiveController{*rec, now});
      if (!fresh && it->second.record.lease_id != rec->lease_id) it->second = {*rec, now};
    } else {
      controllers_.erase(controller_key->controller);
    }
  } else if (const auto* decision_key = std::get_if<DecisionKey>(&change.key)) {
    if (const auto* rec = std::get_if<DecisionRecord>(&change.value)) {
      decisions[decision_key->name] = {*rec, revision};
    } else {
      decisions.erase(decision_key->name);
    }
  } else {
    apply_accounting(change, revision);
  }
}

PlacementLimits ClusterState::placement_limits(JobIndex job_index) const {
  PlacementLimits a;
  if (constraints != nullptr) constraints->constrain(job_index, a);
  return a;
}

std::uint32_t ClusterState::placeable_tasks(JobIndex job_index) const {
  const Job& j = job(job_index);
  std::uint32_t pending = j.pending_count();
  if (pending == 0 || constraints == nullptr) return pending;
  std::uint32_t most = placement_limits(job_index).max_tasks;
  auto placed = static_cast<std::uint32_t>(j.placements.size());
  return most <= placed ? 0 : std::min(pending, most - placed);
}

void ClusterState::apply_accounting(const Change& change, Revision revision) {
  if (const auto* bid_key = std::get_if<BidKey>(&change.key)) {
    if (const auto* rec = std::get_if<BidRecord>(&change.value)) {
      accounting.bids[bid_key->name] = {*rec, revision};
    } else {
      accounting.bids.erase(bid_key->name);
    }
  } else if (std::holds_alternative<LedgerKey>(change.key)) {
    const auto* rec = std::get_if<LedgerRecord>(&change.value);
    accounting.ledger = rec != nullptr ? AccountingTables::Entry<LedgerRecord>{*rec, revision}
                                       : AccountingTables::Entry<LedgerRecord>{};
  } else if (const auto* market_key = std::get_if<MarketKey>(&change.key)) {
    if (const auto* rec = std::get_if<MarketRecord>(&change.value)) {
      accounting.markets[market_key->market] = {*rec, revision};
    } else {
      accounting.markets.erase(market_key->market);
    }
  }
}

void ClusterState::apply_job(JobIndex index, const JobRecord* record, Revision revision, Seconds now) {
  Job& current_job = job(index);
  if (record == nullptr) {
    if (current_job.spec.partition.valid()) live_jobs_[current_job.spec.partition.value].erase(index);
    current_job.revision = 0;
    if (current_job.phase == JobPhase::open)
      current_job.phase = JobPhase::cancelled;  // gone from the tables: nothing may start
    drop_if_empty(index);
    return;
  }
  bool fresh = current_job.revision == 0;
  if (fresh) {
    // Placement records may have come first; their use is counted once the job is known.
    current_job.spec = record->spec;
    current_job.done_or_placed.assign((current_job.spec.tasks + 63) / 64, 0);
    for (auto& [c, chunk] : current_job.chunks) {
      if (c < current_job.done_or_placed.size()) current_job.done_or_placed[c] = chunk.done;
    }
    for (auto& [t, p] : current_job.placements) {
      if (t < current_job.spec.tasks) current_job.done_or_placed[t / 64] |= 1ULL << (t % 64);
      if (!is_off_machine(p.state)) adjust_usage(current_job, p, 1);
      mark_image_used(edit_machine(p.machine), current_job.spec);
    }
    // A job that was accepted while nobody listened has waited since then, not since it was read.
    double age = wall_clock_offset_s != 0 ? now + wall_clock_offset_s - current_job.spec.submitted_at : 0;
    current_job.first_seen = age > clock_skew_tolerance_s ? now - std::min(age, max_assumed_wait_s) : now;
    current_job.machine_fraction = machine_fraction(current_job.spec);
    live_jobs_[current_job.spec.partition.value].insert(index);
    SPDLOG_INFO("job {}: known, {} of {} tasks", current_job.spec.ref, name_of(current_job.spec.shape),
                current_job.spec.tasks);
  }
  current_job.revision = revision;
  if (current_job.phase != record->phase)
    SPDLOG_INFO("job {}: {} -> {}", current_job.spec.ref, name_of(current_job.phase), name_of(record->phase));
  current_job.phase = record->phase;
  if (current_job.phase == JobPhase::cancelled) {
    for (auto& [t, placement] : current_job.placements) {
      placement.termination_timeout_s = 0;
      if (placement.state != PlacementState::finished && placement.state != PlacementState::terminated) {
        set_state(placement, PlacementState::stopping, now);
        machines_to_wake.insert(placement.machine);
      }
    }
  }
  dirty_jobs.insert(index);
}

void ClusterState::apply_chunk(const ChunkKey& key, const ChunkRecord* new_record, Revision revision,
                               Seconds now) {
  Job& current_job = job(key.job);
  Chunk& chunk = current_job.chunks[key.chunk];
  static const ChunkRecord empty;
  const ChunkRecord& record = new_record != nullptr ? *new_record : empty;
  TaskNumber first = key.chunk * tasks_per_chunk;
  auto in_record = [&record](const Placement& placement) {
    return std::any_of(
        record.placements.begin(), record.placements.end(), [&placement](const PlacedTask& placed_task) {
          return placed_task.task == placement.task && placed_task.attempt == placement.attempt &&
                 placed_task.machine == placement.machine;
        });
  };
  for (auto it = current_job.placements.lower_bound(first);
       it != current_job.placements.end() && it->first < first + tasks_per_chunk;) {
    auto here = it++;
    if (!in_record(here->second)) remove_placement(current_job, here, now);
  }
  std::uint64_t busy = record.done;
  for (const PlacedTask& placed_task : record.placements) {
    auto it = current_job.placements.find(placed_task.task);
    if (it == current_job.placements.end()) {
      add_placement(current_job, placed_task, key.job, now);
    } else {
      it->second.restarting = placed_task.restarting;
    }
    busy |= 1ULL << (placed_task.task % 64);
  }
  if (new_record != nullptr) {
    current_job.done_count += static_cast<std::uint32_t>(__builtin_popcountll(record.done)) -
                              static_cast<std::uint32_t>(__builtin_popcountll(chunk.done));
    chunk = {revision, record.done, record.restarted, record.finishes};
    for (const auto& [t, s] : record.checkpoints)
      current_job.checkpoints[t] = checkpoint::merged(current_job.checkpoints[t], s);
    if (key.chunk < current_job.done_or_placed.size()) {
      current_job.done_or_placed[key.chunk] = busy;
      current_job.scan_from = std::min(current_job.scan_from, key.chunk);
    }
  } else {
    current_job.chunks.erase(key.chunk);
  }
  dirty_jobs.insert(key.job);
  drop_if_empty(key.job);
}

void ClusterState::drop_if_empty(JobIndex index) {
  auto it = jobs_.find(index.value);
  if (it == jobs_.end()) return;
  Job& j = it->second;
  if (j.revision != 0 || !j.chunks.empty() || !j.placements.empty()) return;
  dirty_jobs.erase(index);
  job_names_.erase(j.spec.ref);
  jobs_.erase(it);
}

void ClusterState::add_to_partition_sets(MachineIndex machine_index, const MachineRecord& record) {
  partition_machines_[record.partition.value].insert(machine_index);
  bool comes = record.requested_by.valid() && record.requested_by != record.partition &&
               record.mark == MachineMark::none;
  if (comes) requested_machines_[record.requested_by.value].insert(machine_index);
}

void ClusterState::remove_from_partition_sets(MachineIndex machine_index, const MachineRecord& record) {
  partition_machines_[record.partition.value].erase(machine_index);
  if (record.requested_by.valid()) requested_machines_[record.requested_by.value].erase(machine_index);
}

void ClusterState::apply_machine(MachineIndex index, const MachineRecord* record, Revision revision,
                                 Seconds now) {
  Machine& current_machine = edit_machine(index);
  if (current_machine.revision != 0) remove_from_partition_sets(index, current_machine.record);
  if (record == nullptr) {
    // The record goes only after the cloud confirmed the deletion: everything on the machine is gone.
    for (TaskId id : current_machine.placed_tasks) {
      Placement* p = edit_placement(id);
      if (p != nullptr && p->state != PlacementState::finished) {
        p->cause = EndCause::none;
        set_state(*p, PlacementState::terminated, now);
      }
    }
    current_machine.revision = 0;
    set_state(index, MachineState::unknown, now);
    return;
  }
  bool moved = current_machine.revision == 0 || current_machine.record.partition != record->partition;
  if (current_machine.revision == 0) {
    current_machine.known_since = now;
    current_machine.has_booted = current_machine.has_booted || record->has_booted;
  } else if (moved) {
    current_machine.has_booted = true;
  }
  current_machine.record = *record;
  current_machine.revision = revision;
  add_to_partition_sets(index, *record);
  if (record->mark == MachineMark::deleting) {
    set_state(index, MachineState::deleting, now);
  } else if (moved) {
    current_machine.in_partition_since = current_machine.idle_since = now;
    current_machine.inherited = false;
    current_machine.last_answered_report_at = -1;
    current_machine.first_report_at = -1;
    current_machine.agent_epoch = current_machine.report_sequence = current_machine.first_fencing_token =
        current_machine.lost_responses = 0;
    // A machine is moved only with nothing possibly on it, so there is nothing to account for.
    set_state(index,
              current_machine.placed_tasks.empty() ? MachineState::expected : MachineState::unreconciled,
              now);
  }
}

void ClusterState::failover(PartitionIndex partition, Seconds now) {
  for (MachineIndex i : partition_machines_[partition.value]) {
    Machine& current_machine = edit_machine(i);
    current_machine.last_answered_report_at = -1;
    current_machine.first_report_at = -1;
    current_machine.agent_epoch = current_machine.report_sequence =
        0;  // reports held back from an earlier term must not pass for news
    current_machine.first_fencing_token = current_machine.lost_responses = 0;
    current_machine.last_placement_revision =
        0;  // an owner in between may have moved it: the claim's stamp is higher
    current_machine.in_partition_since = current_machine.idle_since = now;
    current_machine.inherited = true;
    if (current_machine.state != MachineState::deleting) {
      set_state(i, current_machine.placed_tasks.empty() ? MachineState::expected : MachineState::unreconciled,
                now);
    }
    for (TaskId id : current_machine.placed_tasks) {
      Placement* placement = edit_placement(id);
      if (placement == nullptr) continue;
      placement->inherited = true;
      placement->started_at = now;
      // Its predecessor's clock goes on where the record tells when it was placed: a little late, since the
      // start order followed later and clocks differ. (Begun anew, what takes over flags later than an
      // unbroken owner, and what then finishes would count as short, and flag others too early.)
      double since = job(id.job).spec.submitted_at;
      if (settings.progress.enabled && placement->placed_after_s >= 0 && wall_clock_offset_s != 0 &&
          since > 0) {
        double late = settings.report_interval_s + clock_skew_tolerance_s;
        double elapsed = now + wall_clock_offset_s - since - placement->placed_after_s - late;
        placement->started_at = std::max(1e-3, now - std::max(0.0, elapsed));
        // Has begun, as its earlier owner saw: after a crash of all controllers every old job looked as if it
        // never had, and one that really had not waited behind hundreds (374 s, with 250 machines lost).
        if (elapsed > longest_image_fetch_s(*this, job(id.job).spec) + counts_as_started_after_s)
          record_task_start(job(id.job), placement->task);
      }
      placement->sent_report_sequence = placement->sent_agent_epoch = 0;
      placement->restart_requested = false;
      // What this node knew from an earlier term is void: an owner in between may have started it again.
      bool stop = placement->restarting || job(id.job).phase == JobPhase::cancelled;
      placement->termination_timeout_s =
          job(id.job).phase == JobPhase::cancelled ? 0 : job(id.job).spec.flush_s;
      set_state(*placement, stop ? PlacementState::stopping : PlacementState::placed, now);
    }
  }
  for (JobIndex job_index : live_jobs_[partition.value]) {
    dirty_jobs.insert(job_index);
    if (settings.progress.enabled) {
      Job& current_job = job(job_index);
      std::vector<checkpoint::FinishedTask> finishes;
      for (const auto& [c, chunk] : current_job.chunks)
        finishes.insert(finishes.end(), chunk.finishes.begin(), chunk.finishes.end());
      current_job.finished_run_times = checkpoint::run_times_by_finish(std::move(finishes));
      current_job.slow_baseline_s = -1;
      current_job.unrecorded_finishes.clear();
      // What has saved progress has begun; of a gang all of it.
      for (const auto& [t, s] : current_job.checkpoints) {
        if (!s.any()) continue;
        for (TaskNumber of = t;
             of < (current_job.spec.shape == JobShape::gang ? current_job.spec.tasks : t + 1); ++of)
          record_task_start(current_job, of);
      }
    }
    // A placement is written only beside its machine's record, and the record goes only once the machine is
    // gone for certain. The earlier owner knew that but may have ended before it wrote so: without this the
    // task would wait for ever for a machine that nobody can hear or delete.
    for (auto& [t, p] : job(job_index).placements) {
      if (machine(p.machine).revision != 0) continue;
      p.cause = EndCause::none;
      set_state(p, PlacementState::terminated, now);
    }
  }
}

}  // namespace oxbowmill
