// Answers agents' heartbeats: decides whether this controller may answer, updates the machine from the
// report, and chooses the commands of the response. Owns the fraction of recent responses that were lost. No
// I/O; not re-entrant.
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
  using UnregisteredCallback = std::function<void(const AgentReport&)>;

  /// All arguments must outlive this object.
  HeartbeatHandler(ClusterState& state, const ControllerLease& controller_lease,
                   PartitionOwnership& ownership, GangController& gangs, MachineEvictor& evictor)
      : state_(state),
        controller_lease_(controller_lease),
        ownership_(ownership),
        evictor_(evictor),
        task_reports_(state, gangs),
        responses_(state) {}

  /// Applies a report and returns the answer.
  ReportAnswer on_report(const AgentReport& report, Clock clock, const UnregisteredCallback& on_unregistered);

 private:
  ReportAnswer redirect(PartitionIndex partition, MachineIndex machine_index, const AgentReport& report,
                        Seconds now) const;
  ReportAnswer answer_unregistered(const AgentReport& report,
                                   const UnregisteredCallback& on_unregistered) const;
  /// Accepts a report that is newer than all earlier ones of the machine. Returns nothing if the report is
  /// stale or the agent would drop the response because it has seen a higher fencing token.
  std::optional<ReportProof> accept(Machine& machine, const AgentReport& report, Revision fencing_token,
                                    Seconds now) const;
  bool matches_market_record(const Machine& machine, const AgentReport& report) const;
  void update_machine(MachineIndex machine_index, Machine& machine, const AgentReport& report,
                      const ReportProof& proof, Seconds now);
  void count_lost_responses(Machine& machine, const StartUpdate& starts, const ReportProof& proof);
  void block_machine(MachineIndex machine_index, Seconds now);

  ClusterState& state_;
  const ControllerLease& controller_lease_;
  PartitionOwnership& ownership_;
  MachineEvictor& evictor_;
  TaskReportReader task_reports_;
  ResponseBuilder responses_;
  double lost_response_fraction_ = 0;  // moving average over responses known to be received or lost
};

}  // namespace oxbowmill
