// Encodes and decodes the records of durable decisions (docs/decisions.md).
#include "record_codecs.h"
#include "stored_fields.h"
#include "stored_names.h"

namespace oxbowmill::state {

using wire::Json;

Json encode_record(const DecisionRecord& record, const ClusterState&) {
  namespace field = stored::decision;
  Json value = {{field::state, record.state},
                {field::sequence, record.sequence},
                {field::changed_at, record.changed_at}};
  if (record.version != 0) value[field::version] = record.version;
  if (record.epoch != 0) value[field::epoch] = record.epoch;
  if (!record.reason.empty()) value[field::reason] = record.reason;
  if (!record.counts.empty()) value[field::counts] = record.counts;
  if (!record.notes.empty()) value[field::notes] = record.notes;
  return value;
}

std::optional<DecisionRecord> decode_decision(const Json& value) {
  namespace field = stored::decision;
  DecisionRecord record;
  record.state = read_string(value, field::state);
  record.sequence = read_integer(value, field::sequence);
  record.version = read_integer(value, field::version);
  record.epoch = read_integer(value, field::epoch);
  record.changed_at = read_number(value, field::changed_at);
  record.reason = read_string(value, field::reason);
  if (record.state.empty() || record.sequence == 0) return std::nullopt;
  auto counts = value.find(field::counts), notes = value.find(field::notes);
  if (counts != value.end() && counts->is_object()) {
    for (const auto& [name, count] : counts->items()) {
      if (count.is_number_integer()) record.counts[name] = count.get<std::uint64_t>();
    }
  }
  if (notes != value.end() && notes->is_object()) {
    for (const auto& [name, note] : notes->items()) {
      if (note.is_string()) record.notes[name] = note.get<std::string>();
    }
  }
  return record;
}

}  // namespace oxbowmill::state
