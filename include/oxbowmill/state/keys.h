// The layout of keys and values in the state service; see docs/design.md, "Keys". This package alone knows
// it: callers name keys and records by the types of cluster/records.h. All functions are stateless; those
// that take the cluster state intern the names they meet there.
//
//   o/j/<job>           the job: its submission, phase and time of acceptance
//   o/c/<job>/<n>       tasks 64n..64n+63: done and restarted bits, placements [task, machine, attempt,
//                       restarting], checkpoints and run times
//   o/m/<machine>       partition, type, zone, spot, whether it is being deleted, the partition that asks for
//   it o/p/<partition>     ownership of a partition (`.pool`: leadership), attached to the owner's lease
//   o/n/<controller>    a live controller, attached to its lease
//   o/k                 the last machine catalog
//   o/b/<bid>           a bid on a market: its worst-case cost, and for which partitions
//   o/l/ledger          what has been paid in this window, by partition
//   o/d/<kind>/<name>   a durable decision (docs/decisions.md)
//   o/q/<market>        what is known of a market: deliveries, delays, price drift, suspension
//   f/<job>             final phase of a job whose other keys are gone
#pragma once

#include <optional>

#include "oxbowmill/cluster/records.h"
#include "oxbowmill/wire/codec.h"

namespace oxbowmill::state {

/// Prefix of all keys that every controller follows; final phases are not under it.
constexpr const char* live_prefix = "o/";
/// Key of the last machine catalog; its value has the form of the cloud's body.
constexpr const char* catalog_key = "o/k";
/// Stored name of the partition that no team has; its owner is the leader.
constexpr const char* idle_pool_name = ".pool";

/// Key of the job that its user calls `ref`.
std::string job_key(const std::string& ref);
/// Key of the final phase of the job that its user calls `ref`.
std::string final_key(const std::string& ref);

/// The stored form of a key. Its indices must be known to the cluster state.
std::string encode_key(const Key& key, const ClusterState& cluster);
/// The stored form of a change's value; null for a removal.
wire::Json encode_value(const Change& change, const ClusterState& cluster);
/// The change that a live key's new value stands for (`value` null: its removal). Nothing where this version
/// does not know the kind of key, where the value cannot be read, and for the removal of a job's keys when
/// the job is not known.
std::optional<Change> decode(const std::string& key, const wire::Json* value, ClusterState& cluster);
/// The phase in the value of a job's key or of a final key; nothing where there is none that is known.
std::optional<JobPhase> read_phase(const wire::Json& value);
/// The value of a job's key with another phase; all other fields stay, known or not.
wire::Json with_phase(wire::Json value, JobPhase phase);
/// The value of the key of a job.
wire::Json job_value(const JobSpec& spec, JobPhase phase, const Names& names);

}  // namespace oxbowmill::state
