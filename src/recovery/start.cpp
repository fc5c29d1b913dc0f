#include "oxbowmill/recovery/start.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace oxbowmill::recovery {

namespace {
constexpr double check_every_s = 0.2;
constexpr double stalled_s = 1;  // between two passes: what was not heard meanwhile is this node's own fault
constexpr double told_s = 3;     // a peer's word counts so long
constexpr std::uint32_t least_speakers = 4;  // machines that can speak for a zone
constexpr double easing_windows = 2;
// A worker without an owner knocks again every second, or after the time-out of a report that hangs.
constexpr double first_word_s = oxbowmill::Settings::report_timeout_s + 2;
constexpr double rhythm = 1.6;  // report intervals within which a machine that is there has spoken
}  // namespace

const char* name_of(PartState s) {
  static constexpr const char* names[] = {"absent",   "reading", "listening", "squaring",
                                          "settling", "easing",  "serving"};
  return names[static_cast<int>(s)];
}

Start::Start(const Model& model, const Scheduler& scheduler, Settings settings)
    : model_(model),
      scheduler_(scheduler),
      settings_(settings),
      parts_(model.parts()),
      orders_(settings.return_share * model.settings.state_write_rps,
              std::max(1.0, settings.return_share * model.settings.state_write_rps)),
      told_(model.parts()) {}

WordState& Start::word_of(MachineIndex m) {
  if (m.v >= words_.size()) words_.resize(m.v + 1);
  return words_[m.v];
}

void Start::set_state(PartIndex p, PartState s, Seconds now) {
  Part& part = parts_[p.v];
  if (part.state == s) return;
  const Counts& c = part.counts;
  std::string kinds;
  for (std::size_t i = 0; i < difference_kinds; ++i) {
    if (c.first.count[i] != 0)
      kinds += fmt::format(", {} {}", name_of(static_cast<Difference>(i)), c.first.count[i]);
  }
  SPDLOG_INFO(
      "start of part {}: {} -> {} after {:.1f} s: {} expected, {} heard, {} matched{}; {} suspected, {} "
      "deleted on suspicion, {} lost; {} strangers, {} stale; held back {} rentals, {} returns",
      model_.names.parts.name(p), name_of(part.state), name_of(s), now - part.since, c.expected, c.heard,
      c.matched, kinds, c.suspected, c.condemned, c.lost, c.strangers, c.stale, c.held_rentals.size(),
      c.held_returns.size());
  part.state = s;
  if (s == PartState::settling || s == PartState::serving) {
    if (part.squared_at < 0) part.squared_at = now;
  }
  if (on_state) on_state();
}

void Start::set_state(MachineIndex m, WordState s) {
  WordState& w = word_of(m);
  if (w == s) return;
  // No longer ours, perhaps without a record: nothing is counted of it any more.
  if (s == WordState::none) {
    w = s;
    return;
  }
  SPDLOG_DEBUG("word of machine {}: {} -> {}", model_.names.machines.name(m), name_of(w), name_of(s));
  const Machine& machine = model_.machine(m);
  Counts& c = parts_[machine.rec.part.v].counts;
  bool doubted = w == WordState::suspected || w == WordState::condemned;
  bool speaks = s == WordState::heard || s == WordState::differing || s == WordState::squared;
  if (s == WordState::suspected && !doubted) {
    ++c.suspected;
    SPDLOG_INFO("machine {}: suspected, silent while others of {} speak", model_.names.machines.name(m),
                model_.names.zones.name(machine.rec.zone));
  }
  if (s == WordState::condemned) ++c.condemned;
  if (s == WordState::lost) ++c.lost;
  if (doubted && speaks) {
    experience_.returned();
    ++c.returned;
    SPDLOG_INFO("machine {}: speaks again", model_.names.machines.name(m));
  }
  // What was deleted on suspicion tells nothing about whether the suspicion was right.
  if (w == WordState::suspected && s == WordState::lost) experience_.lost();
  w = s;
}

bool Start::may_be_silent(const Machine& m) const {
  return (!m.up && m.on.empty()) || m.rec.mark == MachineMark::deleting || m.failed_listed;
}

