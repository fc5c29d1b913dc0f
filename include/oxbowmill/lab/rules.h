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
    bool gang = false;
    bool scatter = false;              // at most half of the tasks, rounded up, in one zone
    std::string zone = {};             // the only one, where set
    std::set<std::string> types = {};  // empty: any
    bool sound = true;                 // it has all its fields and can run; else nobody may accept it
  };
  struct Place {
    std::string zone;
    bool spot = false;
    std::string type = "std";
  };
  /// A machine that could take work now, and its GPUs in all.
  struct Usable {
    Place place;
    double gpus = 0;
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
  /// Starts count from so long after a confirmed cancellation on, in seconds: what an order on its way may
  /// take.
  void starts_end_within(double s) { last_start_s_ = s; }
  /// Machines that are up, reachable and sound, as they are from now on.
  void usable(std::map<std::string, Usable> machines, double now);
  /// What time alone brings about.
  void check(double now);
  /// The day is over.
  void close();
  const std::vector<std::string>& broken() const { return broken_; }
  std::uint32_t answers = 0, refusals = 0;
  std::uint32_t late_starts = 0;  // after a confirmed cancellation, however soon

 private:
  struct Job {
    Terms terms;
    bool submitted = false, accepted = false, withdrawn = false;
    Told final = Told::open;  // done or cancelled, once told
    double cancelled_at = -1, unanswered_since = -1;
    std::map<std::uint32_t, std::map<std::string, Place>> on;  // by task
    std::set<std::uint32_t> done;
    bool forgotten = false, left = false;
    double waits_since = -1;  // and its team has been under its limit all the time since
    std::size_t running() const;
  };
  void breaks(const std::string& rule, const std::string& job, double now);
  bool misplaced(const Job& j, const Place& place) const;
  /// What has to start together.
  std::size_t lacking(const Job& j) const;
  bool under_limit(const Job& j) const;
  bool room_since(const Job& j, double since) const;
  void note_room(const std::string& machine, double now);
  double limit(std::uint32_t team) const { return team < most_gpus_.size() ? most_gpus_[team] : 0; }
  double cancel_s_;
  std::vector<double> most_gpus_;
  std::map<std::string, Job> jobs_;
  std::set<std::string> cancelled_;  // told so, and with tasks still on machines
  std::vector<std::string> broken_;
  std::map<std::uint32_t, double> used_;                               // GPUs by team
  std::map<std::string, double> load_;                                 // GPUs by machine
  std::map<std::string, std::map<std::uint32_t, double>> free_since_;  // by machine: so many GPUs, since when
  std::map<std::string, Usable> usable_;
  double quiet_from_ = 1e18, last_start_s_ = 0;
  bool ran_ = false;
};

}  // namespace oxbowmill::lab
