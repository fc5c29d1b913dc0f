// Durable records of jobs and of their tasks, in chunks of tasks. Plain data.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "oxbowmill/checkpoint/saved_progress.h"
#include "oxbowmill/cluster/types.h"

namespace oxbowmill {

/// Tasks per placement record. Fixed for good: it is part of the key layout.
constexpr TaskNumber tasks_per_chunk = 64;

/// A task's durable placement on a machine.
struct PlacedTask {
  TaskNumber task = 0;      ///< position in its job
  MachineIndex machine;     ///< where it was placed
  Attempt attempt = 0;      ///< which start of it
  bool restarting = false;  ///< stopped as slow; the mark is durable before the stop is sent
  /// Seconds from the job's submission to the placement, by any owner; below 0: not known.
  double placed_after_s = time_not_set;
};

/// The record of one chunk of a job's tasks.
struct ChunkRecord {
  std::uint64_t done = 0;              ///< bit per task
  std::uint64_t restarted = 0;         ///< bit per task: has had its one restart
  std::vector<PlacedTask> placements;  ///< tasks that may be on a machine
  /// What tasks resume from, of a gang under its first. Optional.
  std::map<TaskNumber, checkpoint::SavedProgress> checkpoints;
  std::vector<checkpoint::FinishedTask> finishes;  ///< run times of finished tasks. Optional.
};

/// The record of a job.
struct JobRecord {
  JobSpec spec;                     ///< as submitted
  JobPhase phase = JobPhase::open;  ///< its phase
};

}  // namespace oxbowmill
