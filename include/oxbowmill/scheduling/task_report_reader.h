// Updates placements from an agent's report, as far as the report proves their state. Holds references only;
// no I/O.
#pragma once

#include "oxbowmill/scheduling/gang_controller.h"

namespace oxbowmill {

/// What a report proves about the responses to earlier reports.
struct ReportProof {
  /// Whether the agent has seen a fencing token that only this owner can have given.
  bool fencing_token_shown = false;
  /// Whether the agent has received none of this owner's responses.
  bool no_response_received = false;
};

/// What a report shows of the starts that were sent.
struct StartUpdate {
  bool some_lost = false;     ///< some start did not reach the agent
  bool some_arrived = false;  ///< some start reached the agent
};

/// Updates the placements on a machine from its agent's report.
class TaskReportReader {
 public:
  /// Both arguments must outlive this object.
  TaskReportReader(ClusterState& state, GangController& gangs) : state_(state), gangs_(gangs) {}

  /// Applies a report that is newer than all earlier ones of the machine.
  StartUpdate read(MachineIndex machine_index, const AgentReport& report, const ReportProof& proof,
                   Seconds now);

 private:
  /// A report that is being read, what it proves, and what was found so far.
  struct ReportContext {
    const AgentReport& report;
    const ReportProof& proof;
    Machine& machine;
    Seconds now;
    StartUpdate starts;
  };

  void read_listed(ReportContext& context, Placement& placement, const TaskReport& task_report);
  void read_absent(ReportContext& context, Placement& placement);
  void on_alive(ReportContext& context, Placement& placement, const TaskReport& task_report);
  void on_ended(ReportContext& context, Placement& placement, const TaskReport& task_report);
  void on_done(Placement& placement, Seconds now);
  void on_error(ReportContext& context, const Placement& placement, const TaskReport& task_report);
  void check_gangs_and_marks(MachineIndex machine_index, const std::vector<TaskId>& task_ids, Seconds now);

  ClusterState& state_;
  GangController& gangs_;
};

}  // namespace oxbowmill
