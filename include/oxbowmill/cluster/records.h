// Durable facts as the state service holds them, and transactions over them, free of key strings and codecs.
#pragma once

#include <map>
#include <optional>
#include <variant>

#include "oxbowmill/checkpoint/saved_progress.h"
#include "oxbowmill/cluster/types.h"

namespace oxbowmill {

/// Tasks per placement record. Fixed for good: it is part of the key layout.
constexpr TaskNumber tasks_per_chunk = 64;

struct PlacedTask {
  TaskNumber task = 0;
  MachineIndex machine;
  Attempt attempt = 0;
  bool restarting = false;     // stopped as slow; the mark is durable before the stop is sent
  double placed_after_s = -1;  // when it was placed, since its job came; below 0: not known
};

struct ChunkRecord {
  std::uint64_t done = 0;       // bit per task
  std::uint64_t restarted = 0;  // bit per task: has had its one restart
  std::vector<PlacedTask> placements;
  // Optional: what tasks go on from, of a gang under its first; and what finished ones took.
  std::map<TaskNumber, checkpoint::SavedProgress> checkpoints;
  std::vector<checkpoint::FinishedTask> finishes;
};

struct JobRecord {
  JobSpec spec;
  JobPhase phase = JobPhase::open;
};

enum class MachineMark : std::uint8_t { none, deleting };

struct MachineRecord {
  PartitionIndex partition;
  TypeIndex type;
  ZoneIndex zone;
  bool spot = false;
  MachineMark mark = MachineMark::none;
  PartitionIndex requested_by;  // the leader asks the owner to drain it and hand it to this part
  bool has_booted = false;      // had reported when it was taken in: its next owner need not wait for a boot
  // Of a market other than the platform's cloud: its word that the machine is gone proves nothing.
  MarketIndex market = {};
  std::string bid = {};
};

/// A bid on a market, durable before it is sent and until its last charge is known (docs/design.md, "Money").
struct BidRecord {
  MarketIndex market;
  TypeIndex type;
  ZoneIndex zone;
  bool spot = false;
  MoneyAmount price_limit = 0;  // most per machine and hour
  double max_paid_s = 0;        // a machine is paid for at most so long
  double send_before = 0;       // time of day after which it is no longer sent for the first time
  double delivery_s = 0;        // from the bid to the promised delivery
  std::map<PartitionIndex, std::uint32_t> machines;  // for each part
  MachineKind kind() const { return {type, zone, spot}; }
  std::uint32_t count() const {
    std::uint32_t n = 0;
    for (const auto& [partition, k] : machines) n += k;
    return n;
  }
};

/// What has been paid in the present window, by part; the open bids' worst cases come on top.
struct LedgerRecord {
  std::int64_t window = 0;  // number of the window since the epoch
  std::map<PartitionIndex, MoneyAmount> spent;
};

/// Running means of what a market did, with the weight of evidence behind them.
struct Evidence {
  double delivered = 0, undelivered = 0;                  // machines delivered and not, decaying
  double delay_weight = 0, delay_mean = 0, delay_m2 = 0;  // log of delay over promise
  double drift_weight = 0, drift_mean = 0, drift_m2 = 0;  // log of price over quote
};

struct MarketRecord {
  bool suspended = false;  // overcharged or broke the protocol: no new bids until an operator reopens it
  std::string reason;
  Evidence evidence;
};

/// A durable decision (docs/decisions.md). What the fields mean is up to its kind; `state` is one of the
/// kind's.
struct DecisionRecord {
  std::string state;
  std::uint64_t version = 0;   // of the operators' file that it was made under
  std::uint64_t epoch = 0;     // rounds of the kind's states; never falls
  std::uint64_t sequence = 0;  // counts its changes
  double changed_at = 0;       // time of day of the last change of state
  std::string reason;          // for people
  std::map<std::string, std::uint64_t> counts;
  std::map<std::string, std::string> notes;
};

struct OwnershipRecord {
  std::string controller;
  std::uint64_t lease_id = 0;
};

// Keys.
struct JobKey {
  JobIndex job;
};
struct ChunkKey {
  JobIndex job;
  std::uint32_t chunk = 0;
};
struct MachineKey {
  MachineIndex machine;
};
struct OwnershipKey {
  PartitionIndex partition;
};
struct ControllerKey {
  std::string controller;
};
struct FinalPhaseKey {
  JobIndex job;
};
struct BidKey {
  std::string name;
};
struct LedgerKey {};
struct MarketKey {
  MarketIndex market;
};
struct DecisionKey {
  std::string name;  // kind/name
};
using Key = std::variant<JobKey, ChunkKey, MachineKey, OwnershipKey, ControllerKey, FinalPhaseKey, BidKey,
                         LedgerKey, MarketKey, DecisionKey>;

struct Guard {
  Key key;
  Revision revision = 0;
};

/// A change of one key; without a value it is a removal.
struct Change {
  Key key;
  std::variant<std::monostate, JobRecord, ChunkRecord, MachineRecord, OwnershipRecord, JobPhase, BidRecord,
               LedgerRecord, MarketRecord, DecisionRecord>
      value;
  std::uint64_t lease_id = 0;  // attached to this hold; 0: none
  bool is_removal() const { return std::holds_alternative<std::monostate>(value); }
};

struct Transaction {
  std::vector<Guard> guards;
  std::vector<Change> changes;
};

enum class TransactionOutcome : std::uint8_t {
  applied,
  refused,       // a guard failed
  not_executed,  // 429 or 503
  unknown,       // no answer: it may be applied, even later
};

}  // namespace oxbowmill
