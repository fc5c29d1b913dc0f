// What an agent's report proves about the tasks placed on its machine. Owns nothing but references; pure.
#pragma once

#include "oxbowmill/scheduling/gang_controller.h"

namespace oxbowmill {

/// What a report shows of the responses to earlier ones.
struct ReportProof {
  /// The agent has seen a token that only this owner can have given.
  bool fencing_token_shown = false;
  /// The agent has taken none of this owner's responses.
  bool none_taken = false;
};

/// What has become of the starts that were sent.
struct StartUpdate {
  bool lost = false;     ///< some start has not arrived
  bool arrived = false;  ///< some start has arrived
};

/// Updates the placements on a machine from its agent's report.
class TaskReportReader {
 public:
  /// Both must outlive this object.
  TaskReportReader(ClusterState& state, GangController& gangs) : state_(state), gangs_(gangs) {}

  /// Reads a report that is newer than all earlier ones of the machine.
  StartUpdate read(MachineIndex machine_index, const WorkerReport& report, const ReportProof& proof,
                   Seconds now);

 private:
  /// A report and what is known of it, while it is being read.
  struct Reading {
    const WorkerReport& report;
    const ReportProof& proof;
    Machine& machine;
    Seconds now;
    StartUpdate starts;
  };

  void read_listed(Reading& reading, Placement& placement, const TaskReport& task_report);
  void read_absent(Reading& reading, Placement& placement);
  void on_alive(Reading& reading, Placement& placement, const TaskReport& task_report);
  void on_ended(Reading& reading, Placement& placement, const TaskReport& task_report);
  void on_done(Placement& placement, Seconds now);
  void on_error(Reading& reading, const Placement& placement, const TaskReport& task_report);
  void check_gangs_and_marks(MachineIndex machine_index, const std::vector<TaskId>& task_ids, Seconds now);

  ClusterState& state_;
  GangController& gangs_;
};

}  // namespace oxbowmill
