// Where a job's tasks may go and where they best go.
#pragma once

#include "oxbowmill/core/model.h"

namespace oxbowmill {

struct Choice {
  TaskNo task = 0;
  std::size_t node = 0;
};

/// Room on a machine, real or expected, while a pass fills it.
struct CandidateNode {
  MachineIndex machine;
  TypeIndex type;
  ZoneIndex zone;
  bool spot = false;
  Seconds wait_s = 0;  // until the room is there
  Amounts room;
  int cost = 0;         // what taking it costs beyond the room: 0 own, 1 idle elsewhere, 2 others' work stops
  Seconds start_s = 0;  // until a task of the job in question could run: the wait and its image's fetch
  bool lasting = false;    // services run there
  Seconds spoils_s = 0;    // what the place costs others, in seconds that the job in question gives up for it
  bool shut = false;       // not for the job in question
  Seconds fetching_s = 0;  // fetches under way there, which a further one would share the rate with
};

/// The job fills machines with others' tasks beside its own, and ends by itself; cheap machines will do.
bool fills_cheaply(const JobSpec& spec, const MachineType& type);
/// Nothing is on it, as far as its room tells.
bool is_whole(const CandidateNode& b, const MachineType& type);

/// How long a machine of this type takes to fetch the job's image.
Seconds fetch_time(const JobSpec& spec, const MachineType& type);
/// What a task of the job costs others on a node like this, in seconds that the job gives up for it.
Seconds spoils(const JobSpec& spec, const MachineType& type, const CandidateNode& node);
/// Fills in `start_s` and `spoils_s` for this job; `pressed`: one that has to begin soon looks at what else
/// is being fetched there as well.
void see_as(const JobSpec& spec, const Model& model, std::vector<CandidateNode>& bins, bool pressed = false);
/// When the last of the chosen tasks could run.
Seconds last_start(const std::vector<Choice>& choices, const std::vector<CandidateNode>& bins);

/// Type, zone and kind, as the job allows them.
bool allowed_on(const JobSpec& spec, TypeIndex type, ZoneIndex zone, bool spot);
/// Some listed type and zone can hold one task, and the zones are enough for a job that has to be in two (of
/// a catalog that is known).
bool can_ever_run(const JobSpec& spec, const std::vector<MachineType>& catalog);

/// Tasks per zone as they are possibly placed now, old attempts included.
std::vector<std::uint32_t> tasks_by_zone(const Model& model, const Job& job);

/// Chooses bins for these tasks of the job, at most as many as fit; a gang gets all or none. The rooms of the
/// chosen bins shrink. `by_zone` holds what the job already has.
std::vector<Choice> choose(const JobSpec& spec, const std::vector<TaskNo>& tasks,
                           std::vector<CandidateNode>& bins, std::vector<std::uint32_t> by_zone);

}  // namespace oxbowmill
