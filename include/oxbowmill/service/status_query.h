// How the status of a job is looked up for a user, as a state machine: the caller reads and reports the
// results. Pure. Safety: docs/design.md, point 13.
#pragma once

#include <cstdint>
#include <optional>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::service {

/// What has been learnt so far.
enum class QueryState : std::uint8_t {
  begun,           ///< nothing
  not_in_replica,  ///< the replica, known to be current, has no such live job
  not_live,        ///< the job's own key does not exist
  answered,        ///< the phase is known
};

/// What the caller does next.
enum class QueryStep : std::uint8_t {
  wait_for_replica,  ///< until it is known to be as current as the query
  read_live,         ///< the job's own key
  read_final,        ///< the key of its final phase
  answer,            ///< with `phase()`
  absent,            ///< the job was never accepted
  refuse,            ///< nothing can be known now: the user is to retry
};

/// Result of reading a key.
struct KeyReadResult {
  /// What the read showed; `unknown`: no usable response came.
  enum class Kind : std::uint8_t { found, absent, unknown };
  Kind kind = Kind::unknown;        ///< what the read showed
  JobPhase phase = JobPhase::open;  ///< where found
};

/// One query. Begins with `poll` or `look_up`, and goes on with the method for the step that was returned.
class StatusQuery {
 public:
  /// Begins a query that the replica may answer. `remembered`: a final phase that this controller knows.
  QueryStep poll(std::optional<JobPhase> remembered);
  /// `is_current`: the replica holds everything that existed when the query came; `live`: the phase it has
  /// for the job.
  QueryStep on_replica_current(bool is_current, std::optional<JobPhase> live);
  /// Begins a query that reads the state service without asking the replica.
  QueryStep look_up();
  /// The job's own key has been read.
  QueryStep on_live_key_read(const KeyReadResult& result);
  /// The key of its final phase has been read.
  QueryStep on_final_key_read(const KeyReadResult& result);
  /// The answer, after the step `answer`.
  JobPhase phase() const { return phase_; }

 private:
  QueryStep finish(JobPhase phase);
  void set_state(QueryState state) { state_ = state; }
  QueryState state_ = QueryState::begun;
  JobPhase phase_ = JobPhase::open;
};

}  // namespace oxbowmill::service
