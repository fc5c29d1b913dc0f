// The rules of the protocol, judged from outside: by what machines ran and what users asked and were told. It
// never sees a controller's tables.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace oxbowmill::simulation {

/// What a user hears about a job.
enum class JobAnswer { open, done, cancelled, not_found, rejected, no_answer };

class InvariantChecker {
 public:
  /// Of a job as its user described it.
  struct JobTerms {
    std::uint32_t team = 0, tasks = 1;
    double gpus = 1;  // a task
    bool one_zone = false, spot = true;
    bool gang = false;
    bool scatter = false;              // at most half of the tasks, rounded up, in one zone
    std::string zone = {};             // the only one, where set
    std::set<std::string> types = {};  // empty: any
    bool valid = true;                 // it has all its fields and can run; else nobody may accept it
  };
  struct MachinePlacement {
    std::string zone;
    bool spot = false;
    std::string type = "std";
  };
  /// A machine that could take work now, and its GPUs in all.
  struct UsableMachine {
    MachinePlacement place;
    double gpus = 0;
  };
  /// `max_gpus`: by team, 0: no limit; seconds.
  InvariantChecker(double cancel_s, std::vector<double> most_gpus)
      : cancel_s_(cancel_s), max_gpus_(std::move(most_gpus)) {}

  /// The user has begun to submit it, or to withdraw it.
  void on_submit(const std::string& job, const JobTerms& terms);
  void on_withdraw(const std::string& job) { jobs_[job].withdrawn = true; }
  /// An answer to any question about the job; `nothing`: none came, or a refusal to be repeated.
  void on_answer(const std::string& job, JobAnswer what, double now);
  /// Task `number` of the job is on the machine from now on.
  void on_task_start(const std::string& job, std::uint32_t number, const std::string& machine,
                     const MachinePlacement& place, double now);
  void on_task_stop(const std::string& job, std::uint32_t number, const std::string& machine, double now);
  /// It has completed.
  void on_task_complete(const std::string& job, std::uint32_t number) { jobs_[job].done.insert(number); }
  /// Whether the state service holds the job under either of its keys.
  void on_stored(const std::string& job, bool there, double now);
  /// From now on nothing is in trouble (or, with a time ahead, from then on).
  void set_fault_free_from(double at_s) { fault_free_from_ = at_s; }
  /// Starts count from so long after a confirmed cancellation on, in seconds: what an order on its way may
  /// take.
  void set_start_tolerance(double s) { start_tolerance_s_ = s; }
  /// Machines that are up, reachable and sound, as they are from now on.
  void set_usable_machines(std::map<std::string, UsableMachine> machines, double now);
  /// What time alone brings about.
  void check(double now);
  /// The day is over.
  void close();
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint32_t answers = 0, refusals = 0;
  std::uint32_t late_starts = 0;  // after a confirmed cancellation, however soon

 private:
  struct Job {
    JobTerms terms;
    bool submitted = false, accepted = false, withdrawn = false;
    JobAnswer final_answer = JobAnswer::open;  // done or cancelled, once told
    double cancelled_at = -1, unanswered_since = -1;
    std::map<std::uint32_t, std::map<std::string, MachinePlacement>> machines_by_task;  // by task
    std::set<std::uint32_t> done;
    bool forgotten = false, abandoned = false;
    double waiting_since = -1;  // and its team has been under its limit all the time since
    std::size_t running() const;
  };
  void record_violation(const std::string& rule, const std::string& job, double now);
  bool misplaced(const Job& job_state, const MachinePlacement& place) const;
  /// What has to start together.
  std::size_t missing_tasks(const Job& job_state) const;
  bool under_limit(const Job& job_state) const;
  bool has_capacity_since(const Job& job_state, double since) const;
  void update_free_capacity(const std::string& machine, double now);
  double limit(std::uint32_t team) const { return team < max_gpus_.size() ? max_gpus_[team] : 0; }
  double cancel_s_;
  std::vector<double> max_gpus_;
  std::map<std::string, Job> jobs_;
  std::set<std::string> cancelled_;  // told so, and with tasks still on machines
  std::vector<std::string> violations_;
  std::map<std::uint32_t, double> gpus_by_team_;                       // GPUs by team
  std::map<std::string, double> gpus_by_machine_;                      // GPUs by machine
  std::map<std::string, std::map<std::uint32_t, double>> free_since_;  // by machine: so many GPUs, since when
  std::map<std::string, UsableMachine> usable_;
  double fault_free_from_ = 1e18, start_tolerance_s_ = 0;
  bool any_task_ran_ = false;
};

}  // namespace oxbowmill::simulation