void Start::begin(PartIndex p, Seconds now) {
  Part& part = parts_[p.v];
  part.claim = model_.claim(p).stamp;
  part.since = now;
  part.squared_at = -1;
  part.counts = {};
  part.zones.assign(model_.names.zones.size(), {});
  for (Zone& z : part.zones) z.clear_since = now;
  for (MachineIndex m : model_.machines_of(p)) {
    const Machine& machine = model_.machine(m);
    bool silent = may_be_silent(machine);
    set_state(m, WordState::none);
    set_state(m, silent ? WordState::booting : WordState::awaited);
    part.counts.expected += silent ? 0 : 1;
    if (!silent) ++part.zones[machine.rec.zone.v].expected;
  }
  set_state(p, PartState::listening, now);
}

void Start::on_report(const WorkerReport& r, Seconds now) {
  MachineIndex mi = model_.find_recorded(r.machine);
  PartIndex p = mi.valid() ? model_.machine(mi).rec.part : pool_part;
  Part& part = parts_[p.v];
  bool ours = scheduler_.owns(p) && part.claim == model_.claim(p).stamp;
  switch (standing(model_, ours, mi, r)) {
    case Standing::unrecorded:
      if (ours) ++part.counts.strangers;
      return;
    case Standing::stale:
      ++part.counts.stale;
      return;
    case Standing::not_ours:
    case Standing::higher_token:
      return;
    case Standing::fit:
      break;
  }
  WordState& w = word_of(mi);
  if (w == WordState::squared) return;
  const Machine& m = model_.machine(mi);
  bool first = w == WordState::awaited;
  Differences differences = compare(model_, mi, r);
  bool token_shown = r.token >= model_.least_token(m);
  if (first) {
    ++part.counts.heard;
    if (m.taken_over) part.zones[m.rec.zone.v].first_words.push_back(now - part.since);
    part.counts.first += differences;
    if (!differences.any()) ++part.counts.matched;
  }
  set_state(mi, !token_shown        ? WordState::heard
                : differences.any() ? WordState::differing
                                    : WordState::squared);
}

void Start::count_zones(PartIndex p, Seconds now) {
  Part& part = parts_[p.v];
  part.zones.resize(model_.names.zones.size());
  for (Zone& z : part.zones) z.due = z.heard = 0;
  const double recent = rhythm * model_.settings.report_s + 0.5;
  for (MachineIndex m : model_.machines_of(p)) {
    const Machine& machine = model_.machine(m);
    if (may_be_silent(machine) || machine.state == MachineState::silent) continue;
    Zone& z = part.zones[machine.rec.zone.v];
    ++z.due;
    z.heard += machine.last_answered >= 0 && now - machine.last_answered < recent ? 1 : 0;
  }
  for (std::uint32_t i = 0; i < part.zones.size(); ++i) {
    Zone& z = part.zones[i];
    z.speaks = z.due >= least_speakers && z.heard >= settings_.heard_share * z.due;
    // Where a zone as a whole is not heard, no single machine of it is to blame. In a start all had the same
    // time to speak, so it counts from there.
    if ((!z.speaks && part.state != PartState::listening) || scheduler_.dark(ZoneIndex{i}, now))
      z.clear_since = now;
  }
}

void Start::doubt(PartIndex p, Seconds now) {
  Part& part = parts_[p.v];
  Seconds patience = model_.settings.arrival_s();
  for (MachineIndex mi : model_.machines_of(p)) {
    const Machine& m = model_.machine(mi);
    WordState& w = word_of(mi);
    // Handed over, taken in or up since: it is one of ours now.
    if (may_be_silent(m)) {
      if (w == WordState::none) set_state(mi, WordState::booting);
      if (w == WordState::suspected && m.rec.mark == MachineMark::deleting)
        set_state(mi, WordState::condemned);
      continue;
    }
    if (m.state == MachineState::silent) {
      set_state(mi, WordState::lost);
      continue;
    }
    bool spoken = m.last_answered >= m.part_since;
    if (w == WordState::none || w == WordState::booting || w == WordState::lost)
      set_state(mi, spoken ? WordState::squared : WordState::awaited);
    Zone& z = part.zones[m.rec.zone.v];
    // An earlier owner that lacks only the state service keeps its workers through its grace: they are well,
    // and with it. (Without this a cut of one owner had 268 machines deleted that ran on.)
    Seconds from = std::max({m.last_answered, m.taken_over ? scheduler_.ours_alone_since(m) : m.part_since,
                             z.clear_since, clear_since_});
    Seconds after = patience;
    if (m.taken_over && m.last_answered < 0 && model_.all_anew_since() >= 0) {
      double t = threshold(z.first_words, z.expected, first_word_s, patience, settings_);
      after = t < 0 ? 1e9 : t;
    }
    if (w != WordState::suspected && w != WordState::condemned) {
      if (z.speaks && now - from > after) set_state(mi, WordState::suspected);
    }
    if (w == WordState::suspected && settings_.delete_suspects && z.speaks && !m.rec.market.valid()) {
      Seconds proof_at = scheduler_.proved_empty_at(m);
      Stake s = stake(model_, mi, proof_at, chance_of_word(experience_, now - from, proof_at - now), now);
      // Each costs changes that others' work waits for too: from the same budget as returns.
      if (s.pays() && orders_.take(1, now)) set_state(mi, WordState::condemned);
    }
  }
}

