// How often, when and where a client asks again: one request over several nodes. Pure; times in seconds.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace oxbowmill::client {

enum class AttemptState : std::uint8_t {
  ready,        // to be sent to `node()` now
  sent,         // waits for an answer
  backing_off,  // to be sent again at `next_at()`
  answered,     // a final answer came
  gave_up,      // its time is over
};
const char* name_of(AttemptState s);

/// What an answer means for the caller.
enum class Verdict : std::uint8_t {
  ok,          // 200, 201
  malformed,   // 400: not to be tried again
  impossible,  // 422: not to be tried again
  unknown,     // 404: nobody was told that this job is accepted
  again,       // refused for now, or no answer: may be tried again under the same id
};
Verdict verdict_of(int status);
inline bool may_try_again(Verdict v) {
  return v == Verdict::again;
}

struct Patience {
  double answer_s = 5;  // for one answer
  double total_s = 60;  // for the whole request, pauses included
  double first_pause_s = 1, most_pause_s = 30;
};

class Attempts {
 public:
  Attempts(std::size_t nodes, Patience patience, std::uint64_t seed, double now);

  AttemptState state() const { return state_; }
  std::size_t node() const { return node_; }
  double next_at() const { return next_at_; }
  double ends_at() const { return ends_at_; }
  /// How long to wait for the answer of what is sent now.
  double answer_within(double now) const;
  int sent() const { return sent_; }

  void on_sent(double now);
  /// `status` 0: no answer or no connection. `retry_after_s` 0: not said.
  void on_answer(int status, double retry_after_s, double now);
  /// Time passes: a pause may end, the whole may be over.
  void tick(double now);

 private:
  void set_state(AttemptState s);
  Patience patience_;
  std::size_t nodes_;
  std::mt19937_64 random_;
  AttemptState state_ = AttemptState::ready;
  std::size_t node_ = 0;
  std::size_t silent_ = 0;  // nodes in a row that gave no answer
  int pauses_ = 0, sent_ = 0;
  double next_at_ = 0, ends_at_ = 0;
};

}  // namespace oxbowmill::client
