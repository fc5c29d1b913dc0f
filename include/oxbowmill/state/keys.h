// Encodes and decodes the keys and values in the state service (docs/design.md, "Keys"). Other packages refer
// to keys and records by the types of cluster/records.h. All functions are stateless; those that take the
// cluster state intern the names that they read there.
//
//   o/j/<job>           the job: its submission, phase and time of acceptance
//   o/c/<job>/<n>       tasks 64n..64n+63: done and restarted bits, placements, checkpoints and run times
//   o/m/<machine>       partition, type, zone, spot, whether it is being deleted, the partition that asks
//                       for it
//   o/p/<partition>     owner of a partition (`.pool`: the leader), attached to the owner's lease
//   o/n/<controller>    a live controller, attached to its lease
//   o/k                 the last machine catalog
//   o/b/<bid>           a bid on a market: its worst-case cost and the machines for each partition
//   o/l/ledger          money paid in the current budget window, by partition
//   o/d/<kind>/<name>   a durable decision (docs/decisions.md)
//   o/q/<market>        statistics of a market's deliveries, delays and prices, and its suspension
//   f/<job>             final phase of a job whose other keys have been deleted
#pragma once

#include <optional>

#include "oxbowmill/cluster/records.h"
#include "oxbowmill/wire/codec.h"

namespace oxbowmill::state {

/// Prefix of the keys that every controller watches. The keys of final phases do not have it.
constexpr const char* live_prefix = "o/";
/// Key of the last machine catalog. Its value is encoded like the catalog that the cloud sends.
constexpr const char* catalog_key = "o/k";
/// Stored name of the idle pool, the partition that belongs to no team. Its owner is the leader.
constexpr const char* idle_pool_name = ".pool";

/// Key of the record of the job with the id `ref`.
std::string job_key(const std::string& ref);
/// Key of the final phase of the job with the id `ref`.
std::string final_key(const std::string& ref);

/// The stored form of a key. `cluster` must contain the indices in the key.
std::string encode_key(const Key& key, const ClusterState& cluster);
/// The stored form of a change's value; null if the change removes the key.
wire::Json encode_value(const Change& change, const ClusterState& cluster);
/// Decodes the change of a live key to a new value (`value` null: the key was removed). Empty if this version
/// does not know the kind of key, if the value cannot be read, or if a key of an unknown job was removed.
std::optional<Change> decode(const std::string& key, const wire::Json* value, ClusterState& cluster);
/// The phase in the value of a job's key or of a final phase; empty if it is missing or unknown.
std::optional<JobPhase> read_phase(const wire::Json& value);
/// The value of a job's key with its phase replaced. All other fields are kept, also unknown ones.
wire::Json with_phase(wire::Json value, JobPhase phase);
/// The value of a job's key.
wire::Json job_value(const JobSpec& spec, JobPhase phase, const Names& names);
/// The same for a submission that is to be accepted.
wire::Json job_value(const wire::Submission& submission, JobPhase phase, const Names& names);

}  // namespace oxbowmill::state
