// Checks the protocol's invariants from outside: from what ran on machines and what users requested and were
// answered, never from a controller's state. It owns its own record of jobs, machines and capacity. Events
// come in the order of their times, in seconds.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace oxbowmill::simulation {

/// What a user is answered about a job; `no_answer` also stands for a refusal that is to be retried.
enum class JobAnswer { open, done, cancelled, not_found, rejected, no_answer };

/// Records each violated invariant with its job and time; docs/fault-combinations.md says how it is used.
class InvariantChecker {
 public:
  /// A job as its user described it.
  struct JobTerms {
    std::uint32_t team = 0,            ///< index
        tasks = 1;                     ///< number of tasks
    double gpus = 1;                   ///< of each task
    bool one_zone = false,             ///< all tasks in a single zone
        spot = true;                   ///< spot machines are allowed
    bool gang = false;                 ///< all tasks run together
    bool scatter = false;              ///< at most half of the tasks, rounded up, in one zone
    std::string zone = {};             ///< the only zone allowed; empty: any
    std::set<std::string> types = {};  ///< machine types allowed; empty: any
    bool valid = true;  ///< it has all its fields and can run; otherwise no controller may accept it
  };
  /// Where a machine is, and its kind.
  struct MachinePlacement {
    std::string zone;          ///< its name
    bool spot = false;         ///< it is a spot machine
    std::string type = "std";  ///< machine type
  };
  /// A machine that could run new tasks now.
  struct UsableMachine {
    MachinePlacement place;  ///< where it is
    double gpus = 0;         ///< in all, free or in use
  };
  /// `cancel_s`: deadline of a cancellation, in seconds; `most_gpus`: quota by team, 0 for none.
  InvariantChecker(double cancel_s, std::vector<double> most_gpus)
      : cancel_s_(cancel_s), max_gpus_(std::move(most_gpus)) {}

  /// The user has begun to submit the job.
  void on_submit(const std::string& job, const JobTerms& terms);
  /// The user has begun to withdraw the job.
  void on_withdraw(const std::string& job) { jobs_[job].withdrawn = true; }
  /// An answer to any request about the job.
  void on_answer(const std::string& job, JobAnswer what, double now);
  /// Task `number` of the job has started on the machine.
  void on_task_start(const std::string& job, std::uint32_t number, const std::string& machine,
                     const MachinePlacement& place, double now);
  /// Task `number` of the job is no longer on the machine.
  void on_task_stop(const std::string& job, std::uint32_t number, const std::string& machine, double now);
  /// Task `number` of the job has completed.
  void on_task_complete(const std::string& job, std::uint32_t number) { jobs_[job].done.insert(number); }
  /// Whether the state service has the job under either of its keys.
  void on_stored(const std::string& job, bool there, double now);
  /// From this time on there are no faults and no consequences of any.
  void set_fault_free_from(double at_s) { fault_free_from_ = at_s; }
  /// How long after a confirmed cancellation a task may still start, in seconds: as long as a start command
  /// may be on its way.
  void set_start_tolerance(double s) { start_tolerance_s_ = s; }
  /// Machines that are up, reachable and without faults from now on.
  void set_usable_machines(std::map<std::string, UsableMachine> machines, double now);
  /// Checks the invariants that depend on elapsed time.
  void check(double now);
  /// The run is over.
  void close();
  /// One line each: invariant, job, time.
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint32_t answers = 0,  ///< answers to users
      refusals = 0;           ///< requests refused or not answered
  std::uint32_t late_starts =
      0;  ///< starts of tasks after a confirmed cancellation, within the tolerance or not

 private:
  struct Job {
    JobTerms terms;
    bool submitted = false, accepted = false, withdrawn = false;
    JobAnswer final_answer = JobAnswer::open;  // done or cancelled, once answered
    double cancelled_at = -1, unanswered_since = -1;
    std::map<std::uint32_t, std::map<std::string, MachinePlacement>>
        machines_by_task;  // by task number, then by machine's name
    std::set<std::uint32_t> done;
    bool forgotten = false, abandoned = false;
    double waiting_since = -1;  // since then its team has been below its quota all the time
    std::size_t running() const;
  };
  void record_violation(const std::string& rule, const std::string& job, double now);
  bool misplaced(const Job& job_state, const MachinePlacement& place) const;
  /// Number of tasks that have to start together.
  std::size_t missing_tasks(const Job& job_state) const;
  bool under_limit(const Job& job_state) const;
  bool has_capacity_since(const Job& job_state, double since) const;
  void update_free_capacity(const std::string& machine, double now);
  double limit(std::uint32_t team) const { return team < max_gpus_.size() ? max_gpus_[team] : 0; }
  double cancel_s_;
  std::vector<double> max_gpus_;
  std::map<std::string, Job> jobs_;
  std::set<std::string> cancelled_;  // jobs answered as cancelled that have tasks on machines
  std::vector<std::string> violations_;
  std::map<std::uint32_t, double> gpus_by_team_;   // GPUs in use
  std::map<std::string, double> gpus_by_machine_;  // GPUs in use
  std::map<std::string, std::map<std::uint32_t, double>>
      free_since_;  // by machine and number of GPUs: since when so many have been free
  std::map<std::string, UsableMachine> usable_;
  double fault_free_from_ = 1e18, start_tolerance_s_ = 0;
  bool any_task_ran_ = false;
};

}  // namespace oxbowmill::simulation
