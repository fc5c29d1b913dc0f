// State machine that looks up the status of a job for a user. Performs no I/O: the caller executes each step
// and reports its result. The safety argument is in docs/design.md, point 13.
#pragma once

#include <cstdint>
#include <optional>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::service {

/// What the query has found out so far.
enum class QueryState : std::uint8_t {
  initial,         ///< nothing
  not_in_replica,  ///< the replica, which is known to be current, has no such live job
  not_live,        ///< the job's own key does not exist
  answered,        ///< the phase is known
};

/// The next step, which the caller executes.
enum class QueryStep : std::uint8_t {
  wait_for_replica,  ///< wait until the replica is known to be as current as the query
  read_live,         ///< read the job's own key
  read_final,        ///< read the key of the job's final phase
  answer,            ///< answer with `phase()`
  absent,            ///< answer that there is no such job: it was never accepted
  refuse,            ///< answer that the user should retry, because the status cannot be determined now
};

/// Result of a read of one of the job's keys.
struct KeyReadResult {
  /// Whether the key exists; `unknown` if there was no usable response.
  enum class Kind : std::uint8_t { found, absent, unknown };
  Kind kind = Kind::unknown;        ///< whether the key exists
  JobPhase phase = JobPhase::open;  ///< valid if found
};

/// A query. It starts with `poll` or `look_up`; each further call is the method that reports the result of
/// the step returned last.
class StatusQuery {
 public:
  /// Starts a query that the replica may answer. `known_final_phase` is empty if this controller knows none.
  QueryStep poll(std::optional<JobPhase> known_final_phase);
  /// Reports the end of the wait for the replica. `is_current`: whether the replica holds everything that the
  /// state service held when the query started. `live_phase`: the phase of the job in the replica, empty if
  /// it has none.
  QueryStep on_replica_current(bool is_current, std::optional<JobPhase> live_phase);
  /// Starts a query that reads the state service and not the replica.
  QueryStep look_up();
  /// Reports the read of the job's own key.
  QueryStep on_live_key_read(const KeyReadResult& result);
  /// Reports the read of the key of the job's final phase.
  QueryStep on_final_key_read(const KeyReadResult& result);
  /// The phase of the job; valid after the step `answer`.
  JobPhase phase() const { return phase_; }

 private:
  QueryStep finish(JobPhase phase);
  void set_state(QueryState state) { state_ = state; }
  QueryState state_ = QueryState::initial;
  JobPhase phase_ = JobPhase::open;
};

}  // namespace oxbowmill::service
