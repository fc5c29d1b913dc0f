#include "oxbowmill/serving/model_decision.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill::serving {

namespace {

constexpr std::size_t retained_cold_starts = 9;
constexpr double ms_per_s = 1000;  // cold starts are stored in milliseconds
// Names of counts and notes in the records. Stored data: the names must not change.
const std::string replicas_field = "replicas";
const std::string service_job_field = "job";

std::string cold_start_field(std::size_t slot) {
  return "start" + std::to_string(slot);
}

}  // namespace

ModelStatus status_of(const DecisionRecord& record) {
  return model_status_names.parse(record.state, ModelStatus::unknown);
}

const decisions::DecisionKind& decision_kind() {
  using Status = ModelStatus;
  static const decisions::DecisionKind kind =
      decisions::make_kind<Status>("model", model_status_names,
                                   {{Status::none, Status::cold},
                                    {Status::cold, Status::cold},
                                    {Status::cold, Status::warming},
                                    {Status::warming, Status::ready},
                                    {Status::warming, Status::cooling},
                                    {Status::ready, Status::ready},
                                    {Status::ready, Status::cooling},
                                    {Status::cooling, Status::ready},
                                    {Status::cooling, Status::cold}});
  return kind;
}

std::optional<std::uint32_t> replicas_of(const DecisionRecord& record) {
  auto count = record.counts.find(replicas_field);
  if (count == record.counts.end()) return std::nullopt;
  return static_cast<std::uint32_t>(count->second);
}

void write_replicas(DecisionRecord& record, std::uint32_t replicas) {
  record.counts[replicas_field] = replicas;
}

std::optional<std::string> service_job_of(const DecisionRecord& record) {
  auto note = record.notes.find(service_job_field);
  if (note == record.notes.end()) return std::nullopt;
  return note->second;
}

void write_service_job(DecisionRecord& record, const std::string& ref) {
  record.notes[service_job_field] = ref;
}

std::vector<double> cold_starts_of(const DecisionRecord& record) {
  std::vector<double> durations;
  for (std::size_t slot = 0; slot < retained_cold_starts; ++slot) {
    auto count = record.counts.find(cold_start_field(slot));
    if (count != record.counts.end()) durations.push_back(static_cast<double>(count->second) / ms_per_s);
  }
  return durations;
}

void record_cold_start(DecisionRecord& record, double duration_s) {
  record.counts[cold_start_field(record.epoch % retained_cold_starts)] =
      static_cast<std::uint64_t>(std::max(0.0, duration_s) * ms_per_s);
}

double idle_timeout(const std::vector<double>& cold_starts, const ModelSpec& model_spec) {
  if (cold_starts.empty()) return model_spec.idle_floor_s;
  std::vector<double> sorted = cold_starts;
  std::sort(sorted.begin(), sorted.end());
  const std::size_t count = sorted.size();
  const double median = count % 2 == 1 ? sorted[count / 2] : (sorted[count / 2 - 1] + sorted[count / 2]) / 2;
  return std::max(median * model_spec.idle_factor, model_spec.idle_floor_s);
}

std::uint32_t replicas_for(std::uint32_t calls, const ModelSpec& model_spec) {
  auto wanted = static_cast<std::uint32_t>(std::ceil(calls / model_spec.calls_per_replica));
  return std::clamp(wanted, model_spec.min_replicas,
                    std::max(model_spec.min_replicas, model_spec.max_replicas));
}

}  // namespace oxbowmill::serving
