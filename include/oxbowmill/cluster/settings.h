// Everything the decisions need to know of their surroundings, with names already mapped to indices. Read
// from the deploy file and the operators' file; plain data apart from the derived times (docs/design.md,
// "Time").
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "oxbowmill/checkpoint/saved_progress.h"
#include "oxbowmill/cluster/types.h"

namespace oxbowmill {

/// A team's share of the cluster.
struct Team {
  Resources guaranteed;  ///< capacity that it gets when it needs it; 0: none
  Resources limit;       ///< quota that it never exceeds; 0: no limit
};

/// What operators may set. Times in seconds.
struct OperatorSettings {
  // Slow-task detection.
  double finished_ratio = 0.75;  ///< R: fraction of tasks that must have finished before any counts as slow
  double slow_multiplier = 1.5;  ///< M: times the median run time of finished tasks
  double baseline_floor_s = 20;  ///< B: no task counts as slow sooner than this
  double slow_block_s = 30;      ///< how long a slow machine takes no new tasks
  double slow_check_interval_s = 1;  ///< time between two checks
  bool restart_slow = true;          ///< whether slow tasks are restarted elsewhere
  // Leases.
  double controller_lease_s = 4;  ///< duration of a controller's lease
  // Machines.
  double idle_retention_s = 10;      ///< an idle machine is kept this long before it is returned
  double spot_retention_factor = 3;  ///< times as long for spot machines
  double release_to_pool_s = 10;   ///< until an idle machine of a partition without pending tasks is released
  double boot_timeout_factor = 5;  ///< times the type's boot time until a machine counts as stuck
  double refusal_backoff_s = 10;   ///< after the cloud refused a request
  double scale_out_delay_s = 5;    ///< a job waits this long for capacity before machines are requested
  double start_deadline_s = 240;   ///< by then a job that can run has started all tasks; 0: no deadline
  double start_deadline_share = 0.25;  ///< of a partition's machines for critical jobs ahead of priority
  bool use_spot = true;                ///< whether spot machines are requested
  bool preempt = true;                 ///< whether tasks are preempted
  double cloud_list_interval_s = 4;    ///< time between two listings of the cloud's machines
  double done_mark_delay_s = 20;   ///< under write load, done marks that nobody needs are postponed so long
  double cycle_interval_s = 0.05;  ///< time between two scheduling cycles
};

/// The indices of everything that has a name.
struct Names {
  NameTable<PartitionIndex> partitions;  ///< 0: the idle pool, owned by the leader; then one per team
  NameTable<ZoneIndex> zones;            ///< zones
  NameTable<TypeIndex> types;            ///< machine types
  NameTable<ImageIndex> images;          ///< container images
  NameTable<ClassIndex> classes;         ///< job classes
  NameTable<MachineIndex> machines;      ///< machines
  NameTable<MarketIndex> markets;        ///< markets
};

/// Configuration of one controller. Times in seconds, rates per second.
struct Settings {
  std::string controller_name;               ///< its own name
  std::uint32_t controller_count = 1;        ///< number of controllers
  std::vector<std::string> all_controllers;  ///< names of all controllers, its own included
  std::vector<Team> teams;                   ///< by partition; [0] is unused
  double report_interval_s = 1;              ///< between two heartbeats of an agent
  double lease_s = 10;                       ///< duration of a machine's lease
  double gang_wait_timeout_s = 30;           ///< for which a gang's members wait for one another
  double gang_peer_timeout_s = 8;            ///< until a gang's member notices that a peer is gone
  double cancel_deadline_s = 40;             ///< by then nothing of a cancelled job may run
  double state_rps = 100;                    ///< requests to the state service
  double state_write_rps = 20;               ///< writes to the state service
  double max_value_kb = 4;                   ///< size limit of a record
  std::size_t max_transaction_ops = 12;      ///< guards and changes of one transaction
  int socket_limit = 0;                      ///< open connections; 0: no limit
  std::vector<double> deadline_multiples;    ///< of a job's deadline, as the users' aims name them; ascending
  double cloud_rps = 2;                      ///< requests to the cloud
  double cloud_list_lag_s = 4;               ///< age of what the cloud lists
  OperatorSettings operator_settings;        ///< what operators set
  checkpoint::Settings progress;             ///< estimation of saved progress

  static constexpr double clock_drift = 0.0005;        ///< relative error of a clock's rate
  static constexpr double clock_skew_tolerance_s = 3;  ///< more than times of day of two nodes differ by
  static constexpr double safety_margin_s = 1.0;       ///< added where a lease has to be over for certain
  static constexpr double report_timeout_s = 4.0;      ///< an agent drops later responses
  /// This long after we answered a report nothing of its session is left: the machine's lease counts from
  /// when the report was sent, and an answer that comes after its time-out renews and starts nothing.
  double lease_expiry_s() const {
    return std::max(lease_s, report_timeout_s) * (1 + 2 * clock_drift) + safety_margin_s;
  }
  /// How long a controller whose lease has ended keeps tasks alive without ordering anything.
  double read_only_period_s() const;
  /// A machine that changes its owner, or whose owner has just started, reports to it within this time.
  double first_report_timeout_s() const { return 2 * report_interval_s + report_timeout_s; }
  /// Silence after a failover that proves that a machine runs nothing of the earlier owner.
  double failover_silence_s() const {
    return read_only_period_s() * (1 + 2 * clock_drift) + lease_expiry_s();
  }
};

/// The partition of machines that no team uses; its owner is the leader.
constexpr PartitionIndex idle_pool{0};

}  // namespace oxbowmill
