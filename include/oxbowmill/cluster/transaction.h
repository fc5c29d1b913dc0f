// Transactions over durable records, independent of key strings and codecs. Plain data.
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
  JobIndex job;  ///< job of the record
};
/// Key of a chunk's record.
struct ChunkKey {
  JobIndex job;             ///< job of the record
  std::uint32_t chunk = 0;  ///< position of the chunk in the job
};
/// Key of a machine's record.
struct MachineKey {
  MachineIndex machine;  ///< machine of the record
};
/// Key of the record of a partition's owner.
struct OwnershipKey {
  PartitionIndex partition;  ///< partition that is owned
};
/// Key of the record of a controller's registration.
struct ControllerKey {
  std::string controller;  ///< name of the controller
};
/// Key of the final phase of a job, which is kept after the job's records are removed.
struct FinalPhaseKey {
  JobIndex job;  ///< job that has ended
};
/// Key of a bid's record.
struct BidKey {
  std::string name;  ///< name of the bid
};
/// Key of the ledger's record.
struct LedgerKey {};
/// Key of a market's record.
struct MarketKey {
  MarketIndex market;  ///< market of the record
};
/// Key of a decision's record.
struct DecisionKey {
  std::string name;  ///< kind and name of the decision, as `kind/name`
};
/// Any key of the state service.
using Key = std::variant<JobKey, ChunkKey, MachineKey, OwnershipKey, ControllerKey, FinalPhaseKey, BidKey,
                         LedgerKey, MarketKey, DecisionKey>;

/// Condition of a transaction: the record under the key has this revision.
struct Guard {
  Key key;                        ///< key whose revision is compared
  Revision revision = no_record;  ///< expected revision; `no_record`: the key does not exist
};

/// A change of one key. Without a value, the key is removed.
struct Change {
  Key key;  ///< key that is changed
  /// New record; std::monostate: the key is removed.
  std::variant<std::monostate, JobRecord, ChunkRecord, MachineRecord, OwnershipRecord, JobPhase, BidRecord,
               LedgerRecord, MarketRecord, DecisionRecord>
      value;
  std::uint64_t lease_id = no_lease;  ///< lease to which the key is attached
  /// Whether the key is removed.
  bool is_removal() const { return std::holds_alternative<std::monostate>(value); }
};

/// Changes that are applied together if all guards hold.
struct Transaction {
  std::vector<Guard> guards;    ///< conditions that must all hold
  std::vector<Change> changes;  ///< changes to apply
};

/// Outcome of a transaction, as far as its sender knows.
enum class TransactionOutcome : std::uint8_t {
  applied,       ///< all changes were applied
  refused,       ///< a guard failed
  not_executed,  ///< the state service answered 429 or 503
  unknown,       ///< no response: it may have been applied, or may still be applied later
};

}  // namespace oxbowmill
