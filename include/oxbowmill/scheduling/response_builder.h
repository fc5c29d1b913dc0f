// Builds the commands in the response to an agent's report. Holds only a reference to the cluster state; no
// I/O.
#pragma once

#include <vector>

#include "oxbowmill/scheduling/effects.h"

namespace oxbowmill {

/// Chooses which tasks an agent is told to start, to stop and to clear from its list.
class ResponseBuilder {
 public:
  /// `state` must outlive this object.
  explicit ResponseBuilder(ClusterState& state) : state_(state) {}

  /// Adds all commands for the machine and notes which starts this report's response carries.
  void add_commands(MachineIndex machine_index, const AgentReport& report, Seconds now,
                    std::vector<AgentCommand>& commands);
  /// Adds the commands that a controller in its read-only period may give: kills of tasks that have no
  /// placement or whose job was cancelled by its user.
  void add_read_only_commands(MachineIndex machine_index, const AgentReport& report, Seconds now,
                              std::vector<AgentCommand>& commands) const;

 private:
  enum class Scope : std::uint8_t { cancelled_only, all };

  void add_kills(MachineIndex machine_index, const AgentReport& report, Scope scope, Seconds now,
                 std::vector<AgentCommand>& commands) const;
  bool has_placement(MachineIndex machine_index, const TaskReport& task_report) const;
  static bool may_start(const Job& job, const Placement& placement);

  ClusterState& state_;
};

}  // namespace oxbowmill
