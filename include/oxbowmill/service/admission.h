// Checks whether a submission is admissible, and builds the transactions that accept and withdraw jobs. The
// functions are stateless; FirstAttempts owns the times at which users first submitted their jobs.
#pragma once

#include <deque>
#include <unordered_map>

#include "oxbowmill/wire/codec.h"

namespace oxbowmill::service {

/// The result of checking a submission.
struct Admission {
  wire::Submission submission;               ///< the fields that could be read
  wire::Json record;                         ///< the job's record to be stored; valid if not rejected
  std::optional<wire::Rejection> rejection;  ///< why it is not admissible; empty if it is
  /// Whether every controller rejects this body at any time, because the body itself is invalid. Any other
  /// rejection depends on what this controller knows now (the catalog, the time of day in the record), so a
  /// repeated submission of an accepted job may get one.
  bool is_permanent = false;
};

/// Remembers when users first tried to submit jobs, because waiting times and deadlines count from the first
/// attempt. Counted from the acceptance, a job submitted during an outage of a minute would seem a minute
/// younger than it is. All times are wall-clock times in seconds.
class FirstAttempts {
 public:
  /// Records an attempt and returns the time of the first one for the job on this controller. A body without
  /// a valid job ID always counts as a first attempt.
  double record_attempt(const wire::Json& body, double wall_time_s);

 private:
  void expire(double wall_time_s);
  std::unordered_map<std::string, double> first_attempt_times_;
  std::deque<std::string> order_;
};

/// Checks a submission. `body` must be a map; `submitted_at` is a wall-clock time in seconds.
Admission admit(const wire::Json& body, const Names& names, const Settings& settings,
                const std::vector<MachineType>& catalog, double submitted_at);

/// The transaction that accepts a job. Its guards require that neither the job's own key nor its final key
/// exists, so that a job is accepted at most once.
wire::Json submission_txn(const std::string& ref, const wire::Json& record);
/// The transaction that marks a job as cancelled. `record` and `revision` are the value and revision read
/// from the job's own key. The guard on the revision lets only one change of the phase succeed, which decides
/// between done and cancelled.
wire::Json withdrawal_txn(const std::string& ref, const wire::Json& record, Revision revision);

}  // namespace oxbowmill::service
