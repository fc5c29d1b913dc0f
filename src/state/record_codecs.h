// An encoder and a decoder for the value of each record type. Decoders return an empty optional for a record
// that this version cannot read. They intern the names of machine types, machines and markets, possibly also
// those in an unreadable record. Partitions and zones come from the settings and are only looked up.
#pragma once

#include <optional>

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/cluster/records.h"
#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::state {

wire::Json encode_record(const JobRecord& record, const ClusterState& cluster);
wire::Json encode_record(const ChunkRecord& record, const ClusterState& cluster);
wire::Json encode_record(const MachineRecord& record, const ClusterState& cluster);
wire::Json encode_record(const OwnershipRecord& record, const ClusterState& cluster);
wire::Json encode_record(JobPhase final_phase, const ClusterState& cluster);
wire::Json encode_record(const BidRecord& record, const ClusterState& cluster);
wire::Json encode_record(const LedgerRecord& record, const ClusterState& cluster);
wire::Json encode_record(const MarketRecord& record, const ClusterState& cluster);
wire::Json encode_record(const DecisionRecord& record, const ClusterState& cluster);

std::optional<JobRecord> decode_job(const wire::Json& value, ClusterState& cluster);
std::optional<ChunkRecord> decode_chunk(const wire::Json& value, ClusterState& cluster);
std::optional<MachineRecord> decode_machine(const wire::Json& value, ClusterState& cluster);
OwnershipRecord decode_ownership(const wire::Json& value);
std::optional<BidRecord> decode_bid(const wire::Json& value, ClusterState& cluster);
std::optional<LedgerRecord> decode_ledger(const wire::Json& value, const Names& names);
std::optional<MarketRecord> decode_market(const wire::Json& value);
std::optional<DecisionRecord> decode_decision(const wire::Json& value);

}  // namespace oxbowmill::state
