#include "oxbowmill/release_calendar/release_coordinator.h"

#include <algorithm>

namespace oxbowmill::release_calendar {

namespace {

constexpr double cycle_interval_s = 0.25;

}  // namespace

ReleaseCoordinator::ReleaseCoordinator(ClusterState& state, decisions::DecisionLog& decision_log,
                                       const Scheduler& scheduler, double skew_s)
    : decision_log_(decision_log),
      scheduler_(scheduler),
      lower_bound_clock_(skew_s),
      final_phases_(state, query_final_phase),
      lifecycle_(state, decision_log, final_phases_),
      constraints_(state, decision_log, calendar_, records_, final_phases_) {}

bool ReleaseCoordinator::load(ReleaseCalendar calendar) {
  if (calendar.version < calendar_.version) return false;
  calendar_ = std::move(calendar);
  return true;
}

void ReleaseCoordinator::run_cycle(Clock clock, Effects& out) {
  const double earliest_time = lower_bound_clock_.earliest_time(clock);
  if (clock.now < next_cycle_at_) return;
  next_cycle_at_ = clock.now + cycle_interval_s;
  records_.refresh(decision_log_);
  if (!calendar_.empty()) {
    write_specs(clock, out);
    write_removals(clock, out);
  }
  if (!scheduler_.is_leader()) return;
  for (auto& [name, release] : records_.all()) {
    if (release.is_readable && !decision_log_.has_pending_change(decision_kind(), name))
      lifecycle_.reconcile(name, release, clock, earliest_time, out);
  }
}

void ReleaseCoordinator::write_specs(Clock clock, Effects& out) {
  for (const ReleaseSpec& release_spec : calendar_.releases) {
    const Decision* current = decision_log_.find(spec_kind(), release_spec.name);
    if (current != nullptr && current->record.version >= calendar_.version) continue;
    DecisionRecord next = current == nullptr ? DecisionRecord() : current->record;
    next.state = stored_name(SpecStatus::active);
    next.notes.clear();
    write_spec(next, release_spec);
    next.reason = "by the file of version " + std::to_string(calendar_.version);
    write_spec_record(release_spec.name, std::move(next), clock, out);
  }
}

void ReleaseCoordinator::write_removals(Clock clock, Effects& out) {
  for (const auto& [name, release] : records_.all()) {
    const bool is_named = std::any_of(calendar_.releases.begin(), calendar_.releases.end(),
                                      [&name = name](const ReleaseSpec& spec) { return spec.name == name; });
    const Decision* current = decision_log_.find(spec_kind(), name);
    if (is_named || current == nullptr || current->record.version >= calendar_.version) continue;
    DecisionRecord next = current->record;
    next.state = stored_name(SpecStatus::removed);
    next.notes.clear();
    next.reason = "not in the file of version " + std::to_string(calendar_.version);
    write_spec_record(name, std::move(next), clock, out);
  }
}

void ReleaseCoordinator::write_spec_record(const std::string& name, DecisionRecord next, Clock clock,
                                           Effects& out) {
  next.version = calendar_.version;
  // Any controller may write the spec record: the file with the highest version wins, not a partition's
  // owner.
  decision_log_.change(spec_kind(), name, std::move(next), PartitionIndex{}, clock, out, /*urgent=*/true);
}

const std::string& ReleaseCoordinator::pending_reason(const std::string& release) const {
  static const std::string no_reason;
  const ReleaseState* state = records_.find(release);
  return state == nullptr ? no_reason : state->pending_reason;
}

}  // namespace oxbowmill::release_calendar
