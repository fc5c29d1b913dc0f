// Builds a transaction that brings a job's records up to date. Owns the parts collected so far; created for
// one job and used once.
#pragma once

#include <map>

#include "oxbowmill/scheduling/transaction_queue.h"

namespace oxbowmill {

/// Collects the changed chunks of a job, as many as fit in one transaction; the others are left for the next.
class JobTransactionBuilder {
 public:
  /// `planned` holds the tasks to be placed. `state` and `planned` must outlive this object.
  JobTransactionBuilder(ClusterState& state, JobIndex job_index, const std::vector<PlacedTask>& planned,
                        Seconds now);

  /// Determines which chunks change. Returns whether there is anything to write.
  [[nodiscard]] bool collect_changes();
  /// Returns the transaction for the collected chunks; to be called once, after `collect_changes`.
  JobTransaction build(const Guard& ownership_guard);

 private:
  bool is_open() const { return job_.phase == JobPhase::open; }
  /// Whether the job is over and all its tasks are off their machines.
  bool is_cleanup() const { return job_.is_final() && ended_count_ == job_.placements.size(); }
  /// Adds the task's chunk to the collected ones. Returns whether it fits in the transaction.
  bool collect_chunk_of(TaskNumber task);
  void add_chunk(std::uint32_t chunk_number, ChunkRecord& record);
  void add_placements(std::uint32_t chunk_number, ChunkRecord& record);
  void add_finish(const Placement& placement, ChunkRecord& record);
  void add_planned(std::uint32_t chunk_number, ChunkRecord& record);
  void add_checkpoints(std::uint32_t chunk_number, ChunkRecord& record) const;
  void add_placement_guards();
  void add_end_of_job();
  bool can_delete_all_records() const;
  void delete_all_records(JobPhase final_phase);
  void delete_some_chunks();
  Urgency urgency() const;

  ClusterState& state_;
  JobIndex job_index_;
  Job& job_;
  const std::vector<PlacedTask>& planned_;
  Seconds now_;
  std::map<std::uint32_t, ChunkRecord> records_;  // by chunk number
  std::size_t ended_count_ = 0;
  bool has_finished_ = false, has_terminated_ = false;
  std::uint32_t done_count_;  // number of done tasks once the transaction is applied
  JobTransaction result_;
};

}  // namespace oxbowmill
