// What a submission comes to by itself, before anything is read or written, and the transactions by which a
// job becomes known and is called off. Pure.
#pragma once

#include <deque>
#include <unordered_map>

#include "oxbowmill/wire/codec.h"

namespace oxbowmill::service {

struct Admission {
  JobSpec spec;
  wire::Json record;  // of the job, as it is to be stored
  std::optional<wire::Rejection> rejection;
  /// The body alone says so, at any node and time. Another rejection rests on what this node knows now (the
  /// catalog, the time of day in the record), so that a repeat of a job accepted before may come to it.
  bool is_permanent = false;
};

/// When users first tried to submit what nobody could take yet: their wait, and their deadline, count from
/// there. (Counted from its acceptance, after an outage of a minute, a job looked a minute younger than it
/// was.) Seconds.
class FirstAttempts {
 public:
  /// A try, well-formed or not, at that time of day; when the first one came here.
  double record_attempt(const wire::Json& body, double wall);

 private:
  void expire(double wall);
  std::unordered_map<std::string, double> first_attempt_times_;
  std::deque<std::string> order_;
};

/// `submitted_at`: time of day in seconds; `body`: a map.
Admission admit(const wire::Json& body, Names& names, const Settings& settings,
                const std::vector<MachineType>& catalog, double submitted_at);

/// Guarded by both keys under which the job may be known: it is accepted once and never again.
wire::Json submission_txn(const std::string& ref, const wire::Json& record);
/// `record`, with its stamp: as the job's own key was read. One guarded write of the phase decides between
/// done and cancelled.
wire::Json withdrawal_txn(const std::string& ref, const wire::Json& record, Revision revision);

}  // namespace oxbowmill::service
