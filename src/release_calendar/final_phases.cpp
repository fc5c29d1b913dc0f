#include "oxbowmill/release_calendar/final_phases.h"

namespace oxbowmill::release_calendar {

namespace {

constexpr double query_retry_s = 5;  // between queries for a job without a record

}  // namespace

std::optional<JobPhase> FinalPhases::phase_of(const std::string& ref, Seconds now) {
  auto known = final_phases_.find(ref);
  if (known != final_phases_.end()) return known->second;
  const Job* job = state_.live_job(state_.find_job(ref));
  if (job != nullptr) {
    queries_.erase(ref);
    if (job->phase != JobPhase::open) final_phases_[ref] = job->phase;
    return job->phase;
  }
  // The job is final or has not been submitted yet; the state service knows which.
  auto [entry, is_new] = queries_.try_emplace(ref);
  PhaseQuery& query = entry->second;
  if (!query.in_flight && (is_new || now - query.updated_at >= query_retry_s) && query_) {
    query = {now, true};
    query_(ref);
  }
  return std::nullopt;
}

bool FinalPhases::is_known_done(const std::string& ref) const {
  auto known = final_phases_.find(ref);
  return known != final_phases_.end() && known->second == JobPhase::done;
}

void FinalPhases::on_answer(const std::string& ref, std::optional<JobPhase> phase, Seconds now) {
  if (phase) final_phases_[ref] = *phase;
  auto query = queries_.find(ref);
  if (query == queries_.end()) return;
  query->second = {now, false};
  if (phase) queries_.erase(query);
}

}  // namespace oxbowmill::release_calendar
