// What agents report and are told, free of the wire format. Plain data.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "oxbowmill/cluster/index.h"
#include "oxbowmill/cluster/job_spec.h"

namespace oxbowmill {

/// One task of a job.
struct TaskId {
  JobIndex job;         ///< the job
  TaskNumber task = 0;  ///< position in it
};

/// One task in an agent's report.
struct TaskReport {
  std::string job;                       ///< by name, since the job may be unknown here
  TaskNumber task = 0;                   ///< position in its job
  Attempt attempt = 0;                   ///< which start of it
  TaskPhase phase = TaskPhase::running;  ///< what it does
  EndCause cause = EndCause::none;       ///< why it ended
  bool checkpoint_saved = false;         ///< it stored its progress as it stopped
};

/// An agent's heartbeat.
struct WorkerReport {
  std::string machine;                        ///< name of the machine
  std::string address;                        ///< where the agent can be reached
  std::string type;                           ///< name of the machine type
  std::string zone;                           ///< name of the zone
  bool spot = false;                          ///< whether it is a spot machine
  std::uint64_t agent_epoch = 0;              ///< increases each time the agent's lease expires
  std::uint64_t report_sequence = 0;          ///< increases with every report and response
  std::uint64_t fencing_token = 0;            ///< highest token that the agent has accepted
  double preemption_notice_s = time_not_set;  ///< until the cloud takes it back; below 0: no notice
  std::vector<TaskReport> tasks;              ///< all tasks that the agent knows
};

/// What an agent can be told to do with a task.
enum class CommandKind : std::uint8_t {
  start,  ///< run it
  kill,   ///< stop it, within the termination timeout
  clear,  ///< forget that it ended
};
/// One command in the response to a report.
struct AgentCommand {
  CommandKind kind = CommandKind::start;  ///< what to do
  std::string job;                        ///< name of the job
  TaskNumber task = 0;                    ///< position in it
  Attempt attempt = 0;                    ///< which start of it
  double termination_timeout_s = 0;       ///< of a kill: time to save before it is forced
};

}  // namespace oxbowmill
