// Encodes and decodes the records of bids, of the ledger and of markets. An unreadable amount by partition
// makes the whole record unreadable, so that no money is silently left out of the sums.
#include "record_codecs.h"
#include "stored_fields.h"
#include "stored_names.h"

namespace oxbowmill::state {

using wire::Json;

namespace {

template <class Amount>
Json encode_by_partition(const std::map<PartitionIndex, Amount>& amounts, const Names& names) {
  Json json = Json::object();
  for (const auto& [partition, amount] : amounts) json[names.partitions.name(partition)] = amount;
  return json;
}

/// Empty if the field is missing or an amount cannot be read. The amount of a team that is no longer in the
/// settings is added to the idle pool's.
template <class Amount>
std::optional<std::map<PartitionIndex, Amount>> decode_by_partition(const Json& record, const char* field,
                                                                    const Names& names) {
  auto it = record.find(field);
  if (it == record.end() || !it->is_object()) return std::nullopt;
  std::map<PartitionIndex, Amount> amounts;
  for (const auto& [name, amount] : it->items()) {
    PartitionIndex partition = names.partitions.find(name);
    if (!amount.is_number()) return std::nullopt;
    amounts[partition.valid() ? partition : idle_pool] += amount.template get<Amount>();
  }
  return amounts;
}

}  // namespace

Json encode_record(const BidRecord& record, const ClusterState& cluster) {
  namespace field = stored::bid;
  const Names& names = cluster.names;
  return {{field::market, names.markets.name(record.market)},
          {field::type, names.types.name(record.type)},
          {field::zone, names.zones.name(record.zone)},
          {field::spot, record.spot},
          {field::price_limit, record.price_limit},
          {field::max_paid_s, record.max_paid_s},
          {field::send_before, record.send_before},
          {field::delivery_s, record.delivery_s},
          {field::machines, encode_by_partition(record.machines, names)}};
}

std::optional<BidRecord> decode_bid(const Json& value, ClusterState& cluster) {
  namespace field = stored::bid;
  BidRecord record;
  std::string market = read_string(value, field::market);
  record.type = cluster.intern_type(read_string(value, field::type));
  record.zone = cluster.names.zones.find(read_string(value, field::zone));
  if (!read_flag(value, field::spot, record.spot)) return std::nullopt;
  record.price_limit = static_cast<MoneyAmount>(read_number(value, field::price_limit));
  record.max_paid_s = read_number(value, field::max_paid_s);
  record.send_before = read_number(value, field::send_before);
  record.delivery_s = read_number(value, field::delivery_s);
  if (market.empty() || !record.zone.valid() || record.price_limit <= 0 || record.max_paid_s <= 0)
    return std::nullopt;
  auto machines = decode_by_partition<std::uint32_t>(value, field::machines, cluster.names);
  if (!machines) return std::nullopt;
  record.machines = std::move(*machines);
  record.market = cluster.names.markets.intern(market);
  return record;
}

Json encode_record(const LedgerRecord& record, const ClusterState& cluster) {
  return {{stored::ledger::window, record.window},
          {stored::ledger::spent, encode_by_partition(record.spent, cluster.names)}};
}

std::optional<LedgerRecord> decode_ledger(const Json& value, const Names& names) {
  auto spent = decode_by_partition<MoneyAmount>(value, stored::ledger::spent, names);
  if (!spent) return std::nullopt;
  return LedgerRecord{static_cast<std::int64_t>(read_number(value, stored::ledger::window)),
                      std::move(*spent)};
}

Json encode_record(const MarketRecord& record, const ClusterState&) {
  namespace field = stored::market;
  const MarketEvidence& evidence = record.evidence;
  Json value = {{field::deliveries, {evidence.delivered, evidence.undelivered}},
                {field::delay, {evidence.delay_weight, evidence.delay_mean, evidence.delay_m2}},
                {field::drift, {evidence.drift_weight, evidence.drift_mean, evidence.drift_m2}}};
  if (record.suspended) value[field::suspension_reason] = record.reason;
  return value;
}

std::optional<MarketRecord> decode_market(const Json& value) {
  namespace field = stored::market;
  MarketRecord record;
  MarketEvidence& evidence = record.evidence;
  record.reason = read_string(value, field::suspension_reason);
  record.suspended = value.contains(field::suspension_reason);
  if (!read_numbers(value, field::deliveries, {&evidence.delivered, &evidence.undelivered}) ||
      !read_numbers(value, field::delay,
                    {&evidence.delay_weight, &evidence.delay_mean, &evidence.delay_m2}) ||
      !read_numbers(value, field::drift,
                    {&evidence.drift_weight, &evidence.drift_mean, &evidence.drift_m2})) {
    return std::nullopt;
  }
  return record;
}

}  // namespace oxbowmill::state
