// Holds the publishing jobs of paired editions until all of them have rendered from one revision, and then
// lets all go by one durable decision. Pure: tables, final phases and the time come in; changes of records
// and questions go out; placing asks through core's `Counsel`. docs/release.md has the states and the safety
// points.
#pragma once

#include <functional>

#include "oxbowmill/accord/accord.h"
#include "oxbowmill/release/terms.h"

namespace oxbowmill::release {

// States of a release's decision. One round of them is an epoch: one revision.
inline const std::string rendering = "rendering";  // not all editions have rendered, or it is not time yet
inline const std::string decided = "decided";      // all have: the publishing jobs of this revision may run
inline const std::string published = "published";  // they have run
inline const std::string broken = "broken";        // a job it needs was cancelled: it waits for another
inline const std::string lifted = "lifted";        // the operators took the release out: its jobs are free

const accord::Kind& decision_kind();
/// What operators want, as the newest file among the controllers has it: "stands" or "removed".
const accord::Kind& terms_kind();

class Planner : public Counsel {
 public:
  /// `skew_s`: bound of the clock's error; nothing publishes before its time by any clock within it.
  Planner(Model& model, accord::Desk& desk, const Scheduler& scheduler, double skew_s);

  /// The operators' file; a lower version than before is an error of theirs and is not taken.
  bool load(Calendar calendar);
  /// Under full authority. Writes newer terms down, and, as the leader, decides.
  void pass(Clock clock, Effects& out);
  /// To be asked of the state service: the final phase of a job that is not in the tables.
  std::function<void(const std::string& ref)> ask;
  /// Its answer; none: there is no such job (yet).
  void on_final(const std::string& ref, std::optional<JobPhase> phase, Seconds now);
  /// No answer came.
  void on_no_answer(const std::string& ref) { asked_.erase(ref); }

  // core's Counsel
  void advise(JobIndex ji, Advice& advice) const override;
  /// Why a release has not been decided, for logs and tests.
  const std::string& waits_for(const std::string& release) const;

 private:
  /// One release as the shared state has it, read once per change of it.
  struct Plan {
    Stamp terms_stamp = 0, stamp = 0;
    std::optional<Terms> wanted;  // by the operators; none: taken out, or not readable
    std::optional<Terms> terms;   // of the round under way
    bool readable = true;         // what is wanted
    std::string state;
    std::map<std::string, std::set<std::string>> bound;  // by edition and matcher: jobs that were seen
    std::set<std::string> held;  // publishing jobs of revisions that were given up: they stay held
    std::string why;
  };
  void read_records();
  void write_terms(Clock clock, Effects& out);
  void tend(const std::string& name, Plan& plan, Clock clock, double earliest, Effects& out);
  /// Jobs named by class and image are written down before they run: what has finished and is not live any
  /// more could not be found again.
  bool bind(const std::string& name, const Plan& plan, Clock clock, Effects& out);
  /// All that these terms need is done; else what is missing, and whether it was cancelled.
  struct Missing {
    std::string what;
    bool cancelled = false;
  };
  std::optional<Missing> missing(const Plan& plan, bool publishing);
  std::vector<std::string> jobs_of(const Plan& plan, std::size_t edition, std::size_t matcher) const;
  std::optional<JobPhase> phase_of(const std::string& ref);
  bool matches(const Matcher& m, const JobSpec& spec) const;
  bool publishes(const Terms& t, const JobSpec& spec) const;
  AgreedRecord next_of(const std::string& name) const;
  bool put(const std::string& name, AgreedRecord next, Clock clock, Effects& out, bool urgent);
  void say(Plan& plan, const std::string& name, const std::string& why);

  Model& model_;
  accord::Desk& desk_;
  const Scheduler& scheduler_;
  Calendar calendar_;
  accord::CarefulClock careful_;
  std::map<std::string, Plan> plans_;
  std::map<std::string, JobPhase> finals_;  // final phases never change
  struct Question {
    Seconds at = 0;
    bool out = false;
  };
  std::map<std::string, Question> asked_;
  Seconds now_ = 0, next_ = 0;
};

}  // namespace oxbowmill::release
