// Everything the decisions need to know of their surroundings, with names already mapped to indices.
#pragma once

#include <algorithm>

#include "oxbowmill/checkpoint/saved_progress.h"
#include "oxbowmill/cluster/types.h"

namespace oxbowmill {

struct Team {
  Resources guaranteed;  // 0: none
  Resources limit;       // 0: no limit
};

struct OperatorSettings {
  // The source's detector.
  double finished_ratio = 0.75;  // R
  double slow_multiplier = 1.5;  // M
  double baseline_floor_s = 20;  // B
  double slow_block_s = 30;      // how long a slow machine takes no new tasks
  double slow_check_interval_s = 1;
  bool restart_slow = true;
  // Leadership.
  double controller_lease_s = 4;
  // Fleet.
  double idle_retention_s = 10;      // an idle machine is kept this long before it is returned
  double spot_retention_factor = 3;  // times as long for spot machines
  double release_to_pool_s =
      10;  // an empty machine of a part without waiting work goes to the pool after this
  double boot_timeout_factor = 5;  // times the type's boot time until a machine counts as stuck
  double refusal_backoff_s = 10;
  double scale_out_delay_s = 5;   // a job waits this long for room before machines are rented for it
  double start_deadline_s = 240;  // every job that can run is to have begun with all its tasks; 0: no promise
  double start_deadline_share = 0.25;  // of a part's machines, that such jobs may take before other ranks
  bool use_spot = true;
  bool preempt = true;
  double cloud_list_interval_s = 4;
  double done_mark_delay_s = 20;  // while changes are many, done marks that nobody waits for wait so long
  double cycle_interval_s = 0.05;
};

/// Names and limits shared by all tables.
struct Names {
  NameTable<PartitionIndex> partitions;  // 0: the idle pool, owned by the leader; then one part per team
  NameTable<ZoneIndex> zones;
  NameTable<TypeIndex> types;
  NameTable<ImageIndex> images;
  NameTable<ClassIndex> classes;
  NameTable<MachineIndex> machines;
  NameTable<MarketIndex> markets;
};

struct Settings {
  std::string controller_name;
  std::uint32_t controller_count = 1;
  std::vector<std::string> all_controllers;  // names of all controllers that there are, this one's too
  std::vector<Team> teams;                   // by part; [0] unused
  double report_interval_s = 1, lease_s = 10, gang_wait_timeout_s = 30, gang_peer_timeout_s = 8,
         cancel_deadline_s = 40;
  double state_rps = 100, state_write_rps = 20, max_value_kb = 4;
  std::size_t max_transaction_ops = 12;
  int socket_limit = 0;                    // 0: none
  std::vector<double> deadline_multiples;  // of a job's deadline, as the users' aims name them; ascending
  double cloud_rps = 2, cloud_list_lag_s = 4;
  OperatorSettings operator_settings;
  checkpoint::Settings progress;

  // Derived; see docs/design.md, "Time".
  static constexpr double clock_drift = 0.0005;
  static constexpr double safety_margin_s = 1.0;
  static constexpr double report_timeout_s = 4.0;  // a worker drops responses after this
  /// After this long since we answered a report nothing of its session is left: the lease counts from when
  /// the report was sent, and an answer that comes after its time-out renews and starts nothing.
  double lease_expiry_s() const {
    return std::max(lease_s, report_timeout_s) * (1 + 2 * clock_drift) + safety_margin_s;
  }
  double read_only_period_s() const;
  /// A machine that changes its owner, or whose owner has just begun, reports to it within this time.
  double first_report_timeout_s() const { return 2 * report_interval_s + report_timeout_s; }
  /// Silence after a takeover that proves a machine holds nothing of the earlier owner.
  double failover_silence_s() const {
    return read_only_period_s() * (1 + 2 * clock_drift) + lease_expiry_s();
  }
};

constexpr PartitionIndex idle_pool{0};

}  // namespace oxbowmill
