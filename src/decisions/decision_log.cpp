#include "oxbowmill/decisions/decision_log.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace oxbowmill::decisions {

namespace {

constexpr double min_burst_writes =
    4;  // allows a round of changes at once even if the state service's write rate is low

bool is_allowed_change(const DecisionKind& kind, const Decision* current, const DecisionRecord& next) {
  if (current == nullptr) return kind.allows("", next.state);
  const DecisionRecord& record = current->record;
  return kind.allows(record.state, next.state) && next.epoch >= record.epoch &&
         next.version >= record.version;
}

void log_change(const std::string& key, const std::string& from, const DecisionRecord& next) {
  if (from != next.state) {
    SPDLOG_INFO("decision changed decision={} from={} to={} epoch={} reason=\"{}\"", key,
                from.empty() ? "none" : from, next.state, next.epoch, next.reason);
  } else {
    SPDLOG_DEBUG("decision updated decision={} state={} sequence={} reason=\"{}\"", key, from, next.sequence,
                 next.reason);
  }
}

}  // namespace

DecisionLog::DecisionLog(ClusterState& state, Scheduler& scheduler, double write_fraction)
    : state_(state),
      scheduler_(scheduler),
      write_budget_(write_fraction * state.settings.state_write_rps,
                    std::max(min_burst_writes, write_fraction * state.settings.state_write_rps)),
      pending_changes_(std::make_shared<std::set<std::string>>()) {}

const Decision* DecisionLog::find(const DecisionKind& kind, const std::string& name) const {
  auto it = state_.decisions.find(kind.key(name));
  return it == state_.decisions.end() ? nullptr : &it->second;
}

ChangeResult DecisionLog::change(const DecisionKind& kind, const std::string& name, DecisionRecord next,
                                 PartitionIndex partition, Clock clock, Effects& out, bool urgent,
                                 std::vector<Guard> additional_guards) {
  const std::string key = kind.key(name);
  // Until the outcome of an earlier change is known, the record that the next change would be based on is not
  // known either. A late copy of the first change could also overtake the second.
  if (has_pending_change(kind, name)) return ChangeResult::in_flight;
  if (partition.valid() && !scheduler_.owns(partition)) return ChangeResult::not_owner;
  const Decision* current = find(kind, name);
  const std::string from = current == nullptr ? "" : current->record.state;
  if (!is_allowed_change(kind, current, next)) {
    SPDLOG_ERROR("decision change not allowed decision={} from={} to={} epoch={}", key,
                 from.empty() ? "none" : from, next.state, next.epoch);
    return ChangeResult::invalid_transition;
  }
  // Urgent changes also use up the budget, so that other changes are delayed in their favour.
  if (!write_budget_.take(1, clock.now) && !urgent) return ChangeResult::rate_limited;
  next.sequence = current == nullptr ? 1 : current->record.sequence + 1;
  const bool begins_epoch = current != nullptr && next.epoch != current->record.epoch;
  if (from != next.state || begins_epoch) next.changed_at = clock.wall;
  Transaction transaction;
  if (partition.valid()) transaction.guards.push_back(scheduler_.ownership_guard(partition));
  transaction.guards.push_back({DecisionKey{key}, current == nullptr ? 0 : current->revision});
  for (Guard& guard : additional_guards) transaction.guards.push_back(std::move(guard));
  log_change(key, from, next);
  transaction.changes = {{DecisionKey{key}, std::move(next)}};
  pending_changes_->insert(key);
  ++changes_sent_;
  scheduler_.queue_transaction(out, urgent ? Urgency::placement : Urgency::other, std::move(transaction), {},
                               {},
                               [pending_changes = pending_changes_, key] { pending_changes->erase(key); });
  return ChangeResult::sent;
}

}  // namespace oxbowmill::decisions
