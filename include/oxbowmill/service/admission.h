// Whether a submission is admissible by itself, and the transactions by which a job is accepted and
// withdrawn. Pure, except for FirstAttempts, which owns when users first submitted their jobs.
#pragma once

#include <deque>
#include <unordered_map>

#include "oxbowmill/wire/codec.h"

namespace oxbowmill::service {

/// The outcome of judging a submission.
struct Admission {
  JobSpec spec;                              ///< as far as it could be read
  wire::Json record;                         ///< the job's record as it is to be stored; null if rejected
  std::optional<wire::Rejection> rejection;  ///< nothing: admissible
  /// The body alone is at fault, on any controller and at any time. Any other rejection rests on what this
  /// controller knows now (the catalog, the time of day in the record), so that a repeat of an accepted job
  /// may get one.
  bool is_permanent = false;
};

/// When users first tried to submit jobs that nobody could accept yet: waiting time and deadline count from
/// there. (Counted from the acceptance, after an outage of a minute, a job seemed a minute younger than it
/// was.) All times are times of day in seconds.
class FirstAttempts {
 public:
  /// Notes an attempt at this time; returns when the first one for the job came here. A body without a valid
  /// id counts as a first attempt.
  double record_attempt(const wire::Json& body, double wall);

 private:
  void expire(double wall);
  std::unordered_map<std::string, double> first_attempt_times_;
  std::deque<std::string> order_;
};

/// Judges a submission. `body`: a map; `submitted_at`: time of day in seconds. Unknown names are added to
/// `names`.
Admission admit(const wire::Json& body, Names& names, const Settings& settings,
                const std::vector<MachineType>& catalog, double submitted_at);

/// Accepts a job. Guarded by both keys under which it may be known: it is accepted once and never again.
wire::Json submission_txn(const std::string& ref, const wire::Json& record);
/// Marks a job as cancelled. `record` and `revision`: as the job's own key was read. Only one guarded write
/// of the phase can succeed, which decides between done and cancelled.
wire::Json withdrawal_txn(const std::string& ref, const wire::Json& record, Revision revision);

}  // namespace oxbowmill::service
