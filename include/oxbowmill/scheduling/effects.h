// What the scheduler and the autoscaler ask their controller to do: transactions to write, commands to send
// to agents, machines to request or delete. Plain data, filled by one cycle and carried out by whoever called
// it.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill {

/// Rank of a transaction while the state service takes fewer writes than are asked for; the first goes first.
enum class Urgency : std::uint8_t {
  ownership,  ///< acquisition of a partition
  user,       ///< somebody waits for the answer
  cancel,     ///< cancellation by a user
  placement,  ///< a task or a machine waits for it
  done_mark,  ///< finished tasks
  other,      ///< nobody waits
};

/// A transaction to be sent to the state service.
struct Write {
  std::uint64_t id = 0;              ///< to be handed back with the outcome
  Urgency urgency = Urgency::other;  ///< rank among the writes that wait
  Transaction txn;                   ///< guards and changes
};

/// Commands sent to an agent at once instead of with the response to its next report.
struct DirectCommands {
  MachineIndex machine;                ///< whose agent gets them
  std::uint64_t agent_epoch = 0;       ///< the agent drops them in any other epoch
  Revision fencing_token = 0;          ///< the agent drops them if it has seen a higher one
  std::vector<AgentCommand> commands;  ///< none: it is only to report at once
};

/// Machines of one kind to be requested from the provider.
struct ScaleOutRequest {
  std::string request_id;                  ///< identifies the request to the provider
  TypeIndex type;                          ///< machine type
  ZoneIndex zone;                          ///< where
  bool spot = false;                       ///< spot machines
  std::uint32_t count = 0;                 ///< how many
  std::vector<PartitionIndex> partitions;  ///< for each machine, the partition that is to get it
};

/// All that one cycle wants done, in the order in which it was decided.
struct Effects {
  std::vector<Write> writes;                    ///< transactions
  std::vector<DirectCommands> direct_commands;  ///< commands sent outside responses
  std::vector<ScaleOutRequest> scale_outs;      ///< machines to request
  std::vector<MachineIndex> deletions;          ///< machines to delete at the provider
  bool list_machines = false;                   ///< ask the provider which machines exist
};

/// The response to an agent's report.
struct ReportAnswer {
  /// How the report is answered.
  enum class Kind : std::uint8_t {
    ok,        ///< taken; the commands are valid
    redirect,  ///< another controller owns the machine
    refuse,    ///< nothing may be said now
  };
  Kind kind = Kind::refuse;            ///< how the report is answered
  std::string owner;                   ///< redirect: the controller to report to; may be empty
  Revision fencing_token = 0;          ///< ok: the token under which the commands are given
  std::vector<AgentCommand> commands;  ///< ok: what the agent is to do
  /// Redirect: the agent has reported to this owner for long and cannot reach it now.
  bool owner_unreachable = false;
};

/// An agent that is to report at once: it is sent a higher fencing token than it has seen, without commands.
struct WakeUp {
  MachineIndex machine;           ///< whose agent
  std::uint64_t agent_epoch = 0;  ///< its present epoch
};

/// Placement records that one transaction changes, next to the job's record and its final phase.
inline std::size_t max_chunks(const Settings& settings) {
  return std::min<std::size_t>(settings.max_transaction_ops - 2, 8);
}

/// Decisions that a placement may have to find unchanged.
constexpr std::size_t max_constraint_guards = 3;

/// Machines that one transaction can guard next to the ownership, the job, its records and the decisions.
inline std::size_t max_guarded_machines(const Settings& settings) {
  return 4 * settings.max_transaction_ops - 2 - max_constraint_guards - max_chunks(settings);
}

}  // namespace oxbowmill
