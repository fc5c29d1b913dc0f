// Encodes and decodes the records of machines and of ownership. A controller's registration has the same form
// as the ownership of a partition.
#include "record_codecs.h"
#include "stored_fields.h"
#include "stored_names.h"

namespace oxbowmill::state {

using wire::Json;

Json encode_record(const MachineRecord& record, const ClusterState& cluster) {
  namespace field = stored::machine;
  const Names& names = cluster.names;
  Json value = {{field::partition, names.partitions.name(record.partition)},
                {field::type, names.types.name(record.type)},
                {field::zone, names.zones.name(record.zone)},
                {field::spot, record.spot},
                {field::deleting, record.mark == MachineMark::deleting}};
  if (record.has_booted) value[field::has_booted] = true;
  if (record.requested_by.valid()) value[field::requested_by] = names.partitions.name(record.requested_by);
  if (record.market.valid()) {
    value[field::market] = names.markets.name(record.market);
    value[field::bid] = record.bid;
  }
  return value;
}

std::optional<MachineRecord> decode_machine(const Json& value, ClusterState& cluster) {
  namespace field = stored::machine;
  Names& names = cluster.names;
  MachineRecord record;
  record.partition = names.partitions.find(read_string(value, field::partition));
  record.type = cluster.intern_type(read_string(value, field::type));
  record.zone = names.zones.find(read_string(value, field::zone));
  record.requested_by = names.partitions.find(read_string(value, field::requested_by));
  bool is_deleting = false;
  if (!read_flag(value, field::spot, record.spot) ||
      !read_flag(value, field::has_booted, record.has_booted) ||
      !read_flag(value, field::deleting, is_deleting)) {
    return std::nullopt;
  }
  record.mark = is_deleting ? MachineMark::deleting : MachineMark::none;
  if (std::string market = read_string(value, field::market); !market.empty()) {
    record.market = names.markets.intern(market);
    record.bid = read_string(value, field::bid);
  }
  if (!record.partition.valid() || !record.zone.valid()) return std::nullopt;
  return record;
}

Json encode_record(const OwnershipRecord& record, const ClusterState&) {
  return {{stored::ownership::controller, record.controller}, {stored::ownership::lease_id, record.lease_id}};
}

OwnershipRecord decode_ownership(const Json& value) {
  OwnershipRecord record{read_string(value, stored::ownership::controller), 0};
  auto lease_id = value.find(stored::ownership::lease_id);
  if (lease_id != value.end() && lease_id->is_number()) record.lease_id = lease_id->get<std::uint64_t>();
  return record;
}

}  // namespace oxbowmill::state
