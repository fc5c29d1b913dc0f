// Evaluates a scale run from the events of its processes: invariants, waiting times and counters.
// ScaleEvaluator owns the run's job and counter data and is not thread-safe.
#pragma once

#include <map>

#include "oxbowmill/simulation/scale_event.h"
#include "oxbowmill/simulation/scale_settings.h"

namespace oxbowmill::simulation {

/// Measured values, in a unit that the owner of the distribution defines.
class Distribution {
 public:
  /// Adds one value.
  void add(double value) { values_.push_back(value); }
  /// Number of values.
  std::size_t count() const { return values_.size(); }
  /// Returns the quantile for a `share` from 0 to 1, where 1 is the highest value; 0 if there are no values.
  double quantile(double share) const;

 private:
  std::vector<double> values_;
};

/// Evaluates one run. All times are seconds of the steady clock.
class ScaleEvaluator {
 public:
  /// `started_at`: start of the run, to which the times in the settings are relative. `settings` must outlive
  /// this object.
  ScaleEvaluator(const ScaleSettings& settings, double started_at);
  /// Adds an event. Events must be added in the order of their times.
  void add(const ScaleEvent& event);
  /// Checks the invariants that depend on elapsed time.
  void check(double now);
  /// Ends the evaluation when the run is over.
  void close() { invariants_.close(); }

  /// Jobs of one class that were submitted after the warm-up.
  struct ClassWaits {
    Distribution first_task_s,  ///< seconds from the first attempt to submit until the first task ran
        all_tasks_s;            ///< seconds from the first attempt to submit until every task had run
    std::uint32_t jobs = 0,     ///< jobs submitted
        fully_started = 0;      ///< jobs of which every task has run
  };
  /// Waiting times by class, in the order of the settings' classes.
  const std::vector<ClassWaits>& waits() const { return waits_; }
  /// Milliseconds from the first attempt to submit a job until it was accepted, for jobs accepted after the
  /// warm-up.
  const Distribution& submit_ms() const { return submit_ms_; }
  /// Increase of a counter since the warm-up; 0 if the counter is unknown.
  double increase_of(const std::string& counter) const;
  /// Highest value of a counter since the warm-up; 0 if the counter is unknown.
  double maximum_of(const std::string& counter) const;
  /// Invariants that were violated, as described by InvariantChecker.
  const std::vector<std::string>& violations() const { return invariants_.violations(); }
  /// Number of task starts since the warm-up.
  std::uint64_t starts() const { return starts_; }
  /// Number of tasks since the warm-up that ended without completing although their jobs were not withdrawn.
  std::uint64_t lost_tasks() const { return lost_tasks_; }
  /// Highest number of tasks on machines at once in the whole run.
  std::size_t max_running() const { return max_running_; }

 private:
  struct Job {
    double submitted = 0;
    std::size_t class_index = 0;
    bool is_measured = false, withdrawn = false;
    std::vector<bool> task_ran;  // by task number
    std::uint32_t ran_count = 0;
  };
  struct Counter {
    double first = 0, last = 0, highest = 0;
    bool is_known = false;
  };
  void on_submitted(const ScaleEvent& event);
  void on_task_runs(const ScaleEvent& event);
  void on_task_left(const ScaleEvent& event);
  InvariantChecker::MachinePlacement placement_of(const std::string& machine) const;
  const ScaleSettings& settings_;
  double started_at_;
  InvariantChecker invariants_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Counter> counters_;
  std::map<std::string, std::uint32_t> completed_;  // keys: tasks that completed but are still on a machine
  std::vector<ClassWaits> waits_;
  Distribution submit_ms_;
  std::uint64_t starts_ = 0, lost_tasks_ = 0;
  std::size_t running_ = 0, max_running_ = 0;
};

}  // namespace oxbowmill::simulation
