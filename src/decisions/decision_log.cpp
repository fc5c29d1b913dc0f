#include "oxbowmill/decisions/decision_log.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace oxbowmill::decisions {

bool DecisionKind::allows(const std::string& from, const std::string& replacement) const {
  return std::any_of(transitions.begin(), transitions.end(),
                     [&](const Transition& s) { return s.from == from && s.to == replacement; });
}

DecisionLog::DecisionLog(ClusterState& model, Scheduler& scheduler, double share)
    : state_(model),
      scheduler_(scheduler),
      budget_(share * model.settings.state_write_rps, std::max(4.0, share * model.settings.state_write_rps)),
      pending_changes_(std::make_shared<std::set<std::string>>()) {}

const Decision* DecisionLog::find(const DecisionKind& kind, const std::string& name) const {
  auto it = state_.decisions.find(kind.key(name));
  return it == state_.decisions.end() ? nullptr : &it->second;
}

ChangeResult DecisionLog::change(const DecisionKind& kind, const std::string& name, DecisionRecord next,
                                 PartitionIndex partition, Clock clock, Effects& out, bool urgent,
                                 std::vector<Guard> also) {
  std::string key = kind.key(name);
  // While the outcome of an earlier change is open nobody knows what the next would be made from. A second
  // one beside it could be the late copy that is carried out.
  if (has_pending_change(kind, name)) return ChangeResult::in_flight;
  if (partition.valid() && !scheduler_.owns(partition)) return ChangeResult::not_owner;
  const Decision* now = find(kind, name);
  std::string from = now == nullptr ? "" : now->record.state;
  bool falls = now != nullptr && (next.epoch < now->record.epoch || next.version < now->record.version);
  if (!kind.allows(from, next.state) || falls) {
    SPDLOG_ERROR("decision {}: {} -> {} in epoch {} is no step of it", key, from, next.state, next.epoch);
    return ChangeResult::invalid_transition;
  }
  // The budget is taken from even by what is urgent, so that the rest gives way to it.
  if (!budget_.take(1, clock.now) && !urgent) return ChangeResult::rate_limited;
  next.sequence = now == nullptr ? 1 : now->record.sequence + 1;
  if (from != next.state || (now != nullptr && next.epoch != now->record.epoch)) next.changed_at = clock.wall;
  Transaction txn;
  if (partition.valid()) txn.guards.push_back(scheduler_.ownership_guard(partition));
  txn.guards.push_back({DecisionKey{key}, now == nullptr ? 0 : now->revision});
  for (Guard& g : also) txn.guards.push_back(std::move(g));
  if (from != next.state) {
    SPDLOG_INFO("decision {}: {} -> {}, epoch {}{}{}", key, from.empty() ? "none" : from, next.state,
                next.epoch, next.reason.empty() ? "" : ": ", next.reason);
  } else {
    SPDLOG_DEBUG("decision {}: {} goes on, change {}: {}", key, from, next.sequence, next.reason);
  }
  txn.changes = {{DecisionKey{key}, std::move(next)}};
  pending_changes_->insert(key);
  ++changes_sent_;
  scheduler_.queue_transaction(out, urgent ? Urgency::placement : Urgency::other, std::move(txn), {}, {},
                               [pending_changes = pending_changes_, key] { pending_changes->erase(key); });
  return ChangeResult::sent;
}

void CombinedConstraints::constrain(JobIndex job, PlacementLimits& limits) const {
  for (const PlacementConstraints* c : constraints_) c->constrain(job, limits);
}

std::vector<TaskId> CombinedConstraints::tasks_to_preempt(PartitionIndex partition) const {
  std::vector<TaskId> out;
  for (const PlacementConstraints* c : constraints_) {
    auto more = c->tasks_to_preempt(partition);
    out.insert(out.end(), more.begin(), more.end());
  }
  return out;
}

double LowerBoundClock::earliest_time(Clock clock) {
  double ahead = clock.wall - clock.now;
  while (!offsets_.empty() && offsets_.back().offset_s >= ahead) offsets_.pop_back();
  offsets_.push_back({clock.now, ahead});
  while (clock.now - offsets_.front().measured_at > window_s_) offsets_.pop_front();
  return clock.now + offsets_.front().offset_s - skew_s_;
}

}  // namespace oxbowmill::decisions
