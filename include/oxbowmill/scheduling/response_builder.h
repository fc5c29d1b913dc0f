// Builds the commands in the response to an agent's report, as many as a message can hold. What does not fit
// is not marked as sent and comes with the next responses. No I/O.
#pragma once

#include <string>
#include <vector>

#include "oxbowmill/logged_count.h"
#include "oxbowmill/scheduling/command_batch.h"
#include "oxbowmill/scheduling/effects.h"

namespace oxbowmill {

/// Chooses which tasks an agent is told to start, to stop and to clear from its list.
class ResponseBuilder {
 public:
  /// `state` must outlive this object.
  explicit ResponseBuilder(ClusterState& state) : state_(state) {}

  /// Adds the commands for the machine, kills first, then clears, then starts, and notes which starts and
  /// kills this report's response carries. Starts are held back, too, if the agent's next report could not
  /// list all tasks. `commands` must be empty.
  void add_commands(MachineIndex machine_index, const AgentReport& report, Seconds now,
                    std::vector<AgentCommand>& commands);
  /// Adds the commands that a controller in its read-only period may give: kills of tasks that have no
  /// placement or whose job was cancelled by its user.
  void add_read_only_commands(MachineIndex machine_index, const AgentReport& report, Seconds now,
                              std::vector<AgentCommand>& commands);

 private:
  enum class Scope : std::uint8_t { cancelled_only, all };

  void add_kills(MachineIndex machine_index, const AgentReport& report, Scope scope, Seconds now,
                 CommandBatch& batch);
  std::vector<Placement*> stopping_placements(MachineIndex machine_index, Scope scope);
  /// Returns the bytes that the tasks take in the next report that are still listed then.
  std::size_t add_clears(MachineIndex machine_index, const AgentReport& report, CommandBatch& batch) const;
  void add_starts(MachineIndex machine_index, const AgentReport& report, std::size_t listed_bytes,
                  Seconds now, CommandBatch& batch);
  /// Bytes in the next report of tasks whose start this report neither confirms nor shows to be lost.
  std::size_t unconfirmed_start_bytes(MachineIndex machine_index) const;
  static bool add_start(const std::string& job, const Placement& placement, CommandBatch& batch);
  bool has_placement(MachineIndex machine_index, const TaskReport& task_report) const;
  static bool may_start(const Job& job, const Placement& placement);

  void log_held_back(const AgentReport& report, std::size_t commands);

  ClusterState& state_;
  LoggedCount held_back_responses_;
};

}  // namespace oxbowmill
