// What a user's question about a job is answered, and where that is looked up. Pure: the caller reads, and
// says what came of it. Safety: docs/design.md, point 13.
#pragma once

#include <cstdint>
#include <optional>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::service {

/// What has been learnt so far.
enum class QueryState : std::uint8_t { begun, not_in_replica, not_live, answered };

/// What is to be done next.
enum class QueryStep : std::uint8_t {
  wait_for_replica,  // until they are known to be as new as the question
  read_live,         // the job's own key
  read_final,        // the key of its final phase
  answer,            // `phase()`
  absent,            // nobody was ever told that it was accepted
  refuse,            // nothing is known now: to be asked again
};

/// What came of a read.
struct KeyReadResult {
  enum class Kind : std::uint8_t { found, absent, unknown } kind = Kind::unknown;
  JobPhase phase = JobPhase::open;
};

class StatusQuery {
 public:
  /// A poll: `remembered` is a final phase that this node has told or written.
  QueryStep poll(std::optional<JobPhase> remembered);
  /// `current`: the tables hold all that was there when the question came; `live`: what they say of the job.
  QueryStep on_replica_current(bool current, std::optional<JobPhase> live);
  /// A question that goes straight to the keys.
  QueryStep look_up();
  QueryStep on_live_key_read(const KeyReadResult& r);
  QueryStep on_final_key_read(const KeyReadResult& r);
  JobPhase phase() const { return phase_; }

 private:
  QueryStep finish(JobPhase phase);
  void set_state(QueryState s) { state_ = s; }
  QueryState state_ = QueryState::begun;
  JobPhase phase_ = JobPhase::open;
};

}  // namespace oxbowmill::service
