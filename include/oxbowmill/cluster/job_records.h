// Durable records of jobs and of their tasks, in chunks of tasks. Plain data.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "oxbowmill/checkpoint/saved_progress.h"
#include "oxbowmill/cluster/types.h"

namespace oxbowmill {

/// Tasks per chunk record. It must never change, because it is part of the key layout.
constexpr TaskNumber tasks_per_chunk = 64;

/// A task's durable placement on a machine.
struct PlacedTask {
  TaskNumber task = 0;      ///< position in its job
  MachineIndex machine;     ///< machine on which it was placed
  Attempt attempt = 0;      ///< attempt that was placed there
  bool restarting = false;  ///< is stopped as slow; durable before the kill command is sent
  /// Seconds from the job's submission to this placement, by whichever owner; below 0: not known.
  double placed_after_s = time_not_set;
};

/// The record of one chunk of a job's tasks.
struct ChunkRecord {
  std::uint64_t done = 0;              ///< bit per task: has finished
  std::uint64_t restarted = 0;         ///< bit per task: was restarted as slow (at most once)
  std::vector<PlacedTask> placements;  ///< tasks that may be on a machine
  /// Saved progress that tasks resume from; a gang's is stored under its first task. Optional.
  std::map<TaskNumber, checkpoint::SavedProgress> checkpoints;
  std::vector<checkpoint::FinishedTask> finishes;  ///< run times of finished tasks; optional
};

/// The record of a job.
struct JobRecord {
  JobSpec spec;                     ///< as submitted
  JobPhase phase = JobPhase::open;  ///< phase of the job
};

}  // namespace oxbowmill
