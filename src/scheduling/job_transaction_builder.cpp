#include "oxbowmill/scheduling/job_transaction_builder.h"

#include <algorithm>
#include <set>

namespace oxbowmill {

JobTransactionBuilder::JobTransactionBuilder(ClusterState& state, JobIndex job_index,
                                             const std::vector<PlacedTask>& planned, Seconds now)
    : state_(state),
      job_index_(job_index),
      job_(state.job(job_index)),
      planned_(planned),
      now_(now),
      done_count_(job_.done_count) {
  result_.job = job_index;
}

bool JobTransactionBuilder::collect_chunk_of(TaskNumber task) {
  if (records_.count(task / tasks_per_chunk) != 0) return true;
  if (records_.size() >= max_chunks_per_transaction(state_.settings)) return false;
  records_[task / tasks_per_chunk];
  return true;
}

bool JobTransactionBuilder::collect_changes() {
  bool has_update = false;
  for (auto& [task, placement] : job_.placements) {
    if (placement.state != PlacementState::reported) placement.restart_requested = false;
    bool changed = is_off_machine(placement.state) || (placement.restart_requested && !placement.restarting);
    if (changed && collect_chunk_of(task)) has_update = true;
    has_finished_ = has_finished_ || placement.state == PlacementState::finished;
    has_terminated_ = has_terminated_ || placement.state == PlacementState::terminated;
    ended_count_ += is_off_machine(placement.state) ? 1 : 0;
  }
  for (const PlacedTask& placed : planned_) {
    if (is_open() && collect_chunk_of(placed.task)) has_update = true;
  }
  return has_update || is_cleanup();
}

JobTransaction JobTransactionBuilder::build(const Guard& ownership_guard) {
  result_.txn.guards = {ownership_guard, {JobKey{job_index_}, job_.revision}};
  for (auto& [chunk_number, record] : records_) add_chunk(chunk_number, record);
  add_placement_guards();
  add_end_of_job();
  result_.urgency = urgency();
  return std::move(result_);
}

void JobTransactionBuilder::add_chunk(std::uint32_t chunk_number, ChunkRecord& record) {
  auto chunk = job_.chunks.find(chunk_number);
  Revision revision = 0;
  if (chunk != job_.chunks.end()) {
    record.done = chunk->second.done;
    record.restarted = chunk->second.restarted;
    record.finishes = chunk->second.finishes;
    revision = chunk->second.revision;
  }
  add_placements(chunk_number, record);
  add_planned(chunk_number, record);
  add_checkpoints(chunk_number, record);
  result_.txn.guards.push_back({ChunkKey{job_index_, chunk_number}, revision});
  result_.txn.changes.push_back({ChunkKey{job_index_, chunk_number}, record});
}

void JobTransactionBuilder::add_placements(std::uint32_t chunk_number, ChunkRecord& record) {
  for (auto it = job_.placements.lower_bound(chunk_number * tasks_per_chunk);
       it != job_.placements.end() && it->first < (chunk_number + 1) * tasks_per_chunk; ++it) {
    const Placement& placement = it->second;
    bool restarting = placement.restarting || placement.restart_requested;
    if (placement.state == PlacementState::finished) {
      add_finish(placement, record);
    } else if (placement.state == PlacementState::terminated) {
      // Without a cause no report has shown the task's end, so its agent has nothing to clear.
      if (placement.cause != EndCause::none)
        result_.released_tasks.push_back({placement.machine, placement.task, placement.attempt});
    } else {
      record.placements.push_back(
          {placement.task, placement.machine, placement.attempt, restarting, placement.placed_after_s});
    }
    if (restarting) record.restarted |= task_bit(placement.task);
  }
}

void JobTransactionBuilder::add_finish(const Placement& placement, ChunkRecord& record) {
  if ((record.done & task_bit(placement.task)) == 0) ++done_count_;
  auto finish = job_.unrecorded_finishes.find(placement.task);
  if (finish != job_.unrecorded_finishes.end()) record.finishes.push_back(finish->second);
  record.done |= task_bit(placement.task);
  result_.released_tasks.push_back({placement.machine, placement.task, placement.attempt});
}

void JobTransactionBuilder::add_planned(std::uint32_t chunk_number, ChunkRecord& record) {
  if (!is_open()) return;
  for (const PlacedTask& placed : planned_) {
    if (placed.task / tasks_per_chunk != chunk_number) continue;
    record.placements.push_back(placed);
    if (state_.settings.progress.enabled && state_.wall_clock_offset_s != 0)
      record.placements.back().placed_after_s =
          std::max(0.0, now_ + state_.wall_clock_offset_s - job_.spec.submitted_at);
    result_.placed_tasks.push_back(placed);
  }
}

void JobTransactionBuilder::add_checkpoints(std::uint32_t chunk_number, ChunkRecord& record) const {
  for (auto it = job_.checkpoints.lower_bound(chunk_number * tasks_per_chunk);
       it != job_.checkpoints.end() && it->first < (chunk_number + 1) * tasks_per_chunk; ++it) {
    if ((record.done & task_bit(it->first)) == 0 && it->second.may_be_nonzero())
      record.checkpoints.insert(*it);
  }
}

void JobTransactionBuilder::add_placement_guards() {
  if (result_.placed_tasks.empty()) return;
  std::set<MachineIndex> machines;
  for (const PlacedTask& placed : result_.placed_tasks) machines.insert(placed.machine);
  for (MachineIndex machine_index : machines)
    result_.txn.guards.push_back({MachineKey{machine_index}, state_.machine(machine_index).revision});
  // The placement fails if a decision that limits it has changed since.
  for (Guard& guard : state_.placement_limits(job_index_).guards)
    result_.txn.guards.push_back(std::move(guard));
}

void JobTransactionBuilder::add_end_of_job() {
  bool all_done = is_open() && done_count_ == job_.spec.tasks;
  if (!all_done && !is_cleanup()) return;
  JobPhase phase = all_done ? JobPhase::done : job_.phase;
  if (can_delete_all_records()) {
    delete_all_records(phase);
  } else if (all_done) {
    result_.txn.changes.push_back({JobKey{job_index_}, JobRecord{job_.spec, phase}});
  } else if (job_.placements.empty()) {
    delete_some_chunks();
  }
}

bool JobTransactionBuilder::can_delete_all_records() const {
  bool no_placements_left = std::all_of(records_.begin(), records_.end(),
                                        [](const auto& entry) { return entry.second.placements.empty(); });
  bool all_collected = std::all_of(job_.placements.begin(), job_.placements.end(), [&](const auto& entry) {
    return records_.count(entry.first / tasks_per_chunk) != 0;
  });
  std::size_t chunk_count = job_.chunks.size();
  for (const auto& [chunk_number, record] : records_) {
    chunk_count += job_.chunks.count(chunk_number) == 0 ? 1 : 0;
  }
  // The job's record and its final phase take one change each.
  return no_placements_left && all_collected && chunk_count + 2 <= state_.settings.max_transaction_ops;
}

void JobTransactionBuilder::delete_all_records(JobPhase final_phase) {
  Transaction& txn = result_.txn;
  txn.changes.clear();
  for (const auto& [chunk_number, chunk] : job_.chunks)
    txn.changes.push_back({ChunkKey{job_index_, chunk_number}, {}});
  txn.changes.push_back({JobKey{job_index_}, {}});
  txn.changes.push_back({FinalPhaseKey{job_index_}, final_phase});
}

void JobTransactionBuilder::delete_some_chunks() {
  Transaction& txn = result_.txn;
  for (const auto& [chunk_number, chunk] : job_.chunks) {
    if (txn.changes.size() + 1 >= state_.settings.max_transaction_ops) break;
    txn.changes.push_back({ChunkKey{job_index_, chunk_number}, {}});
  }
}

Urgency JobTransactionBuilder::urgency() const {
  // A terminated task of an open job cannot be placed again until its removal is durable.
  bool replaces = !result_.placed_tasks.empty() || (has_terminated_ && is_open());
  if (replaces) return Urgency::placement;
  return has_finished_ ? Urgency::done_mark : Urgency::other;
}

}  // namespace oxbowmill
