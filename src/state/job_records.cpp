// Encodes and decodes the records of jobs and of their chunks of tasks.
#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "oxbowmill/state/keys.h"
#include "record_codecs.h"
#include "stored_fields.h"
#include "stored_names.h"

namespace oxbowmill::state {

using wire::Json;

namespace {

std::string to_hex(std::uint64_t bits) {
  char text[20];
  std::snprintf(text, sizeof text, "%llx", static_cast<unsigned long long>(bits));
  return text;
}

std::uint64_t from_hex(const Json& json) {
  return json.is_string() ? std::strtoull(json.get_ref<const std::string&>().c_str(), nullptr, 16) : 0;
}

std::uint64_t read_bits(const Json& record, const char* field) {
  return record.count(field) != 0 ? from_hex(record[field]) : 0;
}

std::optional<JobPhase> parse_phase(const std::string& text) {
  for (JobPhase phase : {JobPhase::open, JobPhase::done, JobPhase::cancelled}) {
    if (text == name_of(phase)) return phase;
  }
  return std::nullopt;
}

Json encode_placement(const PlacedTask& placed, const Names& names) {
  Json row = Json::array(
      {placed.task, names.machines.name(placed.machine), placed.attempt, placed.restarting ? 1 : 0});
  if (placed.placed_after_s >= 0) row.push_back(static_cast<std::int64_t>(placed.placed_after_s));
  return row;
}

std::optional<PlacedTask> decode_placement(const Json& row, ClusterState& cluster) {
  if (!row.is_array() || row.size() < 4 || !row[0].is_number() || !row[1].is_string() ||
      !row[2].is_number() || !row[3].is_number()) {
    return std::nullopt;
  }
  return PlacedTask{row[0].get<TaskNumber>(), cluster.intern_machine(row[1].get<std::string>()),
                    row[2].get<Attempt>(), row[3].get<int>() != 0,
                    row.size() > 4 && row[4].is_number() ? row[4].get<double>() : -1};
}

/// Drops run times, then checkpoints, from a value that exceeds the size limit of the state service. Both
/// only improve decisions, whereas placements must be stored.
void drop_optional_rows_over_limit(Json& value, const ChunkRecord& record, double max_value_kb) {
  constexpr std::size_t rows_that_always_fit = 24;
  if (record.placements.size() + record.checkpoints.size() + record.finishes.size() <= rows_that_always_fit)
    return;
  for (const char* optional_field : {stored::chunk::finishes, stored::chunk::checkpoints}) {
    if (static_cast<double>(wire::to_json_text(value).size()) > max_value_kb * 1024)
      value.erase(optional_field);
  }
}

/// The rows of a list of checkpoints or run times. Malformed rows are skipped, because both are optional.
std::vector<const Json*> well_formed_rows(const Json& value, const char* field, std::size_t min_size) {
  std::vector<const Json*> rows;
  auto list = value.find(field);
  if (list == value.end() || !list->is_array()) return rows;
  for (const Json& row : *list) {
    bool well_formed = row.is_array() && row.size() >= min_size &&
                       std::all_of(row.begin(), row.end(), [](const Json& item) { return item.is_number(); });
    if (well_formed) rows.push_back(&row);
  }
  return rows;
}

}  // namespace

std::optional<JobPhase> read_phase(const Json& value) {
  return value.is_object() ? parse_phase(read_string(value, stored::job::phase)) : std::nullopt;
}

Json with_phase(Json value, JobPhase phase) {
  value[stored::job::phase] = name_of(phase);
  return value;
}

namespace {
Json value_of_job(Json submission, double submitted_at, JobPhase phase) {
  return {{stored::job::spec, std::move(submission)},
          {stored::job::phase, name_of(phase)},
          {stored::job::submitted_at, submitted_at}};
}
}  // namespace

Json job_value(const JobSpec& spec, JobPhase phase, const Names& names) {
  return value_of_job(wire::write_submission(spec, names), spec.submitted_at, phase);
}

Json job_value(const wire::Submission& submission, JobPhase phase, const Names& names) {
  return value_of_job(wire::write_submission(submission, names), submission.spec.submitted_at, phase);
}

Json encode_record(const JobRecord& record, const ClusterState& cluster) {
  return job_value(record.spec, record.phase, cluster.names);
}

Json encode_record(JobPhase final_phase, const ClusterState&) {
  return {{stored::job::phase, name_of(final_phase)}};
}

std::optional<JobRecord> decode_job(const Json& value, ClusterState& cluster) {
  auto submission = value.find(stored::job::spec);
  auto submitted_at = value.find(stored::job::submitted_at);
  auto phase = read_phase(value);
  if (submission == value.end() || !submission->is_object() || !phase || submitted_at == value.end() ||
      !submitted_at->is_number()) {
    return std::nullopt;
  }
  // Interned first, because the record must stay readable if the catalog no longer has one of its types.
  for (const std::string& type : wire::submitted_types(*submission)) cluster.intern_type(type);
  JobRecord record;
  if (wire::read_submission(*submission, cluster.names, record.spec)) return std::nullopt;
  record.spec.submitted_at = submitted_at->get<double>();
  record.phase = *phase;
  return record;
}

Json encode_record(const ChunkRecord& record, const ClusterState& cluster) {
  Json placements = Json::array();
  for (const PlacedTask& placed : record.placements)
    placements.push_back(encode_placement(placed, cluster.names));
  Json value = {{stored::chunk::done, to_hex(record.done)},
                {stored::chunk::restarted, to_hex(record.restarted)},
                {stored::chunk::placements, std::move(placements)}};
  // The bounds are rounded outwards, so that the stored interval still contains the saved progress.
  for (const auto& [task, saved] : record.checkpoints) {
    value[stored::chunk::checkpoints].push_back(
        Json::array({task, std::floor(saved.low), std::floor(saved.likely), std::ceil(saved.high)}));
  }
  for (const checkpoint::FinishedTask& finished : record.finishes) {
    value[stored::chunk::finishes].push_back(Json::array(
        {finished.task, std::round(10 * finished.run_s) / 10, std::floor(finished.finished_at_s)}));
  }
  drop_optional_rows_over_limit(value, record, cluster.settings.max_value_kb);
  return value;
}

std::optional<ChunkRecord> decode_chunk(const Json& value, ClusterState& cluster) {
  ChunkRecord record;
  record.done = read_bits(value, stored::chunk::done);
  record.restarted = read_bits(value, stored::chunk::restarted);
  auto placements = value.find(stored::chunk::placements);
  if (placements == value.end() || !placements->is_array()) return std::nullopt;
  for (const Json& row : *placements) {
    auto placed = decode_placement(row, cluster);
    if (!placed) return std::nullopt;
    record.placements.push_back(*placed);
  }
  for (const Json* row : well_formed_rows(value, stored::chunk::checkpoints, 4)) {
    record.checkpoints[row->at(0).get<TaskNumber>()] = {row->at(1).get<double>(), row->at(2).get<double>(),
                                                        row->at(3).get<double>()};
  }
  for (const Json* row : well_formed_rows(value, stored::chunk::finishes, 3)) {
    record.finishes.push_back(
        {row->at(0).get<TaskNumber>(), row->at(1).get<double>(), row->at(2).get<double>()});
  }
  return record;
}

}  // namespace oxbowmill::state
