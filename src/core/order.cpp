#include "oxbowmill/core/order.h"

#include <algorithm>
#include <numeric>
#include <queue>
#include <tuple>

#include "oxbowmill/core/gangs.h"

namespace oxbowmill {

namespace {

constexpr double start_margin_s = 5;  // from the start order to the first second of work, with its fetch

struct Entry {
  int rank = 0;
  int tier = 0;  // -1: has to begin, 0: can be in time, 1: no deadline, 2: late whatever is done
  double key = 0, since = 0;
  JobIndex job;
  Promise promise = Promise::ample;
};

/// Whole, or the missing members of an attempt that has not run yet.
bool gang_may_be_placed(const Job& j) {
  GangState state = gang_state(j);
  if (state == GangState::idle) return true;
  if (state != GangState::gathering) return false;
  return std::none_of(j.placed.begin(), j.placed.end(), [](const auto& p) {
    return p.second.state == PlacementState::gone || p.second.state == PlacementState::stopping;
  });
}

/// Machines' worth of room that the part's running tasks leave each second, by their owners' estimates.
double leaving_rate(const Model& model, PartIndex part) {
  double rate = 0;
  for (JobIndex ji : model.live_jobs(part)) {
    const Job& j = model.job(ji);
    if (j.placed.empty() || j.spec.estimate_s <= 0) continue;
    if (j.saved.empty()) {  // all its tasks alike
      rate += static_cast<double>(j.placed.size()) * j.share / (j.spec.estimate_s + start_margin_s);
      continue;
    }
    for (const auto& [t, p] : j.placed)
      rate += j.share / (progress::remaining(j.spec.estimate_s, j.saved_of(t)) + start_margin_s);
  }
  return rate;
}

}  // namespace

std::vector<bool> give_up_late(const std::vector<Due>& jobs, double rate) {
  std::vector<std::size_t> order(jobs.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [&jobs](std::size_t a, std::size_t b) { return jobs[a].start_by < jobs[b].start_by; });
  std::vector<bool> given_up(jobs.size(), false);
  std::priority_queue<std::pair<double, std::size_t>> kept;
  double ahead = 0;
  for (std::size_t i : order) {
    if (jobs[i].start_by < 0) {  // late even if it were the only one
      given_up[i] = true;
      continue;
    }
    ahead += jobs[i].size;
    kept.emplace(jobs[i].size, i);
    if (ahead <= rate * jobs[i].start_by) continue;
    given_up[kept.top().second] = true;
    ahead -= kept.top().first;
    kept.pop();
  }
  return given_up;
}

/// What is given up for a deadline, or outranked, would otherwise wait as long as others come: its place then
/// is decided by the time by which it has to begin. How much may cross ranks at a time is bounded, so that
/// where there is never room enough the ranks still mean something.
void keep_promises(const Model& model, PartIndex part, Clock clock, std::vector<Entry>& entries) {
  constexpr int before_all_ranks = -100;
  std::vector<Entry*> lifted;
  for (Entry& e : entries) {
    const Job& j = model.job(e.job);
    e.promise = promise_of(model, j.spec, clock.wall);
    if (e.promise < Promise::pressing || !waits_to_begin(j)) {
      e.promise = Promise::ample;
      continue;
    }
    e.tier = -1;
    e.key = promise_slack(model, j.spec, clock.wall);
    if (e.promise == Promise::lifted) lifted.push_back(&e);
  }
  std::sort(lifted.begin(), lifted.end(), [](const Entry* a, const Entry* b) {
    return std::tie(a->key, a->job) < std::tie(b->key, b->job);
  });
  double room = model.settings.op.promise_share * static_cast<double>(model.machines_of(part).size());
  bool first = true;
  for (Entry* e : lifted) {
    const Job& j = model.job(e->job);
    room -= j.pending() * j.share;
    if (room >= 0 || first) {
      e->rank = before_all_ranks;
    } else {
      e->promise = Promise::pressing;
    }
    first = false;
  }
}

std::vector<Waiting> waiting_order(const Model& model, PartIndex part, Clock clock) {
  std::vector<Entry> entries, due;
  for (JobIndex ji : model.live_jobs(part)) {
    const Job& j = model.job(ji);
    if (model.placeable(ji) == 0) continue;
    if (j.spec.shape == Shape::gang && !gang_may_be_placed(j)) continue;
    // What was saved before its machines were lost is worth its place: those nearest their end go on first.
    double since = j.spec.submitted_at - model.advice(ji).pull_s - (j.spec.estimate_s - j.remaining_s());
    Entry e{-static_cast<int>(j.spec.rank), 1, since, since, ji};
    (j.spec.deadline_s < 0 ? entries : due).push_back(e);
  }
  if (!due.empty()) {
    double rate = leaving_rate(model, part);
    // First the deadline itself, then the multiples of it that the users' aims name: what misses one can
    // still make the next.
    std::vector<double> multiples = model.settings.deadline_multiples;
    if (multiples.empty()) multiples.push_back(1);
    for (Entry& e : due) e.tier = -1;
    for (double times : multiples) {
      std::vector<Due> jobs;
      for (Entry& e : due) {
        const JobSpec& s = model.job(e.job).spec;
        if (e.tier < 0)
          e.key = s.submitted_at + times * s.deadline_s - clock.wall - model.job(e.job).remaining_s() -
                  start_margin_s;
        jobs.push_back({e.key, model.job(e.job).pending() * model.job(e.job).share});
      }
      auto given_up = give_up_late(jobs, rate);
      for (std::size_t i = 0; i < due.size(); ++i) {
        if (!given_up[i]) due[i].tier = 0;
      }
    }
    for (Entry& e : due) {
      if (e.tier == 0) continue;
      e.tier = 2;
      e.key = -model.job(e.job).remaining_s();
    }
    entries.insert(entries.end(), due.begin(), due.end());
  }
  keep_promises(model, part, clock, entries);
  std::sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
    return std::tie(a.rank, a.tier, a.key, a.since, a.job) < std::tie(b.rank, b.tier, b.key, b.since, b.job);
  });
  std::vector<Waiting> out;
  for (const Entry& e : entries) out.push_back({e.job, e.promise});
  return out;
}

}  // namespace oxbowmill
