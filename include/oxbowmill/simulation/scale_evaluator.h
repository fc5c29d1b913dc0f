// Judges a scale run by what its processes tell: the rules, and how long users waited.
#pragma once

#include <map>

#include "oxbowmill/simulation/scale_event.h"
#include "oxbowmill/simulation/scale_settings.h"

namespace oxbowmill::simulation {

/// Sorted once asked; seconds or milliseconds, as its owner says.
class Distribution {
 public:
  void add(double value) { values_.push_back(value); }
  std::size_t count() const { return values_.size(); }
  /// 0 where there are none; `share` 1: the worst.
  double quantile(double share) const;

 private:
  std::vector<double> values_;
};

class ScaleEvaluator {
 public:
  /// `began`: steady clock, from which the settings' times count.
  ScaleEvaluator(const ScaleSettings& settings, double began);
  /// In order of their times.
  void add(const ScaleEvent& event);
  void check(double now);
  void close() { invariants_.close(); }

  struct ClassWaits {
    Distribution first_s, all_s;  // from the first try until the first task, and until all tasks, ran
    std::uint32_t jobs = 0, begun = 0;
  };
  /// Of jobs submitted after the warm-up, by class.
  const std::vector<ClassWaits>& waits() const { return waits_; }
  const Distribution& submit_ms() const { return submit_ms_; }
  /// How much a counter rose since the warm-up.
  double increase_of(const std::string& counter) const;
  /// The highest value of a counter since the warm-up.
  double maximum_of(const std::string& counter) const;
  const std::vector<std::string>& violations() const { return invariants_.violations(); }
  std::uint64_t starts() const { return starts_; }
  std::uint64_t lost() const { return lost_; }
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
