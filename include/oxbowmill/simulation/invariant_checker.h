// Checks the protocol's invariants by what ran on machines, what users requested and what they were answered,
// never by a controller's state. It owns its own record of jobs, machines and capacity. Events must be passed
// in the order of their times, which are in seconds.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace oxbowmill::simulation {

/// What a user is answered about a job; `no_answer` also stands for a refusal after which the user has to
/// retry.
enum class JobAnswer { open, done, cancelled, not_found, rejected, no_answer };

/// Records each violated invariant with its job and time; see docs/fault-combinations.md for how it is used.
class InvariantChecker {
 public:
  /// The requirements of a job, as its user submitted them.
  struct JobRequirements {
    std::uint32_t team = 0,            ///< index of the team
        tasks = 1;                     ///< number of tasks
    double gpus = 1;                   ///< GPUs of each task
    bool single_zone = false,          ///< all tasks must be in one zone
        spot = true;                   ///< tasks may run on spot machines
    bool gang = false;                 ///< all tasks must run together
    bool spread_zones = false;         ///< at most half of the tasks, rounded up, may be in one zone
    std::string zone = {};             ///< the only zone allowed; empty: any
    std::set<std::string> types = {};  ///< machine types allowed; empty: any
    bool valid = true;  ///< whether it has all its fields and can run; if not, no controller may accept it
  };
  /// Zone and kind of a machine.
  struct MachinePlacement {
    std::string zone;          ///< name of the zone
    bool spot = false;         ///< whether it is a spot machine
    std::string type = "std";  ///< machine type
  };
  /// A machine that could run new tasks now.
  struct UsableMachine {
    MachinePlacement place;  ///< zone and kind
    double gpus = 0;         ///< total GPUs, free or in use
  };
  /// `cancel_timeout_s` is the time in which a cancellation must end all tasks, in seconds; `max_gpus` the
  /// GPU quota by team, where 0 stands for no quota.
  InvariantChecker(double cancel_timeout_s, std::vector<double> max_gpus)
      : cancel_timeout_s_(cancel_timeout_s), max_gpus_(std::move(max_gpus)) {}

  /// The user sends the first submission of the job.
  void on_submit(const std::string& job, const JobRequirements& requirements);
  /// The user sends a withdrawal of the job.
  void on_withdraw(const std::string& job) { jobs_[job].withdrawn = true; }
  /// The user receives an answer to any request about the job.
  void on_answer(const std::string& job, JobAnswer what, double now);
  /// Task `number` of the job has started on the machine.
  void on_task_start(const std::string& job, std::uint32_t number, const std::string& machine,
                     const MachinePlacement& place, double now);
  /// Task `number` of the job is no longer on the machine.
  void on_task_stop(const std::string& job, std::uint32_t number, const std::string& machine, double now);
  /// Task `number` of the job has completed.
  void on_task_complete(const std::string& job, std::uint32_t number) { jobs_[job].done.insert(number); }
  /// `is_stored` tells whether the state service has the job under either of its keys.
  void on_stored(const std::string& job, bool is_stored, double now);
  /// Sets the time from which on there are neither faults nor consequences of faults.
  void set_fault_free_from(double at_s) { fault_free_from_ = at_s; }
  /// Sets for how many seconds after a confirmed cancellation a task may still start, because a start command
  /// may still be on its way.
  void set_start_tolerance(double tolerance_s) { start_tolerance_s_ = tolerance_s; }
  /// Sets the machines that are up, reachable and without faults from now on.
  void set_usable_machines(std::map<std::string, UsableMachine> machines, double now);
  /// Checks the invariants that depend on elapsed time.
  void check(double now);
  /// Ends the run; a run in which no task started is a violation.
  void close();
  /// The violations, one line for each with invariant, job and time.
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint32_t answers = 0,      ///< answers that users received
      refusals = 0;               ///< requests that were refused or not answered
  std::uint32_t late_starts = 0;  ///< task starts after a confirmed cancellation, within the tolerance or not

 private:
  struct Job {
    JobRequirements requirements;
    bool submitted = false, accepted = false, withdrawn = false;
    JobAnswer final_answer = JobAnswer::open;  // done or cancelled once the user was told so
    double cancelled_at = -1, unanswered_since = -1;
    std::map<std::uint32_t, std::map<std::string, MachinePlacement>>
        machines_by_task;  // by task number and machine name
    std::set<std::uint32_t> done;
    bool is_forgotten = false, is_abandoned = false;
    double waiting_since =
        -1;  // since when the job has waited with its team below its quota; negative: it does not
    std::size_t running() const;
  };
  void record_violation(const std::string& rule, const std::string& job, double now);
  bool is_misplaced(const Job& job_state, const MachinePlacement& place) const;
  /// Number of tasks that must start together: all missing tasks of a gang, one task of any other job.
  std::size_t missing_tasks(const Job& job_state) const;
  bool fits_quota(const Job& job_state) const;
  bool has_capacity_since(const Job& job_state, double since) const;
  void update_free_capacity(const std::string& machine, double now);
  double gpu_quota(std::uint32_t team) const { return team < max_gpus_.size() ? max_gpus_[team] : 0; }
  double cancel_timeout_s_;
  std::vector<double> max_gpus_;
  std::map<std::string, Job> jobs_;
  std::set<std::string> cancelled_;  // cancelled jobs whose tasks may still be on machines
  std::vector<std::string> violations_;
  std::map<std::uint32_t, double> gpus_by_team_;   // GPUs in use
  std::map<std::string, double> gpus_by_machine_;  // GPUs in use
  std::map<std::string, std::map<std::uint32_t, double>>
      free_since_;  // since when at least that many GPUs have been free, by machine and number of GPUs
  std::map<std::string, UsableMachine> usable_;
  double fault_free_from_ = 1e18, start_tolerance_s_ = 0;
  bool any_task_started_ = false;
};

}  // namespace oxbowmill::simulation
