#include "oxbowmill/lab/rules.h"

#include <algorithm>

namespace oxbowmill::lab {

namespace {
constexpr double forgotten_s = 75;
constexpr double left_s = 90;  // a job waits no longer where it could start
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
  if (j.submitted && !j.terms.sound && !j.accepted) breaks("accepted_unsound", job, now);
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

std::size_t Rules::Job::running() const {
  return static_cast<std::size_t>(
      std::count_if(on.begin(), on.end(), [](const auto& t) { return !t.second.empty(); }));
}

/// The task would be where the job does not allow it, given its other tasks.
bool Rules::misplaced(const Job& j, const Place& place) const {
  const Terms& t = j.terms;
  if (place.spot && !t.spot) return true;
  if (!t.zone.empty() && t.zone != place.zone) return true;
  if (!t.types.empty() && t.types.count(place.type) == 0) return true;
  std::size_t here = 0, elsewhere = 0;
  for (const auto& [number, places] : j.on) {
    for (const auto& [machine, p] : places) ++(p.zone == place.zone ? here : elsewhere);
  }
  return (t.one_zone && elsewhere > 0) || (t.scatter && here + 1 > (t.tasks + 1) / 2);
}

void Rules::starts(const std::string& job, std::uint32_t number, const std::string& machine,
                   const Place& place, double now) {
  Job& j = jobs_[job];
  ran_ = true;
  j.waits_since = -1;
  if (!j.on[number].empty()) breaks("ran_twice", job + "/" + std::to_string(number), now);
  double after = j.cancelled_at >= 0 ? now - j.cancelled_at : -1;
  if (after >= 0) ++late_starts;
  bool late = after >= 0 && after > std::min(last_start_s_, cancel_s_);
  if (late) {
    cancelled_.erase(job);  // said once
    breaks("ran_cancelled", job, now);
  }
  if (misplaced(j, place)) breaks("wrong_place", job, now);
  j.on[number][machine] = place;
  if (j.cancelled_at >= 0 && !late) cancelled_.insert(job);
  double& used = used_[j.terms.team];
  used += j.terms.gpus;
  load_[machine] += j.terms.gpus;
  note_room(machine, now);
  double most = limit(j.terms.team);
  if (most > 0 && used > most + slack) breaks("quota", job, now);
}

void Rules::leaves(const std::string& job, std::uint32_t number, const std::string& machine, double now) {
  Job& j = jobs_[job];
  if (j.on[number].erase(machine) == 0) return;
  used_[j.terms.team] -= j.terms.gpus;
  load_[machine] -= j.terms.gpus;
  note_room(machine, now);
  j.waits_since = -1;
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

std::size_t Rules::lacking(const Job& j) const {
  return j.terms.gang ? j.terms.tasks - j.running() : 1;
}

bool Rules::under_limit(const Job& j) const {
  double most = limit(j.terms.team);
  auto used = used_.find(j.terms.team);
  double wanted = static_cast<double>(lacking(j)) * j.terms.gpus;
  return most <= 0 || (used == used_.end() ? 0 : used->second) + wanted <= most + slack;
}

/// Machines have had room all the time since then for what the job lacks (of an array: one task).
bool Rules::room_since(const Job& j, double since) const {
  const Terms& t = j.terms;
  std::map<std::string, std::size_t> room;  // tasks by zone
  for (const auto& [name, m] : usable_) {
    auto free = free_since_.find(name);
    if (misplaced(j, m.place) || free == free_since_.end()) continue;
    std::uint32_t gpus = 0;
    for (const auto& [g, at] : free->second) gpus = at <= since ? std::max(gpus, g) : gpus;
    room[m.place.zone] += static_cast<std::size_t>((gpus + slack) / t.gpus);
  }
  std::size_t all = 0, best = 0;
  for (const auto& [zone, n] : room) {
    all += t.scatter ? std::min<std::size_t>(n, (t.tasks + 1) / 2) : n;
    best = std::max(best, n);
  }
  return (t.one_zone ? best : all) >= lacking(j);
}

void Rules::note_room(const std::string& machine, double now) {
  auto m = usable_.find(machine);
  auto& since = free_since_[machine];
  double free = m == usable_.end() ? 0 : m->second.gpus - load_[machine];
  since.erase(since.upper_bound(static_cast<std::uint32_t>(std::max(0.0, free) + slack)), since.end());
  for (std::uint32_t g = 1; g <= free + slack; ++g) since.try_emplace(g, now);
}

void Rules::usable(std::map<std::string, Usable> machines, double now) {
  std::swap(usable_, machines);
  for (const auto& [name, m] : machines) note_room(name, now);
  for (const auto& [name, m] : usable_) note_room(name, now);
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
  for (auto& [name, j] : jobs_) {
    bool waits = j.accepted && !j.withdrawn && !j.left && j.final == Told::open &&
                 j.running() + j.done.size() < j.terms.tasks;
    if (!waits || !under_limit(j)) {
      j.waits_since = -1;
      continue;
    }
    if (j.waits_since < 0) j.waits_since = now;
    j.left = now - j.waits_since > left_s && room_since(j, now - left_s);
    if (j.left) breaks("left_waiting", name, now);
  }
}

void Rules::close() {
  if (!ran_) broken_.emplace_back("nothing_ran");
}

}  // namespace oxbowmill::lab
