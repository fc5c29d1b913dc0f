// Configuration that scheduling depends on, with names already mapped to indices. It is read from the deploy
// file and the operators' file. Plain data apart from the derived times (docs/design.md, "Time").
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
  Resources guaranteed;  ///< capacity that the team gets whenever it needs it; 0: none
  Resources limit;       ///< quota that the team never exceeds; 0: no limit
};

/// Settings that operators may change. Times in seconds.
struct OperatorSettings {
  // Slow-task detection.
  double finished_ratio = 0.75;  ///< R: fraction of tasks that must have finished before any counts as slow
  double slow_multiplier = 1.5;  ///< M: multiple of the median run time of finished tasks
  double baseline_floor_s = 20;  ///< B: no task counts as slow before this run time
  double slow_block_s = 30;      ///< how long a slow machine gets no new tasks
  double slow_check_interval_s = 1;  ///< time between two checks for slow tasks
  bool restart_slow = true;          ///< whether slow tasks are restarted elsewhere
  // Leases.
  double controller_lease_s = 4;  ///< duration of a controller's lease
  // Machines.
  double idle_retention_s = 10;      ///< how long an idle machine is kept before it is returned
  double spot_retention_factor = 3;  ///< multiple of `idle_retention_s` for spot machines
  double release_to_pool_s = 10;     ///< how long a partition without waiting jobs keeps an empty machine
  double boot_timeout_factor = 5;  ///< multiple of the type's boot time after which a machine counts as stuck
  double refusal_backoff_s = 10;   ///< back-off after the cloud refused a request
  double scale_out_delay_s = 5;    ///< how long a job waits for capacity before machines are requested for it
  double start_deadline_s = 240;   ///< time for a job that can run to start all its tasks; 0: no deadline
  double start_deadline_share = 0.25;  ///< fraction of a partition's machines that critical jobs get first
  bool use_spot = true;                ///< whether spot machines are requested
  bool preempt = true;                 ///< whether tasks are preempted
  double cloud_list_interval_s = 4;    ///< time between two listings of the cloud's machines
  double done_mark_delay_s = 20;   ///< longest delay of done marks that no work waits for, under write load
  double cycle_interval_s = 0.05;  ///< time between two scheduling cycles
};

/// Name tables of everything that has an index.
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
  std::string controller_name;               ///< name of this controller
  std::uint32_t controller_count = 1;        ///< number of controllers
  std::vector<std::string> all_controllers;  ///< names of all controllers, including this one
  std::vector<Team> teams;                   ///< by partition; the entry of the idle pool, [0], is unused
  double report_interval_s = 1;              ///< time between two heartbeats of an agent
  double lease_s = 10;                       ///< duration of a machine's lease
  double gang_wait_timeout_s = 30;           ///< how long the members of a gang wait for one another
  double gang_peer_timeout_s = 8;            ///< time until a gang member notices that a peer is gone
  double cancel_deadline_s = 40;             ///< time after which no task of a cancelled job may run
  double state_rps = 100;                    ///< request rate limit of the state service
  double state_write_rps = 20;               ///< write rate limit of the state service
  double max_value_kb = 4;                   ///< size limit of a record, in KB
  std::size_t max_transaction_ops = 12;      ///< limit on the guards and changes of one transaction
  int socket_limit = 0;                      ///< limit on open connections; 0: no limit
  std::vector<double> deadline_multiples;    ///< multiples of a job's deadline in service levels; ascending
  double cloud_rps = 2;                      ///< request rate limit of the cloud
  double cloud_list_lag_s = 4;               ///< how far the cloud's listings may lag behind
  OperatorSettings operator_settings;        ///< settings that operators may change
  checkpoint::Settings progress;             ///< estimation of saved progress

  static constexpr double clock_drift = 0.0005;        ///< bound of the relative error of a clock's rate
  static constexpr double clock_skew_tolerance_s = 3;  ///< bound of the difference of two hosts' times of day
  static constexpr double safety_margin_s = 1.0;       ///< added where a lease must have ended for certain
  static constexpr double report_timeout_s = 4.0;      ///< an agent drops responses that arrive later
  /// Seconds after the response to a report by which the agent runs nothing of that session any more,
  /// unless a later report is answered. The machine's lease counts from when the report was sent, and a
  /// response that arrives after the report's timeout neither renews the lease nor starts a task.
  double lease_expiry_s() const {
    return std::max(lease_s, report_timeout_s) * (1 + 2 * clock_drift) + safety_margin_s;
  }
  /// Seconds for which a controller whose lease has ended keeps tasks alive without sending commands.
  double read_only_period_s() const;
  /// Seconds within which a machine reports to a new owner, or to an owner that has just started.
  double first_report_timeout_s() const { return 2 * report_interval_s + report_timeout_s; }
  /// Seconds of silence after a failover that prove that a machine runs no task of the earlier owner.
  double failover_silence_s() const {
    return read_only_period_s() * (1 + 2 * clock_drift) + lease_expiry_s();
  }
};

/// Partition of the machines that no team uses. Its owner is the leader.
constexpr PartitionIndex idle_pool{0};

}  // namespace oxbowmill
