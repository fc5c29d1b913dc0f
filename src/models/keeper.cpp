#include "oxbowmill/models/keeper.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace oxbowmill::models {

namespace {

constexpr double pass_every_s = 0.25;
constexpr double take_back_s = 2;  // between the decision to cool and the first stop
constexpr std::uint32_t vain_tries = 5;
constexpr double lasting_s = 60;  // a try that has lasted so long is not in vain
constexpr std::size_t starts_kept = 9;
const std::string replicas_count = "replicas", job_note = "job";

std::string start_key(std::size_t i) {
  return "start" + std::to_string(i);
}

std::vector<double> starts_of(const AgreedRecord& r) {
  std::vector<double> out;
  for (std::size_t i = 0; i < starts_kept; ++i) {
    auto it = r.counts.find(start_key(i));
    if (it != r.counts.end()) out.push_back(static_cast<double>(it->second) / 1000);
  }
  return out;
}

/// The epoch's number goes round the places: the oldest start is forgotten.
void note_start(AgreedRecord& r, double seconds) {
  r.counts[start_key(r.epoch % starts_kept)] = static_cast<std::uint64_t>(std::max(0.0, seconds) * 1000);
}

}  // namespace

const accord::Kind& decision_kind() {
  static const accord::Kind kind = {"model",
                                    {{"", cold},
                                     {cold, cold},
                                     {cold, warming},
                                     {warming, serving},
                                     {warming, cooling},
                                     {serving, serving},
                                     {serving, cooling},
                                     {cooling, serving},
                                     {cooling, cold}}};
  return kind;
}

double idle_after(const std::vector<double>& cold_starts, const Terms& terms) {
  if (cold_starts.empty()) return terms.idle_floor_s;
  std::vector<double> s = cold_starts;
  std::sort(s.begin(), s.end());
  std::size_t n = s.size();
  double median = n % 2 == 1 ? s[n / 2] : (s[n / 2 - 1] + s[n / 2]) / 2;
  return std::max(median * terms.idle_factor, terms.idle_floor_s);
}

std::uint32_t replicas_for(std::uint32_t calls, const Terms& terms) {
  auto wanted = static_cast<std::uint32_t>(std::ceil(calls / terms.calls_per_replica));
  return std::clamp(wanted, terms.least, std::max(terms.least, terms.most));
}

Keeper::Keeper(Model& model, accord::Desk& desk, const Scheduler& scheduler, Settings settings)
    : model_(model), desk_(desk), scheduler_(scheduler) {
  for (Terms& t : settings.models) {
    Kept k;
    if (!t.job_class.empty()) k.job_class = model.names.classes.intern(t.job_class);
    if (!t.image.empty()) k.image = model.names.images.intern(t.image);
    for (const std::string& c : t.calls) k.calls.push_back(model.names.classes.intern(c));
    k.terms = std::move(t);
    kept_.push_back(std::move(k));
  }
}

bool Keeper::is_standing(const Kept& k, const JobSpec& spec) const {
  return spec.shape == Shape::service && (!k.job_class.valid() || spec.job_class == k.job_class) &&
         (!k.image.valid() || spec.image == k.image);
}

bool Keeper::is_call(const Kept& k, const JobSpec& spec) const {
  return spec.shape != Shape::service &&
         std::find(k.calls.begin(), k.calls.end(), spec.job_class) != k.calls.end();
}

void Keeper::find_standing(Kept& k) const {
  // Every controller finds the same one: by age as accepted, then by id.
  k.standing = {};
  for (std::uint32_t p = 1; p < model_.parts(); ++p) {
    for (JobIndex ji : model_.live_jobs(PartIndex{p})) {
      const Job& j = model_.job(ji);
      if (j.phase != JobPhase::open || !is_standing(k, j.spec)) continue;
      const JobSpec* best = k.standing.valid() ? &model_.job(k.standing).spec : nullptr;
      if (best == nullptr ||
          std::tie(j.spec.submitted_at, j.spec.ref) < std::tie(best->submitted_at, best->ref))
        k.standing = ji;
    }
  }
}

bool Keeper::in_vain(JobIndex ji, const Job& j, Seconds now) {
  // A call that fails for ever must not keep a model warm for ever: it counts again once a try of it lasts or
  // gets something done. By the tables alone, so that it is seen of other owners' calls too.
  Tries& t = tries_[ji];
  if (j.done != t.done) t = {j.done, 0, t.last, now};
  Attempt latest = 0;
  for (const auto& [task, p] : j.placed) latest = std::max(latest, p.attempt);
  if (latest > t.last) {
    t.last = latest;
    t.since = now;
    ++t.tries;
  }
  if (latest == t.last && latest != 0 && now - t.since > lasting_s) t.tries = std::min(t.tries, 1U);
  return t.tries > vain_tries;
}

