#include "oxbowmill/lab/rules.h"

#include <algorithm>

namespace oxbowmill::lab {

namespace {
constexpr double forgotten_s = 75;
constexpr double slack = 1e-6;
}  // namespace

void Rules::breaks(const std::string& rule, const std::string& job, double now) {
  broken_.push_back(rule + " " + job + " at " + std::to_string(now));
}

void Rules::submits(const std::string& job, const Terms& terms) {
  jobs_[job].terms = terms;
  jobs_[job].submitted = true;
}

void Rules::told(const std::string& job, Told what, double now) {
  Job& j = jobs_[job];
  if (what == Told::nothing) {
    ++refusals;
    if (j.accepted && j.unanswered_since < 0) j.unanswered_since = now;
    return;
  }
  ++answers;
  j.unanswered_since = -1;
  if (what == Told::absent || what == Told::rejected) {
    if (j.accepted) breaks("forgotten", job, now);
    return;
  }
  if (!j.submitted) breaks("invented", job, now);
  j.accepted = true;
  if (j.final != Told::open && what != j.final) breaks("went_back", job, now);
  if (what == Told::cancelled && !j.withdrawn) breaks("went_back", job, now);
  if (what == Told::done && j.done.size() < j.terms.tasks) breaks("not_done", job, now);
  if (what == Told::open || j.final != Told::open) return;
  j.final = what;
  if (what != Told::cancelled) return;
  j.cancelled_at = now;
  cancelled_.insert(job);
}

void Rules::starts(const std::string& job, std::uint32_t number, const std::string& machine,
                   const Place& place, double now) {
  Job& j = jobs_[job];
  ran_ = true;
  if (!j.on[number].empty()) breaks("ran_twice", job + "/" + std::to_string(number), now);
  bool late = j.cancelled_at >= 0 && now - j.cancelled_at > cancel_s_;
  if (late) {
    cancelled_.erase(job);  // said once
    breaks("ran_cancelled", job, now);
  }
  bool elsewhere = j.terms.one_zone && std::any_of(j.on.begin(), j.on.end(), [&](const auto& t) {
                     return std::any_of(t.second.begin(), t.second.end(),
                                        [&](const auto& p) { return p.second.zone != place.zone; });
                   });
  if (elsewhere || (place.spot && !j.terms.spot)) breaks("wrong_place", job, now);
  j.on[number][machine] = place;
  if (j.cancelled_at >= 0 && !late) cancelled_.insert(job);
  double& used = used_[j.terms.team];
  used += j.terms.gpus;
  double most = j.terms.team < most_gpus_.size() ? most_gpus_[j.terms.team] : 0;
  if (most > 0 && used > most + slack) breaks("quota", job, now);
}

void Rules::leaves(const std::string& job, std::uint32_t number, const std::string& machine, double now) {
  Job& j = jobs_[job];
  if (j.on[number].erase(machine) == 0) return;
  used_[j.terms.team] -= j.terms.gpus;
  if (j.cancelled_at >= 0 && now - j.cancelled_at > cancel_s_ + slack && cancelled_.count(job) != 0) {
    cancelled_.erase(job);
    breaks("ran_cancelled", job, now);
  }
}

void Rules::stored(const std::string& job, bool there, double now) {
  Job& j = jobs_[job];
  if (there || !j.accepted || j.forgotten) return;
  j.forgotten = true;  // said once
  breaks("forgotten", job, now);
}

void Rules::check(double now) {
  for (auto it = cancelled_.begin(); it != cancelled_.end();) {
    Job& j = jobs_[*it];
    bool over = now - j.cancelled_at > cancel_s_ + slack;
    bool there = std::any_of(j.on.begin(), j.on.end(), [](const auto& t) { return !t.second.empty(); });
    if (over && there) breaks("ran_cancelled", *it, now);
    it = over ? cancelled_.erase(it) : std::next(it);
  }
  if (now < quiet_from_) return;
  for (auto& [name, j] : jobs_) {
    if (j.forgotten || j.unanswered_since < 0) continue;
    j.forgotten = now - std::max(j.unanswered_since, quiet_from_) > forgotten_s;
    if (j.forgotten) breaks("forgotten", name, now);
  }
}

void Rules::close() {
  if (!ran_) broken_.push_back("nothing_ran");
}

}  // namespace oxbowmill::lab
