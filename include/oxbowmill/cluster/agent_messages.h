// Messages between agents and controllers, independent of the wire format. Plain data.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "oxbowmill/cluster/index.h"
#include "oxbowmill/cluster/job_spec.h"

namespace oxbowmill {

/// Identifies one task of a job.
struct TaskId {
  JobIndex job;         ///< job that the task belongs to
  TaskNumber task = 0;  ///< position in it
};

/// One task in an agent's report.
struct TaskReport {
  std::string job;                       ///< name of the job, which this controller may not know
  TaskNumber task = 0;                   ///< position in its job
  Attempt attempt = 0;                   ///< attempt that the agent reports on
  TaskPhase phase = TaskPhase::running;  ///< what the task is doing
  EndCause cause = EndCause::none;       ///< why the task ended
  bool checkpoint_saved = false;         ///< whether it saved its progress when it was stopped
};

/// An agent's heartbeat.
struct AgentReport {
  std::string machine;                        ///< name of the machine
  std::string address;                        ///< address at which the agent can be reached
  std::string type;                           ///< name of the machine type
  std::string zone;                           ///< name of the zone
  bool spot = false;                          ///< whether it is a spot machine
  std::uint64_t agent_epoch = 0;              ///< increases each time the agent's lease expires
  std::uint64_t report_sequence = 0;          ///< increases with every report and response
  std::uint64_t fencing_token = 0;            ///< highest fencing token that the agent has accepted
  double preemption_notice_s = time_not_set;  ///< seconds until the cloud takes it back; below 0: no notice
  std::vector<TaskReport> tasks;              ///< all tasks that the agent knows
};

/// What an agent can be commanded to do with a task.
enum class CommandKind : std::uint8_t {
  start,  ///< start the task
  kill,   ///< stop the task within the termination timeout
  clear,  ///< forget the task, which has ended
};
/// One command in the response to a report.
struct AgentCommand {
  CommandKind kind = CommandKind::start;  ///< what to do
  std::string job;                        ///< name of the job
  TaskNumber task = 0;                    ///< position in it
  Attempt attempt = 0;                    ///< attempt that the command applies to
  double termination_timeout_s = 0;       ///< for `kill`: seconds to save before the end is forced
};

}  // namespace oxbowmill
