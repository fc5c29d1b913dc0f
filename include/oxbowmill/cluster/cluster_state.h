// The state of the cluster as one controller knows it: jobs, machines, placements, owners, decisions and
// accounts. Durable changes enter through `apply`; agents' reports and the owner's own steps enter through
// `set_state` and the `edit_` functions. Each table owns its data; ClusterState keeps placements, usage and
// the sets of changed jobs and machines consistent with one another. Not thread-safe and not re-entrant:
// one event loop uses it. A reference to a machine is valid until a machine is added, a reference to a job
// until that job is erased.
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
  DecisionRecord record;          ///< state and details of the decision
  Revision revision = no_record;  ///< revision of the record
};

/// All tables of one controller, and the functions that change more than one of them.
class ClusterState {
 public:
  /// Starts with empty tables for the partitions in `initial_names`.
  ClusterState(Settings initial_settings, Names initial_names);

  /// Applies a durable change. Both the controller's own transactions and the watch use this function, and
  /// durable facts enter in no other way.
  void apply(const Change& change, Revision revision, Seconds now);
  /// Prepares the partition's machines, placements and jobs for reconciliation after this controller has
  /// become its owner.
  void failover(PartitionIndex partition, Seconds now);
  /// Changes a placement's state. No other code does so.
  void set_state(Placement& placement, PlacementState new_state, Seconds now);
  /// Changes a machine's state. No other code does so.
  void set_state(MachineIndex machine_index, MachineState new_state, Seconds now);

  // Jobs.

  /// The job's index. Adds an empty job if the name is new.
  JobIndex intern_job(const std::string& ref) { return jobs_.intern(ref); }
  /// The job's index, or an invalid one if the job is not known.
  JobIndex find_job(const std::string& ref) const { return jobs_.find(ref); }
  /// A known job. Throws std::out_of_range for any other.
  Job& job(JobIndex job_index) { return jobs_.at(job_index); }
  /// A known job. Throws std::out_of_range for any other.
  const Job& job(JobIndex job_index) const { return jobs_.at(job_index); }
  /// The job, or null if it has no record.
  Job* live_job(JobIndex job_index) { return jobs_.live(job_index); }
  /// The job, or null if it has no record.
  const Job* live_job(JobIndex job_index) const { return jobs_.live(job_index); }
  /// The job, or null if it is not known; a known job may have placements but no record.
  const Job* known_job(JobIndex job_index) const { return jobs_.known(job_index); }
  /// Jobs of the partition that have a record.
  const std::set<JobIndex>& live_jobs(PartitionIndex partition) const { return jobs_.live_in(partition); }
  /// Limits that durable decisions set on the job's placements.
  PlacementLimits placement_limits(JobIndex job_index) const;
  /// Number of the job's pending tasks that durable decisions allow to be placed now.
  std::uint32_t placeable_task_count(JobIndex job_index) const;
  /// The lowest-numbered tasks that are neither done nor placed, at most `max_count`.
  std::vector<TaskNumber> pending_tasks(Job& current_job, std::size_t max_count) const {
    return current_job.pending_tasks(max_count);
  }

  // Machines.

  /// The machine's index. Adds an empty machine if the name is new.
  MachineIndex intern_machine(const std::string& name);
  /// The machine's index, or an invalid one if the state service holds no record of it.
  MachineIndex find_recorded(const std::string& name) const;
  /// The type's index. If the name is new and the catalog is known, adds an empty catalog entry.
  TypeIndex intern_type(const std::string& name);
  /// Number of machine indices in use, including machines without a record.
  std::uint32_t machine_count() const { return machines_.size(); }
  /// A machine, for reading.
  const Machine& machine(MachineIndex machine_index) const { return machines_.at(machine_index); }
  /// A machine, for modification; marks it as changed.
  Machine& edit_machine(MachineIndex machine_index) { return machines_.edit(machine_index); }
  /// Machines that were opened for modification, or one of whose placements was, since the last call. Each is
  /// listed once.
  std::vector<MachineIndex> take_changed_machines() { return machines_.take_changed(); }
  /// Machines of the partition.
  const std::set<MachineIndex>& machines_of(PartitionIndex partition) const {
    return machines_.in_partition(partition);
  }
  /// Machines of other partitions that are to be handed over to this one.
  const std::set<MachineIndex>& machines_requested_by(PartitionIndex partition) const {
    return machines_.requested_by(partition);
  }
  /// Records that a task of the job uses its image on the machine.
  void mark_image_used(Machine& current_machine, const JobSpec& spec);
  /// Whether the machine's cache holds the image.
  static bool has_image(const Machine& machine, ImageIndex image) { return machine.has_image(image); }
  /// Whether the cloud's catalog of types has been read.
  bool catalog_known() const { return !catalog.empty(); }

