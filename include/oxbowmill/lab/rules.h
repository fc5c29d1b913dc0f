// The rules of the protocol, judged from outside: by what machines ran and what users asked and were told. It
// never sees a controller's tables.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace oxbowmill::lab {

/// What a user hears about a job.
enum class Told { open, done, cancelled, absent, rejected, nothing };

class Rules {
 public:
  /// Of a job as its user described it.
  struct Terms {
    std::uint32_t team = 0, tasks = 1;
    double gpus = 1;  // a task
    bool one_zone = false, spot = true;
  };
  struct Place {
    std::string zone;
    bool spot = false;
  };
  /// `most_gpus`: by team, 0: no limit; seconds.
  Rules(double cancel_s, std::vector<double> most_gpus)
      : cancel_s_(cancel_s), most_gpus_(std::move(most_gpus)) {}

  /// The user has begun to submit it, or to withdraw it.
  void submits(const std::string& job, const Terms& terms);
  void withdraws(const std::string& job) { jobs_[job].withdrawn = true; }
  /// An answer to any question about the job; `nothing`: none came, or a refusal to be repeated.
  void told(const std::string& job, Told what, double now);
  /// Task `number` of the job is on the machine from now on.
  void starts(const std::string& job, std::uint32_t number, const std::string& machine, const Place& place,
              double now);
  void leaves(const std::string& job, std::uint32_t number, const std::string& machine, double now);
  /// It has completed.
  void completes(const std::string& job, std::uint32_t number) { jobs_[job].done.insert(number); }
  /// Whether the state service holds the job under either of its keys.
  void stored(const std::string& job, bool there, double now);
  /// From now on nothing is in trouble (or, with a time ahead, from then on).
  void quiet_from(double at) { quiet_from_ = at; }
  /// What time alone brings about.
  void check(double now);
  /// The day is over.
  void close();
  const std::vector<std::string>& broken() const { return broken_; }
  std::uint32_t answers = 0, refusals = 0;

 private:
  struct Job {
    Terms terms;
    bool submitted = false, accepted = false, withdrawn = false;
    Told final = Told::open;  // done or cancelled, once told
    double cancelled_at = -1, unanswered_since = -1;
    std::map<std::uint32_t, std::map<std::string, Place>> on;  // by task
    std::set<std::uint32_t> done;
    bool forgotten = false;
  };
  void breaks(const std::string& rule, const std::string& job, double now);
  double cancel_s_;
  std::vector<double> most_gpus_;
  std::map<std::string, Job> jobs_;
  std::set<std::string> cancelled_;  // told so, and with tasks still on machines
  std::vector<std::string> broken_;
  std::map<std::uint32_t, double> used_;  // GPUs by team
  double quiet_from_ = 1e18;
  bool ran_ = false;
};

}  // namespace oxbowmill::lab
