// Durable decisions: records with a named state that one controller changes, in one guarded transaction each,
// and that others build upon. Pure; docs/accord.md holds the reasons and the safety points.
#pragma once

#include <memory>
#include <set>

#include "oxbowmill/core/scheduler.h"
#include "oxbowmill/core/token_bucket.h"

namespace oxbowmill::accord {

/// The states of a kind of decision and the changes between them. A change from a state to itself alters what
/// stands beside it. "": no record.
struct Kind {
  struct Step {
    std::string from, to;
  };
  std::string name;
  std::vector<Step> steps;
  bool allows(const std::string& from, const std::string& to) const;
  std::string key(const std::string& of) const { return name + "/" + of; }
};

/// What became of a wish to change a record.
enum class Asked : std::uint8_t {
  sent,      // on its way; it counts once the tables show it
  busy,      // an earlier change of the record has no definite outcome yet
  not_ours,  // another controller decides this
  later,     // the share of the state service's changes is used up
  refused,   // the kind does not allow the step: a defect, logged
};

class Desk {
 public:
  /// `share`: of the changes a second that the state service takes, for all decisions together.
  Desk(Model& model, Scheduler& scheduler, double share);

  /// Null where there is no such record.
  const Agreed* find(const Kind& kind, const std::string& name) const;
  /// A change of this record is under way or in doubt.
  bool open(const Kind& kind, const std::string& name) const { return in_doubt_->count(kind.key(name)) != 0; }
  /// The only place where a record changes. Guarded by the claim of `by` (none: whoever holds the newer file
  /// may), by the record as it stands in the tables and by `also`. Epoch and version never fall. `urgent`:
  /// work waits for it, so that the budget does not hold it back.
  Asked change(const Kind& kind, const std::string& name, AgreedRecord next, PartIndex by, Clock clock,
               Effects& out, bool urgent = false, std::vector<Guard> also = {});
  /// Changes sent since this controller started, for logs, tests and measurements.
  std::uint64_t sent() const { return sent_; }

 private:
  Model& model_;
  Scheduler& scheduler_;
  TokenBucket budget_;
  /// Shared with what waits for an outcome: that may come after this object has gone.
  std::shared_ptr<std::set<std::string>> in_doubt_;
  std::uint64_t sent_ = 0;
};

/// Several counsels as one: the narrowest word counts.
class Council : public Counsel {
 public:
  void add(const Counsel* c) { members_.push_back(c); }
  bool empty() const { return members_.empty(); }
  void advise(JobIndex job, Advice& advice) const override;
  std::vector<TaskId> unwanted(PartIndex part) const override;

 private:
  std::vector<const Counsel*> members_;
};

/// The time of day at its earliest: the clock is right within `skew_s` only, and one that has jumped ahead
/// is not believed before `memory_s` have passed. For what must never happen early. Seconds since the epoch.
class CarefulClock {
 public:
  explicit CarefulClock(double skew_s, double memory_s = 60) : skew_s_(skew_s), memory_s_(memory_s) {}
  double earliest(Clock clock);

 private:
  struct Offset {
    Seconds at = 0;
    double ahead = 0;  // time of day minus steady clock
  };
  double skew_s_, memory_s_;
  std::deque<Offset> offsets_;  // rising, so that the front is the least of those remembered
};

}  // namespace oxbowmill::accord
