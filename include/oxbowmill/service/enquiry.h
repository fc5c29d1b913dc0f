// What a user's question about a job is answered, and where that is looked up. Pure: the caller reads, and
// says what came of it. Safety: docs/design.md, point 13.
#pragma once

#include <cstdint>
#include <optional>

#include "oxbowmill/core/types.h"

namespace oxbowmill::service {

/// What has been learnt so far.
enum class EnquiryState : std::uint8_t { begun, not_in_tables, not_live, answered };

/// What is to be done next.
enum class EnquiryStep : std::uint8_t {
  wait_for_tables,  // until they are known to be as new as the question
  read_live,        // the job's own key
  read_final,       // the key of its final phase
  answer,           // `phase()`
  absent,           // nobody was ever told that it was accepted
  refuse,           // nothing is known now: to be asked again
};

/// What came of a read.
struct KeyRead {
  enum class Kind : std::uint8_t { found, absent, unknown } kind = Kind::unknown;
  JobPhase phase = JobPhase::open;
};

class Enquiry {
 public:
  /// A poll: `remembered` is a final phase that this node has told or written.
  EnquiryStep poll(std::optional<JobPhase> remembered);
  /// `current`: the tables hold all that was there when the question came; `live`: what they say of the job.
  EnquiryStep on_tables(bool current, std::optional<JobPhase> live);
  /// A question that goes straight to the keys.
  EnquiryStep look_up();
  EnquiryStep on_live(const KeyRead& r);
  EnquiryStep on_final(const KeyRead& r);
  JobPhase phase() const { return phase_; }

 private:
  EnquiryStep settle(JobPhase phase);
  void set_state(EnquiryState s) { state_ = s; }
  EnquiryState state_ = EnquiryState::begun;
  JobPhase phase_ = JobPhase::open;
};

}  // namespace oxbowmill::service
