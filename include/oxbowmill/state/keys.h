// The key layout of the state service, in one place; see docs/design.md, "Keys".
//
//   o/j/<job>           the job: its submission, phase and time of acceptance
//   o/c/<job>/<n>       tasks 64n..64n+63: done and restarted bits, placements [task, machine, attempt,
//   restarting] o/m/<machine>       part, type, zone, kind, whether it is to be deleted, part that is to get
//   it o/p/<part>          claim of a part (`.pool`: leadership), attached to the holder's hold o/n/<node> a
//   live controller, attached to its hold o/k                 the last machine catalog f/<job> final phase of
//   a job whose other keys are gone
//   o/b/<bid>           a bid on a market: what it may cost at worst, and for which parts
//   o/l/ledger          what has been paid in this window, by part
//   o/d/<kind>/<name>   a durable decision (docs/decisions.md)
//   o/q/<market>        what a market is known for
#pragma once

#include <optional>

#include "oxbowmill/cluster/records.h"
#include "oxbowmill/wire/codec.h"

namespace oxbowmill::state {

constexpr const char* live_prefix = "o/";
constexpr const char* catalog_key = "o/k";
constexpr const char* idle_pool_name = ".pool";

std::string job_key(const std::string& ref);
std::string final_key(const std::string& ref);

/// Key and value as the state service has them.
std::string encode_key(const Key& key, ClusterState& model);
wire::Json encode_value(const Change& change, ClusterState& model);
/// A change of the live keys; nothing for keys or values this version does not know.
std::optional<Change> decode(const std::string& key, const wire::Json* value, ClusterState& model);
/// The phase in a job's record.
std::optional<JobPhase> read_phase(const wire::Json& value);
wire::Json with_phase(wire::Json value, JobPhase phase);
wire::Json job_value(const JobSpec& spec, JobPhase phase, const Names& names);

}  // namespace oxbowmill::state