std::uint32_t Keeper::count_calls(const Kept& k, Clock clock) {
  std::uint32_t n = 0;
  for (std::uint32_t p = 1; p < model_.parts(); ++p) {
    for (JobIndex ji : model_.live_jobs(PartIndex{p})) {
      const Job& j = model_.job(ji);
      if (j.phase == JobPhase::open && is_call(k, j.spec) && !in_vain(ji, j, clock.now)) ++n;
    }
  }
  return n;
}

void Keeper::say(Kept& k, const std::string& why) {
  if (k.why == why) return;
  k.why = why;
  SPDLOG_INFO("model {}: {}", k.terms.name, why);
}

const std::string& Keeper::why(const std::string& model) const {
  static const std::string nothing;
  auto it = std::find_if(kept_.begin(), kept_.end(), [&](const Kept& k) { return k.terms.name == model; });
  return it == kept_.end() ? nothing : it->why;
}

bool Keeper::put(Kept& k, AgreedRecord next, const std::string& state, std::uint32_t replicas, Clock clock,
                 Effects& out, const std::string& why) {
  // Whose replicas these are stands in the record: another standing job's epoch begins from cold.
  next.state = state;
  next.counts[replicas_count] = replicas;
  next.why = why;
  PartIndex by = model_.job(k.standing).spec.part;
  return desk_.change(decision_kind(), k.terms.name, std::move(next), by, clock, out, true) ==
         accord::Asked::sent;
}

void Keeper::tend(Kept& k, Clock clock, Effects& out) {
  find_standing(k);
  if (!k.standing.valid()) return say(k, "no standing job serves it; calls wait");
  const Job& j = model_.job(k.standing);
  PartIndex part = j.spec.part;
  if (!scheduler_.owns(part)) {
    k.claim = 0;
    return;
  }
  if (k.claim != model_.claim(part).stamp) {
    // A new owner goes on from the record. What it cannot know is taken to be so that nothing is undone or
    // begun twice: stops may have been sent, and the last call was a moment ago.
    k.claim = model_.claim(part).stamp;
    k.busy_at = clock.now;
    k.cooling_since = -1;
    k.fewer_since = -1;
    k.stopping = true;
  }
  std::uint32_t calls = count_calls(k, clock);
  if (calls > 0 || k.terms.least > 0) k.busy_at = clock.now;
  if (desk_.open(decision_kind(), k.terms.name)) return;
  const Agreed* a = desk_.find(decision_kind(), k.terms.name);
  AgreedRecord next = a == nullptr ? AgreedRecord() : a->rec;
  std::uint32_t most = std::min(std::max(k.terms.most, k.terms.least), j.spec.tasks);
  std::uint32_t wanted = std::min(replicas_for(calls, k.terms), most);
  bool wants = calls > 0 || k.terms.least > 0;
  if (a == nullptr) {
    next.notes[job_note] = j.spec.ref;
    put(k, std::move(next), cold, 0, clock, out, "known");
    return;
  }
  bool of_this_job = next.notes[job_note] == j.spec.ref;
  std::string state = next.state;
  if (!of_this_job && state != cold) {
    // Its standing job is over. Its replicas are stopped as any cancelled job's; the round ends with them.
    JobIndex before = model_.find_job(next.notes[job_note]);
    const Job* old = before.valid() ? model_.known_job(before) : nullptr;
    bool gone = old == nullptr || old->placed.empty();
    if (state != cooling) {
      put(k, std::move(next), cooling, 0, clock, out, "its standing job is over");
    } else if (gone) {
      put(k, std::move(next), cold, 0, clock, out, "all replicas of its former standing job are gone");
    }
    return;
  }
  if (state == cold) {
    if (!wants) return say(k, "cold");
    ++next.epoch;
    next.notes[job_note] = j.spec.ref;
    put(k, std::move(next), warming, 1, clock, out,
        calls > 0 ? std::to_string(calls) + " calls wait" : "at least " + std::to_string(k.terms.least));
  } else if (state == warming) {
    bool running = std::any_of(j.placed.begin(), j.placed.end(), [](const auto& p) {
      return p.second.state == PlacementState::seen && p.second.phase == TaskPhase::running;
    });
    if (running) {
      note_start(next, clock.wall - next.at);
      put(k, std::move(next), serving, std::max(1U, wanted), clock, out, "a replica runs");
      return;
    }
    say(k, "warms up: calls wait for its first replica");
    // Nobody wants it any more, and nothing has been fetched for: a cold start is not an end in itself.
    if (!wants && clock.now - k.busy_at > idle_after(starts_of(next), k.terms))
      put(k, std::move(next), cooling, 0, clock, out, "its calls have gone");
  } else if (state == serving) {
    auto now = static_cast<std::uint32_t>(next.counts[replicas_count]);
    double idle = idle_after(starts_of(next), k.terms);
    say(k, "serves");
    if (!wants && clock.now - k.busy_at > idle) {
      k.cooling_since = -1;
      k.stopping = false;
      put(k, std::move(next), cooling, 0, clock, out,
          "idle for " + std::to_string(static_cast<int>(idle)) + " s");
      return;
    }
    wanted = std::max(1U, wanted);
    if (wanted >= now) k.fewer_since = -1;
    if (wanted < now && k.fewer_since < 0) k.fewer_since = clock.now;
    bool fewer = wanted < now && clock.now - k.fewer_since > idle;
    if (wanted > now || fewer) {
      k.fewer_since = -1;
      put(k, std::move(next), serving, wanted, clock, out, std::to_string(calls) + " calls");
    }
  } else if (state == cooling) {
    if (k.cooling_since < 0) k.cooling_since = clock.now;
    bool stops_sent = k.stopping || std::any_of(j.placed.begin(), j.placed.end(), [](const auto& p) {
                        return p.second.state >= PlacementState::stopping;
                      });
    if (calls > 0 && !stops_sent && !j.placed.empty()) {
      // Taken back while no stop was sent: the replicas run on in the same epoch.
      put(k, std::move(next), serving, std::max(1U, wanted), clock, out, "a call came while it cooled");
      return;
    }
    if (clock.now - k.cooling_since > take_back_s) k.stopping = true;
    say(k, "cools down");
    if (j.placed.empty()) put(k, std::move(next), cold, 0, clock, out, "all its replicas are gone");
  }
}

