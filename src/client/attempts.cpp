#include "oxbowmill/client/attempts.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill::client {

const char* name_of(AttemptState s) {
  static constexpr const char* names[] = {"ready", "sent", "backing_off", "answered", "gave_up"};
  return names[static_cast<int>(s)];
}

Verdict verdict_of(int status) {
  switch (status) {
    case 200:
    case 201:
      return Verdict::ok;
    case 400:
      return Verdict::malformed;
    case 404:
      return Verdict::unknown;
    case 422:
      return Verdict::impossible;
    default:
      return Verdict::again;
  }
}

Attempts::Attempts(std::size_t nodes, Patience patience, std::uint64_t seed, double now)
    : patience_(patience),
      nodes_(std::max<std::size_t>(nodes, 1)),
      random_(seed),
      node_(random_() % nodes_),
      ends_at_(now + patience.total_s) {
  // Clients that start together spread over the nodes.
}

void Attempts::set_state(AttemptState s) {
  bool over = state_ == AttemptState::answered || state_ == AttemptState::gave_up;
  if (!over) state_ = s;
}

double Attempts::answer_within(double now) const {
  return std::max(0.1, std::min(patience_.answer_s, ends_at_ - now));
}

void Attempts::on_sent(double) {
  if (state_ != AttemptState::ready) return;
  ++sent_;
  set_state(AttemptState::sent);
}

void Attempts::on_answer(int status, double retry_after_s, double now) {
  if (state_ != AttemptState::sent) return;
  if (verdict_of(status) != Verdict::again) return set_state(AttemptState::answered);
  node_ = (node_ + 1) % nodes_;
  if (status == 0 && ++silent_ < nodes_ && now < ends_at_) {
    // A node that is gone says nothing of the others: they are asked at once, each once.
    return set_state(AttemptState::ready);
  }
  if (status != 0 || silent_ >= nodes_) silent_ = 0;
  // Doubling, with jitter so that clients that were refused together do not come back together; never before
  // the node's own word, which is taken up to the longest pause.
  double most =
      std::min(patience_.most_pause_s, patience_.first_pause_s * std::exp2(std::min(pauses_++, 10)));
  double pause = std::uniform_real_distribution<>(std::min(patience_.first_pause_s, most),
                                                  std::max(most, patience_.first_pause_s))(random_);
  pause = std::max(pause, std::min(retry_after_s, patience_.most_pause_s));
  next_at_ = now + pause;
  set_state(next_at_ < ends_at_ ? AttemptState::backing_off : AttemptState::gave_up);
}

void Attempts::tick(double now) {
  if (now >= ends_at_) return set_state(AttemptState::gave_up);
  if (state_ == AttemptState::backing_off && now >= next_at_) set_state(AttemptState::ready);
}

}  // namespace oxbowmill::client
