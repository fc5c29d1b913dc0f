#include "oxbowmill/recovery/words.h"

#include <algorithm>

#include "oxbowmill/core/placement.h"

namespace oxbowmill::recovery {

namespace {
constexpr double most_evidence = 50;  // suspicions that are remembered
constexpr double least_chance = 0.05;
}  // namespace

const char* name_of(WordState s) {
  static constexpr const char* names[] = {"none",    "booting",   "awaited",   "heard", "differing",
                                          "squared", "suspected", "condemned", "lost"};
  return names[static_cast<int>(s)];
}

void Experience::add(double back, double gone) {
  double keep = back_ + gone_ + 1 > most_evidence ? (most_evidence - 1) / (back_ + gone_) : 1;
  back_ = keep * back_ + back;
  gone_ = keep * gone_ + gone;
}

double Experience::chance_of_return() const {
  // Before anything was seen, three of four troubles are taken to pass: a deletion that was wrong is a loss
  // for certain, one that comes late only a delay.
  constexpr double passed = 3, stayed = 1;
  return std::max(least_chance, (back_ + passed) / (back_ + gone_ + passed + stayed));
}

Seconds threshold(const std::vector<double>& first_words, std::uint32_t expected, Seconds floor, Seconds cap,
                  const Settings& settings) {
  if (first_words.empty() || static_cast<double>(first_words.size()) < settings.heard_share * expected)
    return -1;
  return std::min(cap, std::max(floor, settings.multiplier * first_words.back()));
}

double chance_of_word(const Experience& experience, Seconds silent_s, Seconds rest_s) {
  if (rest_s <= 0) return 0;
  return experience.chance_of_return() * rest_s / (rest_s + std::max(0.0, silent_s));
}

Stake stake(const Model& model, MachineIndex mi, Seconds proof_at, double chance_of_return, Seconds now) {
  const Machine& m = model.machine(mi);
  double waiting = 0;  // machines' worth of work that stands still until the proof
  double at_risk = 0;  // machine-seconds of progress that go if it is alive
  for (TaskId id : m.on) {
    const Job* j = model.live_job(id.job);
    const Placement* p = model.find_placement(id);
    if (j == nullptr || p == nullptr || is_off(p->state)) continue;
    double size = j->share;
    bool broken = false;
    if (j->spec.shape == Shape::gang) {
      // The whole gang waits for its last member. Another member's word that it has lost its peers is the
      // second witness, and then there is no progress left that the machine could hold.
      size *= j->spec.tasks;
      broken = j->broken == p->attempt;
    }
    waiting += size;
    if (broken) continue;
    if (j->spec.shape == Shape::service) {
      // No progress to lose, but a replica that is up, until another has its image.
      at_risk += size * (model.settings.report_s + fetch_time(j->spec, model.catalog.at(m.rec.type.v)));
      continue;
    }
    double ran = now - p->started_at;
    // Half an interval on average since the last checkpoint.
    double unsaved =
        j->spec.save_every_s > 0 ? j->spec.save_every_s / 2 : std::max(ran, j->spec.estimate_s / 2);
    at_risk += size * unsaved;
  }
  double boot = m.rec.type.v < model.catalog.size() ? model.catalog[m.rec.type.v].boot_s : 0;
  Stake s;
  s.gain = (1 - chance_of_return) * waiting * std::max(0.0, proof_at - now);
  s.loss = chance_of_return * (boot + at_risk);
  return s;
}

}  // namespace oxbowmill::recovery
