#include "oxbowmill/recovery/difference.h"

#include <algorithm>
#include <tuple>

#include "oxbowmill/core/gangs.h"

namespace oxbowmill::recovery {

const char* name_of(Difference d) {
  static constexpr const char* names[] = {"old token",     "not reported", "not placed", "elsewhere",
                                          "other try",     "ended",        "final",      "gang broken",
                                          "to be cleared", "market"};
  return names[static_cast<int>(d)];
}

bool Differences::any() const {
  for (std::size_t i = 0; i < difference_kinds; ++i) {
    auto kind = static_cast<Difference>(i);
    // A first word never shows the new token: that is waited for (`heard`), and tells nothing by itself.
    bool settles_itself =
        kind == Difference::foreign_market || kind == Difference::leftover || kind == Difference::old_token;
    if (!settles_itself && count[i] != 0) return true;
  }
  return false;
}

namespace {

const TaskReport* find(const WorkerReport& r, const std::string& ref, TaskNo task) {
  auto t = std::find_if(r.tasks.begin(), r.tasks.end(),
                        [&](const TaskReport& x) { return x.task == task && x.job == ref; });
  return t == r.tasks.end() ? nullptr : &*t;
}

/// Another member of this placement's attempt may still be there.
bool has_peers(const Job& j, const Placement& p) {
  return std::any_of(j.placed.begin(), j.placed.end(), [&p](const auto& other) {
    const Placement& o = other.second;
    return o.task != p.task && o.attempt == p.attempt && !is_off(o.state);
  });
}

}  // namespace

Standing standing(const Model& model, bool owned, MachineIndex mi, const WorkerReport& r) {
  if (!mi.valid()) return Standing::unrecorded;
  if (!owned) return Standing::not_ours;
  const Machine& m = model.machine(mi);
  if (r.token > model.token(m)) return Standing::higher_token;
  if (std::tie(r.tenure, r.serial) <= std::tie(m.tenure, m.serial)) return Standing::stale;
  return Standing::fit;
}

Differences compare(const Model& model, MachineIndex mi, const WorkerReport& r) {
  Differences d;
  const Machine& m = model.machine(mi);
  if (m.rec.market.valid()) d.add(Difference::foreign_market);
  if (r.token < model.least_token(m)) d.add(Difference::old_token);
  for (TaskId id : m.on) {
    const Job* j = model.known_job(id.job);
    const Placement* p = model.find_placement(id);
    // What this owner placed itself is no difference but an order under way.
    if (j == nullptr || p == nullptr || is_off(p->state) || !p->taken_over) continue;
    const TaskReport* t = find(r, j->spec.ref, id.task);
    bool gang = j->spec.shape == Shape::gang;
    if (t == nullptr) {
      d.add(Difference::not_reported);
      if (gang && has_peers(*j, *p)) d.add(Difference::gang_broken);
    } else if (t->attempt != p->attempt) {
      d.add(Difference::other_attempt);
    } else if (t->phase == TaskPhase::ended) {
      d.add(Difference::ended_unheard);
      if (gang && t->cause != EndCause::done && has_peers(*j, *p)) d.add(Difference::gang_broken);
    }
  }
  for (const TaskReport& t : r.tasks) {
    JobIndex ji = model.find_job(t.job);
    const Job* j = ji.valid() ? model.known_job(ji) : nullptr;
    const Placement* p = j == nullptr ? nullptr : model.find_placement({ji, t.task});
    bool here = p != nullptr && p->machine == mi;
    if (t.phase == TaskPhase::ended) {
      if (!here) d.add(Difference::leftover);
      continue;
    }
    if (j == nullptr || j->final_phase()) {
      d.add(Difference::final_phase);
    } else if (p == nullptr) {
      d.add(Difference::not_placed);
    } else if (!here) {
      d.add(Difference::elsewhere);
    }
  }
  return d;
}

}  // namespace oxbowmill::recovery