void Start::advance(PartIndex p, Seconds now) {
  Part& part = parts_[p.v];
  std::uint32_t open = 0, waited_for = 0;
  for (MachineIndex m : model_.machines_of(p)) {
    WordState s = word(m);
    const Machine& machine = model_.machine(m);
    bool at_start = machine.taken_over && !may_be_silent(machine);
    open += static_cast<unsigned int>(at_start && (s == WordState::awaited || s == WordState::heard ||
                                                   s == WordState::differing || s == WordState::suspected ||
                                                   s == WordState::condemned));
    waited_for += static_cast<unsigned int>(at_start && s == WordState::awaited);
  }
  if (part.state == PartState::listening) {
    // By what was heard, not by a clock; the clock only ends the wait for machines that nobody hears.
    bool enough = part.counts.heard >= settings_.enough_share * part.counts.expected;
    if (enough || waited_for == 0 || now - part.since > model_.settings.arrival_s())
      set_state(p, PartState::squaring, now);
  }
  // Nothing was running before: there is nothing to square and no demand that was forgotten.
  bool fresh = part.counts.expected == 0;
  for (std::uint32_t i = 0; i < parts_.size(); ++i) fresh = fresh && model_.machines_of(PartIndex{i}).empty();
  // What is still open once every silence is proof holds nothing back any more: a machine that a lease says
  // nothing of (empty, and handed over to us) must not keep all others from going back.
  bool proved = now - part.since > model_.settings.takeover_silence_s() + model_.settings.report_s;
  if (part.state == PartState::squaring && (open == 0 || proved))
    set_state(p, p == pool_part && !fresh ? PartState::settling : PartState::serving, now);
  if (part.state == PartState::settling && now - part.since > settings_.demand_window_s)
    set_state(p, PartState::easing, now);
  if (part.state == PartState::easing && now - part.since > (1 + easing_windows) * settings_.demand_window_s)
    set_state(p, PartState::serving, now);
}

void Start::pass(Seconds now) {
  if (now - passed_at_ < check_every_s) return;
  if (born_ < 0) born_ = now;
  if (now - passed_at_ > stalled_s) clear_since_ = now;
  passed_at_ = now;
  for (std::uint32_t i = 0; i < parts_.size(); ++i) {
    PartIndex p{i};
    Part& part = parts_[i];
    const Claim& claim = model_.claim(p);
    if (!scheduler_.owns(p)) {
      bool ours =
          claim.stamp != 0 && claim.rec.node == model_.settings.node && part.state == PartState::absent;
      if (ours) part.since = now;
      set_state(p, ours ? PartState::reading : PartState::absent, now);
      if (!ours) part.claim = 0;
      continue;
    }
    if (part.claim != claim.stamp) begin(p, now);
    count_zones(p, now);
    doubt(p, now);
    advance(p, now);
  }
  forget_others(now);
}

void Start::forget_others(Seconds now) {
  for (auto it = told_suspects_.begin(); it != told_suspects_.end();) {
    it = now - it->second > told_s ? told_suspects_.erase(it) : std::next(it);
  }
  for (auto it = replaced_.begin(); it != replaced_.end();) {
    it = now - it->second > model_.settings.takeover_silence_s() ? replaced_.erase(it) : std::next(it);
  }
  for (std::uint32_t i = 0; i < words_.size(); ++i) {
    MachineIndex m{i};
    const Machine& machine = model_.machine(m);
    bool ours = machine.stamp != 0 && scheduler_.owns(machine.rec.part);
    if (!ours && words_[i] != WordState::none) set_state(m, WordState::none);
  }
}

std::vector<PartWord> Start::part_words() const {
  std::vector<PartWord> out;
  for (std::uint32_t i = 0; i < parts_.size(); ++i) {
    const Part& p = parts_[i];
    if (p.claim != 0) out.push_back({PartIndex{i}, p.claim, p.state, p.counts.expected, p.counts.heard});
  }
  return out;
}