  // Placements and capacity.

  /// The task's placement, or null if it has none.
  const Placement* find_placement(TaskId id) const;
  /// The task's placement, for modification, or null if it has none; marks its machine as changed.
  Placement* edit_placement(TaskId id);
  /// Capacity that is neither used nor reserved; zero while the machine's type is not in the catalog.
  Resources free_capacity(const Machine& machine) const;
  /// Reserves (`sign` 1) or releases (`sign` -1) capacity and quota for a task whose placement is being
  /// written.
  void reserve(MachineIndex machine_index, const JobSpec& spec, int sign);
  /// Part of the team's quota that its tasks and reservations use.
  const Resources& team_usage(PartitionIndex partition) const { return usage_.team_usage(partition); }
  /// Capacity that ended tasks have freed since this controller started, measured in machines.
  double freed_machine_equivalents() const { return usage_.freed_machine_equivalents(); }

  // Owners.

  /// Number of partitions, the idle pool included.
  std::uint32_t partition_count() const { return names.partitions.size(); }
  /// The partition's owner; its revision is `no_record` if there is none.
  const Ownership& ownership(PartitionIndex partition) const { return owners_.ownership(partition); }
  /// Live controllers by name.
  const std::map<std::string, LiveController>& controllers() const { return owners_.controllers(); }
  /// Time by which this controller had learned of the present lease of every controller. Any response that a
  /// controller sent under an earlier lease was sent before that time. Below 0: a controller is missing.
  Seconds all_leases_reacquired_since() const;
  /// Lowest fencing token that only the present owner can have given the machine.
  Revision lowest_fencing_token(const Machine& machine) const;
  /// Fencing token for the next response to the machine.
  Revision fencing_token(const Machine& machine) const;

  Settings settings;                                  ///< configuration
  Names names;                                        ///< names of everything that has an index
  double wall_clock_offset_s = 0;                     ///< time of day minus steady clock; 0: not known
  AccountingTables accounting;                        ///< bids, ledger and markets
  std::map<std::string, Decision> decisions;          ///< by kind/name
  const PlacementConstraints* constraints = nullptr;  ///< null: no decision limits placements
  std::vector<MachineType> catalog;                   ///< by type; empty until it has been read
  std::vector<double> image_gb;                       ///< image sizes in GB, by image
  std::set<JobIndex> dirty_jobs;            ///< jobs whose placements, phase or pending tasks changed
  std::set<MachineIndex> machines_to_wake;  ///< machines to which kill commands have to be sent at once

 private:
  void apply_job(JobIndex job_index, const JobRecord* record, Revision revision, Seconds now);
  void apply_chunk(const ChunkKey& key, const ChunkRecord* record, Revision revision, Seconds now);
  void apply_machine(MachineIndex machine_index, const MachineRecord* record, Revision revision, Seconds now);
  void apply_ownership(PartitionIndex partition, const OwnershipRecord* record, Revision revision,
                       Seconds now);
  void apply_decision(const std::string& name, const DecisionRecord* record, Revision revision);
  /// Adds a job whose record is seen for the first time.
  void add_job(JobIndex job_index, const JobSpec& spec, Seconds now);
  void remove_job_record(JobIndex job_index);
  void stop_placements(Job& current_job, Seconds now);
  void remove_machine_record(MachineIndex machine_index, Seconds now);
  void remove_unlisted_placements(Job& current_job, std::uint32_t chunk, const ChunkRecord& record,
                                  Seconds now);
  void add_placement(Job& current_job, const PlacedTask& placed_task, JobIndex job_index, Seconds now);
  void remove_placement(Job& current_job, std::map<TaskNumber, Placement>::iterator placement_it,
                        Seconds now);
  /// Adds or removes the capacity and quota that a task uses from its placement until it is proved to be off
  /// its machine.
  void change_usage(const Job& job, const Placement& placement, UsageChange change);
  void erase_if_unused(JobIndex job_index);

  JobTable jobs_;
  MachineTable machines_;
  CapacityUsage usage_;
  OwnershipTable owners_;
};

}  // namespace oxbowmill
