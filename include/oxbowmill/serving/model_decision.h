// Decision record of a model: its states, its stored format, and the formulas from which its owner decides.
// Owns no state. See docs/model-serving.md.
#pragma once

#include "oxbowmill/decisions/decision_log.h"
#include "oxbowmill/serving/model_spec.h"

namespace oxbowmill::serving {

/// State of a model's decision record. An epoch is one round from `warming` to `cold`.
enum class ModelStatus : std::uint8_t {
  none,     ///< no record yet
  cold,     ///< no replica
  warming,  ///< the first replica starts; no other may start
  ready,    ///< a replica was reported running; calls may be placed
  cooling,  ///< idle: replicas are being stopped
  unknown,  ///< a state that this version does not know
};

/// Names of the states in stored records. Stored data: the names must not change.
inline constexpr decisions::StateNames<ModelStatus, 5> model_status_names = {{{
    {ModelStatus::none, ""},
    {ModelStatus::cold, "cold"},
    {ModelStatus::warming, "warming"},
    {ModelStatus::ready, "serving"},
    {ModelStatus::cooling, "cooling"},
}}};
/// Stored name of ModelStatus::warming, for code that reads stored records directly.
inline const std::string warming_stored_name = model_status_names.stored_name(ModelStatus::warming);

/// State of the record; `unknown` if this version does not know it.
ModelStatus status_of(const DecisionRecord& record);
/// Kind of the decision records of models, with the allowed changes of ModelStatus.
const decisions::DecisionKind& decision_kind();

/// Number of replicas that the record decides on; none if it has no number.
std::optional<std::uint32_t> replicas_of(const DecisionRecord& record);
/// Stores the number of replicas in the record.
void write_replicas(DecisionRecord& record, std::uint32_t replicas);
/// Id of the service job whose replicas the record decides on; none if it names no job.
std::optional<std::string> service_job_of(const DecisionRecord& record);
/// Stores the id of the service job in the record.
void write_service_job(DecisionRecord& record, const std::string& ref);
/// Durations of the latest cold starts, in seconds, in no particular order.
std::vector<double> cold_starts_of(const DecisionRecord& record);
/// Stores the duration of the cold start of the record's epoch, in seconds. It replaces the oldest stored
/// one.
void record_cold_start(DecisionRecord& record, double duration_s);

/// Seconds without calls after which a model cools down: max(median of the cold starts x factor, floor).
double idle_timeout(const std::vector<double>& cold_starts, const ModelSpec& model_spec);
/// Number of replicas for this number of calls, within the minimum and maximum of the spec.
std::uint32_t replicas_for(std::uint32_t calls, const ModelSpec& model_spec);

}  // namespace oxbowmill::serving
