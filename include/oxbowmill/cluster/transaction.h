// Transactions over durable records, free of key strings and codecs. Plain data.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "oxbowmill/cluster/accounting_records.h"
#include "oxbowmill/cluster/control_records.h"
#include "oxbowmill/cluster/job_records.h"
#include "oxbowmill/cluster/machine_record.h"

namespace oxbowmill {

/// Key of a job's record.
struct JobKey {
  JobIndex job;  ///< the job
};
/// Key of a chunk's record.
struct ChunkKey {
  JobIndex job;             ///< the job
  std::uint32_t chunk = 0;  ///< position of the chunk in it
};
/// Key of a machine's record.
struct MachineKey {
  MachineIndex machine;  ///< the machine
};
/// Key of a partition's owner.
struct OwnershipKey {
  PartitionIndex partition;  ///< the partition
};
/// Key of a controller's registration.
struct ControllerKey {
  std::string controller;  ///< name of the controller
};
/// Key that keeps the final phase of a job whose records are gone.
struct FinalPhaseKey {
  JobIndex job;  ///< the job
};
/// Key of a bid.
struct BidKey {
  std::string name;  ///< name of the bid
};
/// Key of the ledger.
struct LedgerKey {};
/// Key of a market's record.
struct MarketKey {
  MarketIndex market;  ///< the market
};
/// Key of a decision.
struct DecisionKey {
  std::string name;  ///< kind/name
};
/// Any key of the state service.
using Key = std::variant<JobKey, ChunkKey, MachineKey, OwnershipKey, ControllerKey, FinalPhaseKey, BidKey,
                         LedgerKey, MarketKey, DecisionKey>;

/// Condition of a transaction: the key's record has this revision.
struct Guard {
  Key key;                        ///< key that is compared
  Revision revision = no_record;  ///< expected revision; `no_record`: the key does not exist
};

/// A change of one key; without a value it is a removal.
struct Change {
  Key key;  ///< key that is changed
  /// The new record.
  std::variant<std::monostate, JobRecord, ChunkRecord, MachineRecord, OwnershipRecord, JobPhase, BidRecord,
               LedgerRecord, MarketRecord, DecisionRecord>
      value;
  std::uint64_t lease_id = no_lease;  ///< lease that the key is attached to
  /// Whether the key is removed.
  bool is_removal() const { return std::holds_alternative<std::monostate>(value); }
};

/// Changes that are made together, if all guards hold.
struct Transaction {
  std::vector<Guard> guards;    ///< conditions
  std::vector<Change> changes;  ///< changes
};

/// What became of a transaction.
enum class TransactionOutcome : std::uint8_t {
  applied,       ///< all changes are made
  refused,       ///< a guard failed
  not_executed,  ///< 429 or 503
  unknown,       ///< no answer: it may be applied, even later
};

}  // namespace oxbowmill
