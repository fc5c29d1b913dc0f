// Evaluates a scale run from the events of its processes: invariants, waiting times, counters. It owns the
// record of jobs and counters of the run. One thread.
#pragma once

#include <map>

#include "oxbowmill/simulation/scale_event.h"
#include "oxbowmill/simulation/scale_settings.h"

namespace oxbowmill::simulation {

/// A set of measured values, in the unit that its owner states.
class Distribution {
 public:
  /// Adds one value.
  void add(double value) { values_.push_back(value); }
  /// Number of values.
  std::size_t count() const { return values_.size(); }
  /// 0 where there are no values; `share` from 0 to 1, 1: the highest value.
  double quantile(double share) const;

 private:
  std::vector<double> values_;
};

/// Evaluates one run. All times are of the steady clock, in seconds.
class ScaleEvaluator {
 public:
  /// `began`: the time from which the settings' times count. `settings` has to outlive it.
  ScaleEvaluator(const ScaleSettings& settings, double began);
  /// To be called in the order of the events' times.
  void add(const ScaleEvent& event);
  /// Checks the invariants that depend on elapsed time.
  void check(double now);
  /// The run is over.
  void close() { invariants_.close(); }

  /// Jobs of one class that were submitted after the warm-up.
  struct ClassWaits {
    Distribution first_s,    ///< seconds from the first submission until the first task ran
        all_s;               ///< and until all tasks had run
    std::uint32_t jobs = 0,  ///< submitted
        begun = 0;           ///< all of whose tasks have run
  };
  /// In the order of the settings' classes.
  const std::vector<ClassWaits>& waits() const { return waits_; }
  /// Milliseconds from the first submission until a job was accepted, after the warm-up.
  const Distribution& submit_ms() const { return submit_ms_; }
  /// Increase of a counter since the warm-up; 0 where it is unknown.
  double increase_of(const std::string& counter) const;
  /// Highest value of a counter since the warm-up; 0 where it is unknown.
  double maximum_of(const std::string& counter) const;
  /// Violated invariants, see InvariantChecker.
  const std::vector<std::string>& violations() const { return invariants_.violations(); }
  /// Starts of tasks since the warm-up.
  std::uint64_t starts() const { return starts_; }
  /// Tasks that ended without completing, of jobs not withdrawn, since the warm-up.
  std::uint64_t lost() const { return lost_; }
  /// Most tasks on machines at once, in the whole run.
  std::size_t max_running() const { return max_running_; }

 private:
  struct Job {
    double submitted = 0;
    std::size_t class_index = 0;
    bool measured = false, withdrawn = false;
    std::vector<bool> task_ran;
    std::uint32_t ran_count = 0;
  };
  struct Counter {
    double first = 0, last = 0, highest = 0;
    bool known = false;
  };
  void on_submitted(const ScaleEvent& event);
  void on_task_runs(const ScaleEvent& event);
  void on_task_left(const ScaleEvent& event);
  InvariantChecker::MachinePlacement place_of(const std::string& machine) const;
  const ScaleSettings& settings_;
  double began_;
  InvariantChecker invariants_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Counter> counters_;
  std::map<std::string, std::uint32_t> completed_;
  std::vector<ClassWaits> waits_;
  Distribution submit_ms_;
  std::uint64_t starts_ = 0, lost_ = 0;
  std::size_t running_ = 0, max_running_ = 0;
};

}  // namespace oxbowmill::simulation
