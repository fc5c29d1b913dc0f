#include "oxbowmill/state/keys.h"

#include <cstdlib>

#include "record_codecs.h"
#include "stored_names.h"

namespace oxbowmill::state {

using wire::Json;

namespace {

std::string live_key(char kind, const std::string& name) {
  return std::string(live_prefix) + kind + "/" + name;
}

/// The parts of a live key: "o/m/host-1" has the kind 'm' and the name "host-1".
struct LiveKey {
  char kind = 0;
  std::string name;
};

std::optional<LiveKey> split_live_key(const std::string& key) {
  const std::size_t prefix_length = std::char_traits<char>::length(live_prefix);
  const std::size_t name_offset = prefix_length + 2;
  if (key.size() <= name_offset || key.compare(0, prefix_length, live_prefix) != 0 ||
      key[name_offset - 1] != '/')
    return std::nullopt;
  return LiveKey{key[prefix_length], key.substr(name_offset)};
}

/// The parts of the name in a chunk's key: "run-1/3" is chunk 3 of the job "run-1".
struct ChunkName {
  std::string job;
  std::uint32_t chunk = 0;
};

std::optional<ChunkName> split_chunk_name(const std::string& name) {
  std::size_t slash = name.rfind('/');
  if (slash == std::string::npos) return std::nullopt;
  return ChunkName{name.substr(0, slash),
                   static_cast<std::uint32_t>(std::strtoul(name.c_str() + slash + 1, nullptr, 10))};
}

struct KeyEncoder {
  const ClusterState& cluster;
  std::string operator()(const JobKey& key) const { return job_key(cluster.job(key.job).spec.ref); }
  std::string operator()(const ChunkKey& key) const {
    return live_key(stored::kind::chunk, cluster.job(key.job).spec.ref + "/" + std::to_string(key.chunk));
  }
  std::string operator()(const MachineKey& key) const {
    return live_key(stored::kind::machine, cluster.names.machines.name(key.machine));
  }
  std::string operator()(const OwnershipKey& key) const {
    return live_key(stored::kind::ownership, cluster.names.partitions.name(key.partition));
  }
  std::string operator()(const ControllerKey& key) const {
    return live_key(stored::kind::controller, key.controller);
  }
  std::string operator()(const FinalPhaseKey& key) const { return final_key(cluster.job(key.job).spec.ref); }
  std::string operator()(const BidKey& key) const { return live_key(stored::kind::bid, key.name); }
  std::string operator()(const LedgerKey&) const {
    return live_key(stored::kind::ledger, stored::ledger_name);
  }
  std::string operator()(const MarketKey& key) const {
    return live_key(stored::kind::market, cluster.names.markets.name(key.market));
  }
  std::string operator()(const DecisionKey& key) const { return live_key(stored::kind::decision, key.name); }
};

struct ValueEncoder {
  const ClusterState& cluster;
  Json operator()(std::monostate) const { return {}; }
  template <class Record>
  Json operator()(const Record& record) const {
    return encode_record(record, cluster);
  }
};

/// A stored value; null if the key was removed.
using StoredValue = const Json*;

Change removal_of(Key key) {
  Change change;
  change.key = std::move(key);
  return change;
}

template <class Record>
std::optional<Change> change_of(Key key, std::optional<Record> record) {
  if (!record) return std::nullopt;
  Change change;
  change.key = std::move(key);
  change.value = std::move(*record);
  return change;
}

std::optional<Change> decode_job_change(const std::string& ref, StoredValue value, ClusterState& cluster) {
  if (value == nullptr) {
    JobIndex job = cluster.find_job(ref);
    return job.valid() ? std::optional<Change>(removal_of(JobKey{job})) : std::nullopt;
  }
  auto record = decode_job(*value, cluster);
  if (!record) return std::nullopt;  // an unreadable record must not add a job to the cluster state
  return change_of(JobKey{cluster.intern_job(ref)}, std::move(record));
}

std::optional<Change> decode_chunk_change(const std::string& name, StoredValue value, ClusterState& cluster) {
  auto chunk_name = split_chunk_name(name);
  if (!chunk_name) return std::nullopt;
  if (value == nullptr) {
    JobIndex job = cluster.find_job(chunk_name->job);
    return job.valid() ? std::optional<Change>(removal_of(ChunkKey{job, chunk_name->chunk})) : std::nullopt;
  }
  auto record = decode_chunk(*value, cluster);
  if (!record) return std::nullopt;
  return change_of(ChunkKey{cluster.intern_job(chunk_name->job), chunk_name->chunk}, std::move(record));
}

std::optional<Change> decode_machine_change(const std::string& name, StoredValue value,
                                            ClusterState& cluster) {
  MachineKey key{cluster.intern_machine(name)};
  return value == nullptr ? removal_of(key) : change_of(key, decode_machine(*value, cluster));
}

std::optional<Change> decode_ownership_change(Key key, StoredValue value) {
  if (value == nullptr) return removal_of(std::move(key));
  return change_of(std::move(key), std::optional<OwnershipRecord>(decode_ownership(*value)));
}

}  // namespace

std::string job_key(const std::string& ref) {
  return live_key(stored::kind::job, ref);
}

std::string final_key(const std::string& ref) {
  return stored::final_phase_prefix + ref;
}

std::string encode_key(const Key& key, const ClusterState& cluster) {
  return std::visit(KeyEncoder{cluster}, key);
}

Json encode_value(const Change& change, const ClusterState& cluster) {
  return std::visit(ValueEncoder{cluster}, change.value);
}

std::optional<Change> decode(const std::string& key, const Json* value, ClusterState& cluster) {
  auto live = split_live_key(key);
  if (!live || (value != nullptr && !value->is_object())) return std::nullopt;
  const std::string& name = live->name;
  switch (live->kind) {
    case stored::kind::job:
      return decode_job_change(name, value, cluster);
    case stored::kind::chunk:
      return decode_chunk_change(name, value, cluster);
    case stored::kind::machine:
      return decode_machine_change(name, value, cluster);
    case stored::kind::ownership: {
      PartitionIndex partition = cluster.names.partitions.find(name);
      if (!partition.valid()) return std::nullopt;
      return decode_ownership_change(OwnershipKey{partition}, value);
    }
    case stored::kind::controller:
      return decode_ownership_change(ControllerKey{name}, value);
    case stored::kind::bid:
      return value == nullptr ? removal_of(BidKey{name})
                              : change_of(BidKey{name}, decode_bid(*value, cluster));
    case stored::kind::ledger:
      return value == nullptr ? removal_of(LedgerKey{})
                              : change_of(LedgerKey{}, decode_ledger(*value, cluster.names));
    case stored::kind::market: {
      MarketKey market{cluster.names.markets.intern(name)};
      return value == nullptr ? removal_of(market) : change_of(market, decode_market(*value));
    }
    case stored::kind::decision:
      return value == nullptr ? removal_of(DecisionKey{name})
                              : change_of(DecisionKey{name}, decode_decision(*value));
    default:
      return std::nullopt;
  }
}

}  // namespace oxbowmill::state
