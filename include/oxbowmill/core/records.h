// Durable facts as the state service holds them, and transactions over them, free of key strings and codecs.
#pragma once

#include <optional>
#include <variant>

#include "oxbowmill/core/types.h"

namespace oxbowmill {

/// Tasks per placement record. Fixed for good: it is part of the key layout.
constexpr TaskNo chunk_tasks = 64;

struct PlacedTask {
  TaskNo task = 0;
  MachineIndex machine;
  Attempt attempt = 0;
  bool restarting = false;  // stopped as slow; the mark is durable before the stop is sent
};

struct ChunkRecord {
  std::uint64_t done = 0;       // bit per task
  std::uint64_t restarted = 0;  // bit per task: has had its one restart
  std::vector<PlacedTask> placed;
};

struct JobRecord {
  JobSpec spec;
  JobPhase phase = JobPhase::open;
};

enum class MachineMark : std::uint8_t { none, deleting };

struct MachineRecord {
  PartIndex part;
  TypeIndex type;
  ZoneIndex zone;
  bool spot = false;
  MachineMark mark = MachineMark::none;
  PartIndex wanted_by;  // the leader asks the owner to drain it and hand it to this part
  bool up = false;      // had reported when it was taken in: its next owner need not wait for a boot
};

struct ClaimRecord {
  std::string node;
  std::uint64_t hold = 0;
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
struct ClaimKey {
  PartIndex part;
};
struct NodeKey {
  std::string node;
};
struct FinalKey {
  JobIndex job;
};
using Key = std::variant<JobKey, ChunkKey, MachineKey, ClaimKey, NodeKey, FinalKey>;

struct Guard {
  Key key;
  Stamp stamp = 0;
};

/// A change of one key; without a value it is a removal.
struct Change {
  Key key;
  std::variant<std::monostate, JobRecord, ChunkRecord, MachineRecord, ClaimRecord, JobPhase> value;
  std::uint64_t hold = 0;  // attached to this hold; 0: none
  bool removal() const { return std::holds_alternative<std::monostate>(value); }
};

struct Transaction {
  std::vector<Guard> guards;
  std::vector<Change> changes;
};

enum class Outcome : std::uint8_t {
  applied,
  refused,       // a guard failed
  not_executed,  // 429 or 503
  unknown,       // no answer: it may be applied, even later
};

}  // namespace oxbowmill
