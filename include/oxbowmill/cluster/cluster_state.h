// The state of the cluster as one controller knows it: jobs, machines, placements, owners, decisions and
// accounts. Durable changes enter by `apply`; agents' reports and the owner's own steps enter by `set_state`
// and the `edit_` functions. Composed of tables that own their data; this class owns what spans them: that
// placements, usage and the sets of changed things agree. Not thread-safe and not re-entrant: one event loop
// uses it. References to machines end when a machine is added, references to jobs when the job is erased.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/cluster/accounting_tables.h"
#include "oxbowmill/cluster/capacity_usage.h"
#include "oxbowmill/cluster/job_table.h"
#include "oxbowmill/cluster/machine_table.h"
#include "oxbowmill/cluster/ownership_table.h"
#include "oxbowmill/cluster/placement_constraints.h"
#include "oxbowmill/cluster/settings.h"

namespace oxbowmill {

/// A durable decision and its revision.
struct Decision {
  DecisionRecord record;          ///< what was decided
  Revision revision = no_record;  ///< of the record
};

/// All tables of one controller.
class ClusterState {
 public:
  /// Empty tables for the partitions that `names` holds.
  ClusterState(Settings initial_settings, Names initial_names);

  /// The one way in which a durable fact enters: own transactions and the watch both use it.
  void apply(const Change& change, Revision revision, Seconds now);
  /// This controller has become the partition's owner: what it inherits has to be reconciled.
  void failover(PartitionIndex partition, Seconds now);
  /// The only place where a placement's state changes.
  void set_state(Placement& placement, PlacementState new_state, Seconds now);
  /// The only place where a machine's state changes.
  void set_state(MachineIndex machine_index, MachineState new_state, Seconds now);

  // Jobs.

  /// The job's index; adds an empty job under a new name.
  JobIndex intern_job(const std::string& ref) { return jobs_.intern(ref); }
  /// The job's index, or an invalid one where nothing of it is known.
  JobIndex find_job(const std::string& ref) const { return jobs_.find(ref); }
  /// A known job. Throws std::out_of_range for any other.
  Job& job(JobIndex job_index) { return jobs_.at(job_index); }
  /// A known job. Throws std::out_of_range for any other.
  const Job& job(JobIndex job_index) const { return jobs_.at(job_index); }
  /// Null where it has no record.
  Job* live_job(JobIndex job_index) { return jobs_.live(job_index); }
  /// Null where it has no record.
  const Job* live_job(JobIndex job_index) const { return jobs_.live(job_index); }
  /// Null where neither record nor placement of it is known.
  const Job* known_job(JobIndex job_index) const { return jobs_.known(job_index); }
  /// Jobs of the partition that have a record.
  const std::set<JobIndex>& live_jobs(PartitionIndex partition) const { return jobs_.live_in(partition); }
  /// What durable decisions allow the job.
  PlacementLimits placement_limits(JobIndex job_index) const;
  /// Of its pending tasks, how many may be placed now.
  std::uint32_t placeable_tasks(JobIndex job_index) const;
  /// The lowest tasks that are neither done nor placed, up to `most`.
  std::vector<TaskNumber> pending_tasks(Job& current_job, std::size_t most) const {
    return current_job.pending_tasks(most);
  }

  // Machines.

  /// The machine's index; adds an empty machine under a new name.
  MachineIndex intern_machine(const std::string& name);
  /// Invalid where the state service holds no record of it.
  MachineIndex find_recorded(const std::string& name) const;
  /// The type's index; adds an empty catalogue entry under a new name once the catalogue is known.
  TypeIndex intern_type(const std::string& name);
  /// Number of machine indices in use; machines without a record count.
  std::uint32_t machine_count() const { return machines_.size(); }
  /// A machine, for reading.
  const Machine& machine(MachineIndex machine_index) const { return machines_.at(machine_index); }
  /// A machine, for changing: it counts as changed.
  Machine& edit_machine(MachineIndex machine_index) { return machines_.edit(machine_index); }
  /// Machines that were, or whose placements were, opened for a change since this was last called, each once.
  std::vector<MachineIndex> take_changed_machines() { return machines_.take_changed(); }
  /// Machines of the partition.
  const std::set<MachineIndex>& machines_of(PartitionIndex partition) const {
    return machines_.in(partition);
  }
  /// Machines of other partitions that are to be handed over to this one.
  const std::set<MachineIndex>& machines_requested_by(PartitionIndex partition) const {
    return machines_.requested_by(partition);
  }
  /// Notes that a task of the job uses its image on the machine.
  void mark_image_used(Machine& current_machine, const JobSpec& spec);
  /// Whether the machine's cache holds the image.
  static bool has_image(const Machine& machine, ImageIndex image) { return machine.has_image(image); }
  /// Whether the cloud's catalogue of types has been read.
  bool catalog_known() const { return !catalog.empty(); }

