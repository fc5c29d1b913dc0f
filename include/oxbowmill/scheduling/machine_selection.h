// On which machines a job's tasks may run and on which they best run. Stateless; seconds.
#pragma once

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill {

/// One task and the machine chosen for it.
struct TaskAssignment {
  TaskNumber task = 0;        ///< of the job
  std::size_t candidate = 0;  ///< position in the list of candidates
};

/// Capacity of a machine, free or expected, while a cycle fills it.
struct CandidateMachine {
  MachineIndex machine;        ///< whose capacity
  TypeIndex type;              ///< its type
  ZoneIndex zone;              ///< its zone
  bool spot = false;           ///< a spot machine
  Seconds available_in_s = 0;  ///< until the capacity is there
  Resources free_capacity;     ///< not promised to a task yet
  /// What taking it costs beyond the capacity: 0 own, 1 idle elsewhere, 2 others' work stops.
  int acquisition_cost = 0;
  Seconds start_s = 0;  ///< until a task of the job in question could run: the wait and its image's fetch
  bool long_running = false;  ///< services run there
  /// What the place costs others, in seconds that the job in question gives up for it.
  Seconds opportunity_cost_s = 0;
  bool excluded = false;        ///< not for the job in question
  Seconds fetch_backlog_s = 0;  ///< fetches under way there, which a further one would share the rate with
};

/// The job fills machines with others' tasks next to its own, and ends by itself; spot machines will do.
bool packs_with_others(const JobSpec& spec, const MachineType& type);
/// Nothing runs on it, as far as its free capacity shows.
bool is_whole_machine_free(const CandidateMachine& right, const MachineType& type);

/// How long a machine of this type takes to fetch the job's image.
Seconds fetch_time(const JobSpec& spec, const MachineType& type);
/// What a task of the job costs others on a node like this, in seconds that the job gives up for it.
Seconds opportunity_cost(const JobSpec& spec, const MachineType& type, const CandidateMachine& node);
/// Fills in `start_s` and `opportunity_cost_s` for this job; `pressed`: one that has to begin soon looks at
/// what else is being fetched there as well.
void evaluate_for_job(const JobSpec& spec, const ClusterState& model, std::vector<CandidateMachine>& bins,
                      bool pressed = false);
/// When the last of the chosen tasks could run.
Seconds last_start(const std::vector<TaskAssignment>& choices, const std::vector<CandidateMachine>& bins);

/// Type, zone and kind, as the job allows them.
bool is_allowed_on(const JobSpec& spec, TypeIndex type, ZoneIndex zone, bool spot);
/// Some listed type and zone can hold one task, and the zones are enough for a job that has to be in two (of
/// a catalog that is known).
bool can_ever_run(const JobSpec& spec, const std::vector<MachineType>& catalog);

/// Tasks per zone as they are possibly placed now, old attempts included.
std::vector<std::uint32_t> tasks_by_zone(const ClusterState& model, const Job& job);

/// Chooses machines for these tasks of the job, at most as many as fit; a gang gets all or none. The free
/// capacity of the chosen ones shrinks. `by_zone` holds what the job already has.
std::vector<TaskAssignment> choose_machines(const JobSpec& spec, const std::vector<TaskNumber>& tasks,
                                            std::vector<CandidateMachine>& bins,
                                            std::vector<std::uint32_t> by_zone);

}  // namespace oxbowmill
