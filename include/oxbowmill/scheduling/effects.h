// What the scheduler and the autoscaler ask their controller to do: transactions to write, commands to send
// to agents, machines to request or delete. Plain data: a cycle fills it, and the caller of the cycle carries
// it out.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill {

/// Rank of a transaction while more writes wait than the state service accepts; lower values go first.
enum class Urgency : std::uint8_t {
  ownership,  ///< acquisition of a partition
  user,       ///< a user waits for the answer
  cancel,     ///< cancellation by a user
  placement,  ///< a placement, or a change that a task or a machine waits for
  done_mark,  ///< ends of finished tasks
  other,      ///< nothing waits for it
};

/// A transaction to be sent to the state service.
struct Write {
  std::uint64_t id = 0;              ///< returned together with the outcome
  Urgency urgency = Urgency::other;  ///< rank among the writes that wait
  Transaction txn;                   ///< guards and changes
};

/// Commands sent to an agent at once instead of with the response to its next report.
struct DirectCommands {
  MachineIndex machine;                ///< machine whose agent gets them
  std::uint64_t agent_epoch = 0;       ///< the agent ignores them in any other epoch
  Revision fencing_token = 0;          ///< the agent ignores them if it has seen a higher one
  std::vector<AgentCommand> commands;  ///< empty: the agent only reports at once
};

/// A request for machines of one kind from the provider.
struct ScaleOutRequest {
  std::string request_id;                  ///< identifies the request; the same in every retry
  TypeIndex type;                          ///< machine type
  ZoneIndex zone;                          ///< zone of the machines
  bool spot = false;                       ///< whether spot machines are requested
  std::uint32_t count = 0;                 ///< number of machines
  std::vector<PartitionIndex> partitions;  ///< for each machine, the partition that is to get it
};

/// The effects of one cycle; each list is in the order of the decisions.
struct Effects {
  std::vector<Write> writes;                    ///< transactions
  std::vector<DirectCommands> direct_commands;  ///< commands sent outside responses
  std::vector<ScaleOutRequest> scale_outs;      ///< machines to request
  std::vector<MachineIndex> deletions;          ///< machines to delete at the provider
  bool list_machines = false;                   ///< the provider is to be asked which machines exist
};

/// The answer to an agent's report.
struct ReportAnswer {
  /// Kinds of answers.
  enum class Kind : std::uint8_t {
    ok,        ///< the report was accepted; the commands are valid
    redirect,  ///< another controller owns the machine
    refuse,    ///< this controller may not answer now
  };
  Kind kind = Kind::refuse;            ///< how the report is answered
  std::string owner;                   ///< redirect: controller to report to; may be empty
  Revision fencing_token = 0;          ///< ok: fencing token of the commands
  std::vector<AgentCommand> commands;  ///< ok: commands for the agent
  /// redirect: the agent has known this owner for some time, so that its report here shows that it cannot
  /// reach the owner now.
  bool owner_unreachable = false;
};

/// An agent that is made to report at once by a fencing token higher than any it has seen, without commands.
struct WakeUp {
  MachineIndex machine;           ///< machine of the agent
  std::uint64_t agent_epoch = 0;  ///< the agent's current epoch
};

/// Largest number of chunk records that one transaction may change, besides the job's record and its final
/// phase.
inline std::size_t max_chunks_per_transaction(const Settings& settings) {
  return std::min<std::size_t>(settings.max_transaction_ops - 2, 8);
}

/// Largest number of decision records that guard one placement.
constexpr std::size_t max_constraint_guards = 3;

/// Largest number of machine records that one transaction can guard besides the ownership, the job, its
/// chunks and the decisions.
inline std::size_t max_guarded_machines(const Settings& settings) {
  return 4 * settings.max_transaction_ops - 2 - max_constraint_guards - max_chunks_per_transaction(settings);
}

}  // namespace oxbowmill