  // Placements and capacity.

  /// Null where there is none.
  const Placement* find_placement(TaskId id) const;
  /// For changing it: its machine counts as changed. Null where there is none.
  Placement* edit_placement(TaskId id);
  /// Capacity that is neither used nor reserved; nothing while the machine's type is not in the catalogue.
  Resources free_capacity(const Machine& machine) const;
  /// Takes (1) or gives back (-1) capacity and quota for a task whose placement is being written.
  void reserve(MachineIndex machine_index, const JobSpec& spec, int sign);
  /// What the team's tasks and reservations use of its quota.
  const Resources& team_usage(PartitionIndex partition) const { return usage_.of_team(partition); }
  /// Machines' worth of capacity that ended tasks have freed since this controller started.
  double freed_machines() const { return usage_.freed_machines(); }

  // Owners.

  /// Number of partitions, the idle pool included.
  std::uint32_t partition_count() const { return names.partitions.size(); }
  /// The partition's owner.
  const Ownership& ownership(PartitionIndex partition) const { return owners_.ownership(partition); }
  /// Live controllers by name.
  const std::map<std::string, LiveController>& controllers() const { return owners_.controllers(); }
  /// Since when every controller has been known to act under its present lease only: what any of them
  /// answered under an earlier one was answered before. Below 0: one is missing.
  Seconds all_reacquired_since() const;
  /// Lowest fencing token that only the present owner can have given the machine.
  Revision lowest_fencing_token(const Machine& machine) const;
  /// Fencing token for the next response to the machine.
  Revision fencing_token(const Machine& machine) const;

  Settings settings;                                  ///< as configured
  Names names;                                        ///< of everything that has an index
  double wall_clock_offset_s = 0;                     ///< time of day minus steady clock; 0: not known
  AccountingTables accounting;                        ///< bids, ledger and markets
  std::map<std::string, Decision> decisions;          ///< by kind/name
  const PlacementConstraints* constraints = nullptr;  ///< null: no decision limits anything
  std::vector<MachineType> catalog;                   ///< by type; empty until it has been read
  std::vector<double> image_gb;                       ///< sizes, by image
  std::set<JobIndex> dirty_jobs;            ///< jobs whose placements, phase or pending tasks changed
  std::set<MachineIndex> machines_to_wake;  ///< machines with kills to be sent at once

 private:
  void apply_job(JobIndex job_index, const JobRecord* record, Revision revision, Seconds now);
  void apply_chunk(const ChunkKey& key, const ChunkRecord* record, Revision revision, Seconds now);
  void apply_machine(MachineIndex machine_index, const MachineRecord* record, Revision revision, Seconds now);
  void apply_ownership(PartitionIndex partition, const OwnershipRecord* record, Revision revision,
                       Seconds now);
  void apply_decision(const std::string& name, const DecisionRecord* record, Revision revision);
  /// First sight of a job's record.
  void add_job(JobIndex job_index, const JobSpec& spec, Seconds now);
  void remove_job_record(JobIndex job_index);
  void stop_placements(Job& current_job, Seconds now);
  void remove_machine_record(MachineIndex machine_index, Seconds now);
  void remove_unlisted_placements(Job& current_job, std::uint32_t chunk, const ChunkRecord& record,
                                  Seconds now);
  void add_placement(Job& current_job, const PlacedTask& placed_task, JobIndex job_index, Seconds now);
  void remove_placement(Job& current_job, std::map<TaskNumber, Placement>::iterator placement_it,
                        Seconds now);
  /// Capacity and quota that a task uses, from its placement until it is proved to be off its machine.
  void change_usage(const Job& job, const Placement& placement, UsageChange change);
  void erase_if_unused(JobIndex job_index);

  JobTable jobs_;
  MachineTable machines_;
  CapacityUsage usage_;
  OwnershipTable owners_;
};

}  // namespace oxbowmill
