// The durable decision of a model: its states, its stored format, and the formulas that its owner decides by.
// Owns no state. docs/model-serving.md.
#pragma once

#include "oxbowmill/decisions/decision_log.h"
#include "oxbowmill/serving/model_spec.h"

namespace oxbowmill::serving {

/// State of a model's decision. An epoch is one round from `warming` to `cold`.
enum class ModelStatus : std::uint8_t {
  none,     ///< no record yet
  cold,     ///< no replica
  warming,  ///< the first replica starts, and no other
  ready,    ///< a replica was reported running; calls may be placed
  cooling,  ///< idle: replicas are being stopped
  unknown,  ///< a state that this version does not know
};

/// The states and the names that records store. Stored data: the names may not change.
inline constexpr decisions::StateNames<ModelStatus, 5> model_status_names = {{{
    {ModelStatus::none, ""},
    {ModelStatus::cold, "cold"},
    {ModelStatus::warming, "warming"},
    {ModelStatus::ready, "serving"},
    {ModelStatus::cooling, "cooling"},
}}};
/// The stored name of ModelStatus::warming, for code that reads stored records directly.
inline const std::string warming = model_status_names.stored_name(ModelStatus::warming);

/// The state that a record has.
ModelStatus status_of(const DecisionRecord& record);
/// Kind of the decisions on models, with the allowed changes of ModelStatus.
const decisions::DecisionKind& decision_kind();

/// The number of replicas that the record decides on; none if it has no such number.
std::optional<std::uint32_t> replicas_of(const DecisionRecord& record);
/// Stores the number of replicas in the record.
void write_replicas(DecisionRecord& record, std::uint32_t replicas);
/// The id of the service job whose replicas the record decides on; none if it names no job.
std::optional<std::string> service_job_of(const DecisionRecord& record);
/// Stores the id of the service job in the record.
void write_service_job(DecisionRecord& record, const std::string& ref);
/// The durations of the last cold starts, in seconds, in no particular order.
std::vector<double> cold_starts_of(const DecisionRecord& record);
/// Stores the duration of the cold start of the record's epoch, in seconds; the oldest one is forgotten.
void record_cold_start(DecisionRecord& record, double duration_s);

/// Seconds without calls after which a model cools down: max(median of the cold starts x factor, floor).
double idle_timeout(const std::vector<double>& cold_starts, const ModelSpec& model_spec);
/// Number of replicas for so many calls, within the bounds of the spec.
std::uint32_t replicas_for(std::uint32_t calls, const ModelSpec& model_spec);

}  // namespace oxbowmill::serving
