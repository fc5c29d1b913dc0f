// One machine's word during a start and after it, and what is held of one that does not speak. Pure.
#pragma once

#include <vector>

#include "oxbowmill/recovery/difference.h"
#include "oxbowmill/recovery/settings.h"

namespace oxbowmill::recovery {

enum class WordState : std::uint8_t {
  none,       // not a machine of a part of ours
  booting,    // nothing is on it and it was never up: its silence says nothing
  awaited,    // ours since a takeover or a move, and has not spoken since
  heard,      // spoke, but not yet under our token
  differing,  // spoke under it, and something is still to be settled
  squared,    // record and report agree
  suspected,  // silent, while the others of its zone speak
  condemned,  // suspected, and its deletion pays
  lost,       // proved to be empty, by its lease or by its deletion
};
const char* name_of(WordState s);

/// How often a suspicion turned out right; old evidence fades.
class Experience {
 public:
  void returned() { add(1, 0); }
  void lost() { add(0, 1); }
  /// Chance that a suspect's trouble passes by itself; never taken for impossible.
  double chance_of_return() const;
  double returns() const { return back_; }
  double losses() const { return gone_; }

 private:
  void add(double back, double gone);
  double back_ = 0, gone_ = 0;
};

/// When in a start a machine that has not spoken is suspected: the design's floored, relative threshold, over
/// the times (from the takeover, ascending) in which machines of its zone first spoke. It rests on the latest
/// of them, not on a median: words come spread over a whole report interval, and only once they have ceased
/// does silence mean something. Not later than `cap`. Below 0: too few have spoken.
Seconds threshold(const std::vector<double>& first_words, std::uint32_t expected, Seconds floor, Seconds cap,
                  const Settings& settings);
/// Chance that a machine silent for `silent_s` speaks within the next `rest_s`: of the troubles that pass by
/// themselves, those that have lasted long last longer (durations without a scale of their own).
double chance_of_word(const Experience& experience, Seconds silent_s, Seconds rest_s);

/// What hangs on a machine, in machine-seconds: what deleting it at once is expected to gain over waiting for
/// its lease, and what it costs if it comes back after all.
struct Stake {
  double gain = 0, loss = 0;
  bool pays() const { return gain > loss; }
};
Stake stake(const Model& model, MachineIndex mi, Seconds proof_at, double chance_of_return, Seconds now);

}  // namespace oxbowmill::recovery
