// Models that scale to zero and come back. The controllers agree on each round from cold to cold by one
// durable decision with an epoch, so that calls which come at many of them at once lead to one cold start.
// Pure: tables and the time in, changes of records out; placing asks through core's `Counsel`.
// docs/models.md.
#pragma once

#include "oxbowmill/accord/accord.h"
#include "oxbowmill/models/terms.h"

namespace oxbowmill::models {

// States of a model's decision. An epoch is one round from `warming` to `cold`.
inline const std::string cold = "cold";        // no replica
inline const std::string warming = "warming";  // the first replica is on its way, and no other
inline const std::string serving = "serving";  // one was reported running; calls may be placed
inline const std::string cooling = "cooling";  // idle: replicas are being stopped

const accord::Kind& decision_kind();

/// max(median of the cold starts seen x factor, floor), in the spirit of the detector's baseline.
double idle_after(const std::vector<double>& cold_starts, const Terms& terms);
/// Replicas for so many calls.
std::uint32_t replicas_for(std::uint32_t calls, const Terms& terms);

class Keeper : public Counsel {
 public:
  Keeper(Model& model, accord::Desk& desk, const Scheduler& scheduler, Settings settings);

  /// Under full authority. The owner of the part of a model's standing job decides.
  void pass(Clock clock, Effects& out);

  // core's Counsel
  void advise(JobIndex ji, Advice& advice) const override;
  std::vector<TaskId> unwanted(PartIndex part) const override;
  /// Why calls of the model wait, for logs and tests.
  const std::string& why(const std::string& model) const;

 private:
  struct Kept {
    Terms terms;
    ClassIndex job_class;
    ImageIndex image;
    std::vector<ClassIndex> calls;
    JobIndex standing;           // the oldest open one that it names; none: nobody serves
    Seconds busy_at = -1;        // last time that a call counted
    Seconds cooling_since = -1;  // as this node made it durable
    bool stopping = false;       // stops were sent in this cooling: it cannot be taken back
    Seconds fewer_since = -1;    // fewer replicas would do
    Stamp claim = 0;             // under which the times above were taken
    std::string why;
  };
  /// How often a call was tried without any of its tasks getting done.
  struct Tries {
    std::uint32_t done = 0, tries = 0;
    Attempt last = 0;
    Seconds since = 0;
  };
  void find_standing(Kept& k) const;
  std::uint32_t count_calls(const Kept& k, Clock clock);
  bool in_vain(JobIndex ji, const Job& j, Seconds now);
  void tend(Kept& k, Clock clock, Effects& out);
  bool is_standing(const Kept& k, const JobSpec& spec) const;
  bool is_call(const Kept& k, const JobSpec& spec) const;
  bool put(Kept& k, AgreedRecord next, const std::string& state, std::uint32_t replicas, Clock clock,
           Effects& out, const std::string& why);
  void say(Kept& k, const std::string& why);

  Model& model_;
  accord::Desk& desk_;
  const Scheduler& scheduler_;
  std::vector<Kept> kept_;
  std::map<JobIndex, Tries> tries_;
  Seconds next_ = 0;
};

}  // namespace oxbowmill::models
