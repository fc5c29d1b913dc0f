// Durable decisions: records with a named state that one controller changes, in one guarded transaction each,
// and that others build upon. Pure; docs/decisions.md holds the reasons and the safety points.
#pragma once

#include <memory>
#include <set>

#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill::decisions {

/// The states of a kind of decision and the changes between them. A change from a state to itself alters what
/// stands beside it. "": no record.
struct DecisionKind {
  struct Transition {
    std::string from, to;
  };
  std::string name;
  std::vector<Transition> transitions;
  bool allows(const std::string& from, const std::string& replacement) const;
  std::string key(const std::string& of) const { return name + "/" + of; }
};

/// What became of a wish to change a record.
enum class ChangeResult : std::uint8_t {
  sent,                // on its way; it counts once the tables show it
  in_flight,           // an earlier change of the record has no definite outcome yet
  not_owner,           // another controller decides this
  rate_limited,        // the share of the state service's changes is used up
  invalid_transition,  // the kind does not allow the step: a defect, logged
};

class DecisionLog {
 public:
  /// `share`: of the changes a second that the state service takes, for all decisions together.
  DecisionLog(ClusterState& model, Scheduler& scheduler, double share);

  /// Null where there is no such record.
  const Decision* find(const DecisionKind& kind, const std::string& name) const;
  /// A change of this record is under way or in doubt.
  bool has_pending_change(const DecisionKind& kind, const std::string& name) const {
    return pending_changes_->count(kind.key(name)) != 0;
  }
  /// The only place where a record changes. Guarded by the claim of `by` (none: whoever holds the newer file
  /// may), by the record as it stands in the tables and by `also`. Epoch and version never fall. `urgent`:
  /// work waits for it, so that the budget does not hold it back.
  ChangeResult change(const DecisionKind& kind, const std::string& name, DecisionRecord next,
                      PartitionIndex partition, Clock clock, Effects& out, bool urgent = false,
                      std::vector<Guard> also = {});
  /// Changes sent since this controller started, for logs, tests and measurements.
  std::uint64_t changes_sent() const { return changes_sent_; }

 private:
  ClusterState& state_;
  Scheduler& scheduler_;
  TokenBucket budget_;
  /// Shared with what waits for an outcome: that may come after this object has gone.
  std::shared_ptr<std::set<std::string>> pending_changes_;
  std::uint64_t changes_sent_ = 0;
};

/// Several counsels as one: the narrowest word counts.
class CombinedConstraints : public PlacementConstraints {
 public:
  void add(const PlacementConstraints* c) { constraints_.push_back(c); }
  bool empty() const { return constraints_.empty(); }
  void constrain(JobIndex job, PlacementLimits& limits) const override;
  std::vector<TaskId> tasks_to_preempt(PartitionIndex partition) const override;

 private:
  std::vector<const PlacementConstraints*> constraints_;
};

/// The time of day at its earliest: the clock is right within `clock_skew_s` only, and one that has jumped
/// ahead is not believed before `memory_s` have passed. For what must never happen early. Seconds since the
/// epoch.
class LowerBoundClock {
 public:
  explicit LowerBoundClock(double skew_s, double memory_s = 60) : skew_s_(skew_s), window_s_(memory_s) {}
  double earliest_time(Clock clock);

 private:
  struct Offset {
    Seconds measured_at = 0;
    double offset_s = 0;  // time of day minus steady clock
  };
  double skew_s_, window_s_;
  std::deque<Offset> offsets_;  // rising, so that the front is the least of those remembered
};

}  // namespace oxbowmill::decisions