std::vector<MachineIndex> Start::suspects(std::size_t most) const {
  std::vector<MachineIndex> out;
  for (std::uint32_t i = 0; i < parts_.size(); ++i) {
    if (parts_[i].claim == 0) continue;
    for (MachineIndex m : model_.machines_of(PartIndex{i})) {
      WordState s = word(m);
      if (out.size() < most && (s == WordState::suspected || s == WordState::condemned)) out.push_back(m);
    }
  }
  return out;
}

void Start::heard_of(const PartWord& w, Seconds now) {
  // Hints of several terms may cross: the later claim speaks.
  if (w.part.valid() && w.part.v < told_.size() && w.claim >= told_[w.part.v].word.claim)
    told_[w.part.v] = {w, now};
}

void Start::heard_of_suspect(MachineIndex m, Seconds now) {
  if (m.valid()) told_suspects_[m] = now;
}

bool Start::suspected(MachineIndex m) const {
  WordState s = word(m);
  return s == WordState::suspected || s == WordState::condemned || told_suspects_.count(m) != 0;
}

bool Start::condemned(MachineIndex m) const {
  return word(m) == WordState::condemned;
}

bool Start::still_listening(PartIndex p, Seconds now) const {
  if (parts_[p.v].claim != 0) return parts_[p.v].state <= PartState::listening;
  const Claim& claim = model_.claim(p);
  const Told& told = told_[p.v];
  if (claim.stamp != 0 && told.word.claim == claim.stamp && now - told.at < told_s)
    return told.word.state <= PartState::listening;
  // Nobody's, or its owner says nothing (it may be of an older version): for as long as a start may listen.
  return now - std::max(claim.since, parts_[pool_part.v].since) <= model_.settings.arrival_s();
}

bool Start::may_rent(PartIndex part, JobIndex job, bool guaranteed, Seconds now) {
  if (guaranteed || !scheduler_.owns(pool_part)) return true;
  // A leader that was there before knows what is up. (Held for sixteen seconds in the middle of a burst,
  // while an earlier owner kept its workers, rentals came too late on maktaba-monastir-voice.)
  if (born_ < 0 || now - born_ > 2 * model_.settings.arrival_s()) return true;
  Part& pool = parts_[pool_part.v];
  // Without recorded machines there is nothing that could yet turn up and make a rental needless.
  bool nothing = model_.machines_of(part).empty() && model_.machines_of(pool_part).empty();
  bool held = pool.claim != 0 && !nothing && (still_listening(part, now) || still_listening(pool_part, now));
  if (held && job.valid()) pool.counts.held_rentals.insert(job);
  return !held;
}

bool Start::may_return(MachineIndex m, Seconds now) {
  Part& pool = parts_[pool_part.v];
  if (pool.state == PartState::serving || pool.state == PartState::absent) return true;
  bool may = pool.state == PartState::easing && orders_.take(1, now);
  if (!may) pool.counts.held_returns.insert(m);
  return may;
}

std::vector<Replacement> Start::replacements(Seconds now) const {
  std::vector<Replacement> out;
  std::size_t up = 0;
  double gone = 0;  // how many are expected not to come back
  for (std::uint32_t i = 0; i < model_.machine_count(); ++i) {
    MachineIndex mi{i};
    const Machine& m = model_.machine(mi);
    if (m.stamp == 0) continue;
    up += m.up ? 1 : 0;
    if (m.on.empty() || !suspected(mi) || scheduler_.dark(m.rec.zone, now)) continue;
    Seconds from = std::max(m.last_answered, m.part_since);
    Seconds proof_at = from + model_.settings.lease_over_s();
    gone += 1 - chance_of_word(experience_, now - from, proof_at - now);
    if (replaced_.count(mi) == 0) out.push_back({mi, m.rec.part, {m.rec.type, m.rec.zone, m.rec.spot}});
  }
  double wanted = std::min(gone, settings_.replace_share * static_cast<double>(up));
  auto rest = static_cast<std::size_t>(std::max(0.0, wanted - static_cast<double>(replaced_.size())));
  if (out.size() > rest) out.resize(rest);
  return out;
}

void Start::under_way(MachineIndex suspect) {
  replaced_.emplace(suspect, passed_at_);
}

}  // namespace oxbowmill::recovery
