// Answers agents' reports: whether this controller may answer, what the report proves of the machine, and
// which commands go back. Owns the fraction of responses that were lost lately. Pure; not re-entrant.
#pragma once

#include <functional>

#include "oxbowmill/scheduling/machine_evictor.h"
#include "oxbowmill/scheduling/partition_ownership.h"
#include "oxbowmill/scheduling/response_builder.h"
#include "oxbowmill/scheduling/task_report_reader.h"

namespace oxbowmill {

/// Handles the reports of all agents.
class HeartbeatHandler {
 public:
  /// Called with the report of a machine that has no record.
  using UnregisteredCallback = std::function<void(const WorkerReport&)>;

  /// All must outlive this object.
  HeartbeatHandler(ClusterState& state, const ControllerLease& controller_lease,
                   PartitionOwnership& ownership, GangController& gangs, MachineEvictor& evictor)
      : state_(state),
        controller_lease_(controller_lease),
        ownership_(ownership),
        evictor_(evictor),
        task_reports_(state, gangs),
        responses_(state) {}

  /// Takes a report and answers it.
  ReportAnswer on_report(const WorkerReport& report, Clock clock,
                         const UnregisteredCallback& on_unregistered);

 private:
  ReportAnswer redirect(PartitionIndex partition, MachineIndex machine_index, const WorkerReport& report,
                        Seconds now) const;
  ReportAnswer answer_unregistered(const WorkerReport& report,
                                   const UnregisteredCallback& on_unregistered) const;
  /// Takes a report that is newer than all earlier ones. None: the agent would drop the response, or the
  /// report is stale.
  std::optional<ReportProof> accept(Machine& machine, const WorkerReport& report, Revision fencing_token,
                                    Seconds now) const;
  bool is_as_recorded(const Machine& machine, const WorkerReport& report) const;
  void update_machine(MachineIndex machine_index, Machine& machine, const WorkerReport& report,
                      const ReportProof& proof, Seconds now);
  void count_lost_responses(Machine& machine, const StartUpdate& starts, const ReportProof& proof);
  void avoid(MachineIndex machine_index, Seconds now);

  ClusterState& state_;
  const ControllerLease& controller_lease_;
  PartitionOwnership& ownership_;
  MachineEvictor& evictor_;
  TaskReportReader task_reports_;
  ResponseBuilder responses_;
  double lost_response_fraction_ = 0;  // of those whose fate reports have shown lately
};

}  // namespace oxbowmill
