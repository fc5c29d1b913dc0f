// The commands in the response to an agent's report. Owns nothing but a reference to the cluster state; pure.
#pragma once

#include <vector>

#include "oxbowmill/scheduling/effects.h"

namespace oxbowmill {

/// Chooses what an agent is told to start, stop and forget.
class ResponseBuilder {
 public:
  /// `state` must outlive this object.
  explicit ResponseBuilder(ClusterState& state) : state_(state) {}

  /// All commands for the machine; notes which starts this report's response carries.
  void add_commands(MachineIndex machine_index, const WorkerReport& report, Seconds now,
                    std::vector<AgentCommand>& commands);
  /// What a controller without full authority may order: kills of tasks that have no placement or whose job
  /// was cancelled by its user.
  void add_read_only_commands(MachineIndex machine_index, const WorkerReport& report, Seconds now,
                              std::vector<AgentCommand>& commands) const;

 private:
  enum class Scope : std::uint8_t { cancelled_only, all };

  void add_kills(MachineIndex machine_index, const WorkerReport& report, Scope scope, Seconds now,
                 std::vector<AgentCommand>& commands) const;
  bool has_placement(MachineIndex machine_index, const TaskReport& task_report) const;
  static bool may_start(const Job& job, const Placement& placement);

  ClusterState& state_;
};

}  // namespace oxbowmill