void Keeper::pass(Clock clock, Effects& out) {
  if (clock.now < next_) return;
  next_ = clock.now + pass_every_s;
  for (Kept& k : kept_) tend(k, clock, out);
  for (auto it = tries_.begin(); it != tries_.end();) {
    it = model_.live_job(it->first) == nullptr ? tries_.erase(it) : std::next(it);
  }
}

void Keeper::advise(JobIndex ji, Advice& advice) const {
  const JobSpec& spec = model_.job(ji).spec;
  for (const Kept& k : kept_) {
    bool replica = is_standing(k, spec), call = is_call(k, spec);
    if (!replica && !call) continue;
    const Agreed* a = desk_.find(decision_kind(), k.terms.name);
    std::uint32_t most = 0;
    if (a != nullptr) {
      const AgreedRecord& r = a->rec;
      auto job = r.notes.find(job_note);
      auto n = r.counts.find(replicas_count);
      bool ours = job != r.notes.end() && job->second == spec.ref && n != r.counts.end();
      if (replica && ours && (r.state == warming || r.state == serving)) {
        most = r.state == warming ? 1 : static_cast<std::uint32_t>(n->second);
      } else if (call && r.state == serving) {
        most = Advice::any;
      }
    }
    if (advice.most > most) advice.most = most;
    // While a change of the record is under way nothing new is placed by what it may replace; the guard says
    // the same to a late copy of a placement. Calls need none: the replicas they wait for only ever grow or
    // go, and a call that starts as they go is served by the next epoch's.
    if (replica && a != nullptr && most > 0)
      advice.guards.push_back({AgreedKey{decision_kind().key(k.terms.name)}, a->stamp});
  }
}

std::vector<TaskId> Keeper::unwanted(PartIndex part) const {
  std::vector<TaskId> out;
  for (const Kept& k : kept_) {
    if (!k.standing.valid() || model_.job(k.standing).spec.part != part) continue;
    const Agreed* a = desk_.find(decision_kind(), k.terms.name);
    // A change under way may take the cooling back: no stop goes out beside it.
    if (a == nullptr || desk_.open(decision_kind(), k.terms.name)) continue;
    const Job& j = model_.job(k.standing);
    auto keep = static_cast<std::uint32_t>(j.placed.size());
    if (a->rec.state == cooling && k.stopping) keep = 0;
    auto n = a->rec.counts.find(replicas_count);
    if (a->rec.state == serving && n != a->rec.counts.end())
      keep = std::min(keep, static_cast<std::uint32_t>(n->second));
    // The latest tasks go first: the first replica is the one that has served longest.
    std::size_t left = j.placed.size();
    for (auto it = j.placed.rbegin(); it != j.placed.rend() && left > keep; ++it, --left)
      out.push_back({k.standing, it->first});
  }
  return out;
}

}  // namespace oxbowmill::models
