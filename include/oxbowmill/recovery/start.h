// The start of a controller's parts, from the claim to ordinary service, and the doubt about single machines
// after it. Pure: reports, peers' words and the time come in; what may be ordered goes out through core's
// `Gate`. docs/start.md holds the reasons.
#pragma once

#include <functional>
#include <map>

#include "oxbowmill/core/scheduler.h"
#include "oxbowmill/core/token_bucket.h"
#include "oxbowmill/recovery/words.h"

namespace oxbowmill::recovery {

enum class PartState : std::uint8_t {
  absent,     // not ours
  reading,    // claimed, but the tables have not reached the claim
  listening,  // machines speak one by one
  squaring,   // enough have spoken to judge by; differences and suspects are being settled
  settling,   // the pool's: demand is watched anew, nothing idle goes back
  easing,     // the pool's: what is idle goes back at a limited pace
  serving,
};
const char* name_of(PartState s);

/// What controllers tell each other of a part's start.
struct PartWord {
  PartIndex part;
  Stamp claim = 0;  // which start it speaks of
  PartState state = PartState::absent;
  std::uint32_t expected = 0, heard = 0;
};

class Start : public Gate {
 public:
  /// The scheduler is read only.
  Start(const Model& model, const Scheduler& scheduler, Settings settings);

  /// The state of a part has changed.
  std::function<void()> on_state;
  /// Before the scheduler judges the report, after it has noticed takeovers. Full authority only.
  void on_report(const WorkerReport& r, Seconds now);
  /// After the scheduler's, before the fleet's. Full authority only: a node that may not act cannot know
  /// whose fault a silence is, and begins to listen anew when it may.
  void pass(Seconds now);

  /// What the others should know: the starts under way here, and whom this node suspects. Hints only.
  std::vector<PartWord> part_words() const;
  std::vector<MachineIndex> suspects(std::size_t most) const;
  void heard_of(const PartWord& w, Seconds now);
  void heard_of_suspect(MachineIndex m, Seconds now);

  // core's Gate
  bool suspected(MachineIndex m) const override;
  bool condemned(MachineIndex m) const override;
  bool may_rent(PartIndex part, JobIndex job, bool guaranteed, Seconds now) override;
  bool may_return(MachineIndex m, Seconds now) override;
  std::vector<Replacement> replacements(Seconds now) const override;
  void under_way(MachineIndex suspect) override;

  PartState state(PartIndex p) const { return parts_.at(p.v).state; }
  WordState word(MachineIndex m) const { return m.v < words_.size() ? words_[m.v] : WordState::none; }
  const Experience& experience() const { return experience_; }
  /// Of the start that is under way or was last: for logs, tests and the laboratory.
  struct Counts {
    std::uint32_t expected = 0, heard = 0, matched = 0, suspected = 0, condemned = 0, lost = 0;
    std::uint32_t returned = 0, stale = 0, strangers = 0;
    std::set<JobIndex> held_rentals;      // jobs that waited for a rental because of the start
    std::set<MachineIndex> held_returns;  // machines that were idle and kept because of it
    Differences first;                    // as the machines' first words had them
  };
  const Counts& counts(PartIndex p) const { return parts_.at(p.v).counts; }
  Seconds squared_at(PartIndex p) const { return parts_.at(p.v).squared_at; }

 private:
  struct Zone {
    std::uint32_t due = 0, heard = 0;  // now
    bool speaks = false;               // enough of them for one that does not to be doubted
    std::uint32_t expected = 0;        // whose first words the start waits for
    std::vector<double> first_words;   // seconds from the part's takeover, in order
    Seconds clear_since = 0;           // silence counts from here on
  };
  struct Part {
    PartState state = PartState::absent;
    Stamp claim = 0;
    Seconds since = 0;  // of the start
    Seconds squared_at = -1;
    std::vector<Zone> zones;
    Counts counts;
  };
  void begin(PartIndex p, Seconds now);
  /// The only place where a part's state changes.
  void set_state(PartIndex p, PartState s, Seconds now);
  /// The only place where a machine's word changes.
  void set_state(MachineIndex m, WordState s);
  void count_zones(PartIndex p, Seconds now);
  void doubt(PartIndex p, Seconds now);
  void advance(PartIndex p, Seconds now);
  void forget_others(Seconds now);
  /// No word of the machine is waited for: it never was up, or it is on its way out.
  bool may_be_silent(const Machine& m) const;
  WordState& word_of(MachineIndex m);
  /// Another owner's start has not yet heard enough, or nothing is known of it and it is too early.
  bool still_listening(PartIndex p, Seconds now) const;

  const Model& model_;
  const Scheduler& scheduler_;
  Settings settings_;
  std::vector<Part> parts_;
  std::vector<WordState> words_;  // by machine
  Experience experience_;
  TokenBucket orders_;  // machines that a start, or a doubt, gives back
  struct Told {
    PartWord word;
    Seconds at = -1e9;
  };
  std::vector<Told> told_;                         // by part
  std::map<MachineIndex, Seconds> told_suspects_;  // by peers, and when
  /// Suspects for whose work a machine was asked for, and when. What others tell comes and goes; a suspect is
  /// replaced once all the same, and those of late count against the bound.
  std::map<MachineIndex, Seconds> replaced_;
  Seconds passed_at_ = -1e9, clear_since_ = -1e9;
  Seconds born_ = -1;  // first pass of this process
};

}  // namespace oxbowmill::recovery
