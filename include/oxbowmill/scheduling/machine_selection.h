// Selection of machines for a job's tasks: which machines are allowed, and which are preferred. Stateless
// functions. Times in seconds.
#pragma once

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill {

/// One task and the machine chosen for it.
struct TaskAssignment {
  TaskNumber task = 0;        ///< number of the task in its job
  std::size_t candidate = 0;  ///< index in the list of candidates
};

/// Free or expected capacity of a machine, as a candidate for tasks during a cycle.
struct CandidateMachine {
  MachineIndex machine;        ///< the machine
  TypeIndex type;              ///< machine type
  ZoneIndex zone;              ///< zone of the machine
  bool spot = false;           ///< whether it is a spot machine
  Seconds available_in_s = 0;  ///< seconds until the capacity is free
  Resources free_capacity;     ///< capacity that is not reserved for a task yet
  /// Rank of what it takes to get the capacity. 0: it is the partition's own, 1: an idle machine of another
  /// partition is moved, 2: other tasks are preempted.
  int acquisition_cost = 0;
  Seconds start_s = 0;  ///< seconds until a task of the job could run: the wait and the fetch of its image
  bool long_running = false;  ///< whether services run on it
  /// Cost for other jobs, as the seconds by which the job may start later to avoid this machine.
  Seconds opportunity_cost_s = 0;
  bool excluded = false;  ///< whether the job must not use it
  /// Seconds that the fetches in progress on the machine take; a further fetch would share the rate with
  /// them.
  Seconds fetch_backlog_s = 0;
};

/// Whether the job's tasks share machines of this type with tasks of others: an array job that accepts spot
/// machines and of which two or more tasks fit on one machine.
bool packs_with_others(const JobSpec& spec, const MachineType& type);
/// Whether the whole machine is free, judged by its free capacity.
bool is_whole_machine_free(const CandidateMachine& candidate, const MachineType& type);

/// Seconds that a machine of this type takes to fetch the job's image.
Seconds fetch_time(const JobSpec& spec, const MachineType& type);
/// What a task of the job on such a machine costs other jobs, as the seconds by which the job may start later
/// to avoid it.
Seconds opportunity_cost(const JobSpec& spec, const MachineType& type, const CandidateMachine& candidate);
/// Sets `start_s` and `opportunity_cost_s` of the candidates for this job. With `has_start_deadline`,
/// `start_s` includes the fetches in progress on the machine.
void evaluate_for_job(const JobSpec& spec, const ClusterState& state,
                      std::vector<CandidateMachine>& candidates, bool has_start_deadline = false);
/// Seconds until the last of the assigned tasks could run; 0 if none is assigned.
Seconds last_start_s(const std::vector<TaskAssignment>& choices,
                     const std::vector<CandidateMachine>& candidates);

/// Whether the job allows machines of this type and zone, and spot machines if `spot` is set.
bool is_allowed_on(const JobSpec& spec, TypeIndex type, ZoneIndex zone, bool spot);
/// Whether some type and zone of the catalog, which must be known, can hold a task of the job. A job of two
/// or more tasks that spreads over zones needs two such zones.
bool can_ever_run(const JobSpec& spec, const std::vector<MachineType>& catalog);

/// Number of the job's placed tasks by zone; tasks of earlier attempts that are not proved to have ended
/// count.
std::vector<std::uint32_t> tasks_by_zone(const ClusterState& state, const Job& job);

/// Chooses machines for as many of these tasks of the job as fit; a gang gets all or none. Subtracts the
/// tasks from the free capacity of the chosen candidates. `tasks_per_zone` counts the job's tasks that are
/// placed already.
std::vector<TaskAssignment> choose_machines(const JobSpec& spec, const std::vector<TaskNumber>& tasks,
                                            std::vector<CandidateMachine>& candidates,
                                            std::vector<std::uint32_t> tasks_per_zone);

}  // namespace oxbowmill
