#include "oxbowmill/release/planner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <sstream>

namespace oxbowmill::release {

namespace {

constexpr double pass_every_s = 0.25;
constexpr double ask_again_s = 5;    // a job that nobody knows yet
constexpr double later_half_s = 60;  // how much sooner the later half of a pair goes in its rank
const std::string stands = "stands", removed = "removed";
const std::string terms_note = "terms", held_note = "held";

std::string bound_note(const std::string& edition, std::size_t matcher, bool publish) {
  return edition + "/" + (publish ? "p" : std::to_string(matcher));
}

std::set<std::string> words(const std::string& text) {
  std::istringstream in(text);
  return {std::istream_iterator<std::string>(in), std::istream_iterator<std::string>()};
}

std::string joined(const std::set<std::string>& words) {
  std::string out;
  for (const std::string& w : words) out += (out.empty() ? "" : " ") + w;
  return out;
}

}  // namespace

const accord::Kind& decision_kind() {
  // A decision that stands is carried out whatever comes after it: an edition of it may have been published
  // already, and the other would be stale for good.
  static const accord::Kind kind = {"release",
                                    {{"", rendering},
                                     {rendering, rendering},
                                     {rendering, decided},
                                     {rendering, broken},
                                     {rendering, lifted},
                                     {broken, rendering},
                                     {broken, lifted},
                                     {decided, decided},
                                     {decided, published},
                                     {published, rendering},
                                     {published, lifted},
                                     {lifted, rendering}}};
  return kind;
}

const accord::Kind& terms_kind() {
  static const accord::Kind kind = {
      "calendar", {{"", stands}, {stands, stands}, {stands, removed}, {removed, stands}, {removed, removed}}};
  return kind;
}

Planner::Planner(Model& model, accord::Desk& desk, const Scheduler& scheduler, double skew_s)
    : model_(model), desk_(desk), scheduler_(scheduler), careful_(skew_s) {}

bool Planner::load(Calendar calendar) {
  if (calendar.version < calendar_.version) return false;
  calendar_ = std::move(calendar);
  return true;
}

void Planner::read_records() {
  for (const auto* kind : {&terms_kind(), &decision_kind()}) {
    std::string prefix = kind->key("");
    for (auto it = model_.agreed.lower_bound(prefix);
         it != model_.agreed.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
      Plan& plan = plans_[it->first.substr(prefix.size())];
      const AgreedRecord& rec = it->second.rec;
      auto note = [&rec](const std::string& key) {
        auto n = rec.notes.find(key);
        return n == rec.notes.end() ? std::string() : n->second;
      };
      if (kind == &terms_kind()) {
        if (plan.terms_stamp == it->second.stamp) continue;
        plan.terms_stamp = it->second.stamp;
        plan.wanted = rec.state == stands ? from_text(note(terms_note)) : std::nullopt;
        // Of a version that this one cannot read: whoever wrote it decides, and nothing of it is let go here.
        plan.readable = rec.state == removed || plan.wanted;
        continue;
      }
      if (plan.stamp == it->second.stamp) continue;
      plan.stamp = it->second.stamp;
      plan.state = rec.state;
      plan.terms = from_text(note(terms_note));
      plan.held = words(note(held_note));
      plan.bound.clear();
      for (const auto& [key, text] : rec.notes) {
        if (key != terms_note && key != held_note) plan.bound[key] = words(text);
      }
    }
  }
}

void Planner::write_terms(Clock clock, Effects& out) {
  if (calendar_.empty()) return;
  std::set<std::string> named;
  for (const Terms& t : calendar_.releases) {
    named.insert(t.name);
    const Agreed* a = desk_.find(terms_kind(), t.name);
    if (a != nullptr && a->rec.version >= calendar_.version) continue;
    AgreedRecord next = a == nullptr ? AgreedRecord() : a->rec;
    next.state = stands;
    next.version = calendar_.version;
    next.notes = {{terms_note, to_text(t)}};
    next.why = "by the file of version " + std::to_string(calendar_.version);
    desk_.change(terms_kind(), t.name, std::move(next), PartIndex{}, clock, out, true);
  }
  // What a newer file does not name any more was taken out.
  for (const auto& [name, plan] : plans_) {
    const Agreed* a = desk_.find(terms_kind(), name);
    if (named.count(name) != 0 || a == nullptr || a->rec.version >= calendar_.version) continue;
    AgreedRecord next = a->rec;
    next.state = removed;
    next.version = calendar_.version;
    next.notes.clear();
    next.why = "not in the file of version " + std::to_string(calendar_.version);
    desk_.change(terms_kind(), name, std::move(next), PartIndex{}, clock, out, true);
  }
}

void Planner::pass(Clock clock, Effects& out) {
  now_ = clock.now;
  double earliest = careful_.earliest(clock);
  if (clock.now < next_) return;
  next_ = clock.now + pass_every_s;
  read_records();
  write_terms(clock, out);
  if (!scheduler_.leads()) return;
  for (auto& [name, plan] : plans_) {
    if (plan.readable && !desk_.open(decision_kind(), name)) tend(name, plan, clock, earliest, out);
  }
}

AgreedRecord Planner::next_of(const std::string& name) const {
  const Agreed* a = desk_.find(decision_kind(), name);
  return a == nullptr ? AgreedRecord() : a->rec;
}

bool Planner::put(const std::string& name, AgreedRecord next, Clock clock, Effects& out, bool urgent) {
  return desk_.change(decision_kind(), name, std::move(next), pool_part, clock, out, urgent) ==
         accord::Asked::sent;
}

void Planner::say(Plan& plan, const std::string& name, const std::string& why) {
  if (plan.why == why) return;
  plan.why = why;
  SPDLOG_INFO("release {}: {}", name, why);
}

const std::string& Planner::waits_for(const std::string& release) const {
  static const std::string nothing;
  auto it = plans_.find(release);
  return it == plans_.end() ? nothing : it->second.why;
}

void Planner::tend(const std::string& name, Plan& plan, Clock clock, double earliest, Effects& out) {
  AgreedRecord next = next_of(name);
  next.why.clear();
  bool under_way = plan.state == rendering || plan.state == broken;
  if (!plan.wanted) {
    // Taken out. What was decided is finished first; what was not is free.
    if (under_way || plan.state == published) {
      next.state = lifted;
      next.why = "taken out by the operators";
      put(name, std::move(next), clock, out, true);
      return;
    }
    if (plan.state != decided) return;
  } else if (plan.state != decided) {
    bool fresh = plan.state.empty() || !plan.terms || plan.terms->revision != plan.wanted->revision ||
                 plan.state == lifted;
    bool changed = !fresh && to_text(*plan.terms) != to_text(*plan.wanted);
    if (fresh || (changed && plan.state != published)) {
      next.state = rendering;
      std::set<std::string> held = plan.held;
      if (fresh) {
        // The publishing jobs of a revision that was given up must not go out alone later. (What a removed
        // release held is free, and so stays free.)
        if (under_way && plan.terms) {
          for (std::size_t i = 0; i < plan.terms->editions.size(); ++i) {
            const Edition& e = plan.terms->editions[i];
            if (!e.publish.ref.empty()) held.insert(e.publish.ref);
            auto b = plan.bound.find(bound_note(e.name, 0, true));
            if (b != plan.bound.end()) held.insert(b->second.begin(), b->second.end());
          }
        }
        ++next.epoch;
        next.notes.clear();
      }
      // One that the new terms name is theirs.
      for (const Edition& e : plan.wanted->editions) held.erase(e.publish.ref);
      if (!held.empty()) next.notes[held_note] = joined(held);
      next.notes[terms_note] = to_text(*plan.wanted);
      next.why = "revision " + plan.wanted->revision;
      put(name, std::move(next), clock, out, true);
      return;
    }
  }
  if (!plan.terms || plan.state == lifted) return;
  if (plan.state != published && bind(name, plan, clock, out)) return;
  if (under_way) {
    auto lacks = missing(plan, false);
    if (lacks) {
      say(plan, name, "waits for " + lacks->what);
      if (lacks->cancelled != (plan.state == broken)) {
        next.state = lacks->cancelled ? broken : rendering;
        next.why = lacks->what;
        put(name, std::move(next), clock, out, false);
      }
      return;
    }
    if (plan.terms->when && !is_open(*plan.terms->when, next.at, earliest))
      return say(plan, name, "has rendered and waits for its time");
    if (plan.state == broken) {
      next.state = rendering;
      put(name, std::move(next), clock, out, true);
      return;
    }
    next.state = decided;
    next.why = "all editions of revision " + plan.terms->revision + " have rendered";
    say(plan, name, next.why);
    put(name, std::move(next), clock, out, true);
  } else if (plan.state == decided) {
    auto lacks = missing(plan, true);
    if (lacks) say(plan, name, "publishes, waits for " + lacks->what);
    // A user's cancellation of a publishing job is final: the others are not held for it.
    if (lacks && !lacks->cancelled) return;
    next.state = published;
    if (lacks) next.why = lacks->what;
    put(name, std::move(next), clock, out, false);
  }
}

std::vector<std::string> Planner::jobs_of(const Plan& plan, std::size_t edition, std::size_t matcher) const {
  const Edition& e = plan.terms->editions[edition];
  bool publish = matcher >= e.renders.size();
  const Matcher& m = publish ? e.publish : e.renders[matcher];
  if (!m.ref.empty()) return {m.ref};
  auto b = plan.bound.find(bound_note(e.name, matcher, publish));
  if (b == plan.bound.end()) return {};
  return {b->second.begin(), b->second.end()};
}

bool Planner::matches(const Matcher& m, const JobSpec& spec) const {
  if (!m.ref.empty()) return m.ref == spec.ref;
  return spec.job_class.valid() && spec.image.valid() &&
         model_.names.classes.name(spec.job_class) == m.job_class &&
         model_.names.images.name(spec.image) == m.image;
}

bool Planner::publishes(const Terms& t, const JobSpec& spec) const {
  return std::any_of(t.editions.begin(), t.editions.end(),
                     [&](const Edition& e) { return matches(e.publish, spec); });
}

std::optional<JobPhase> Planner::phase_of(const std::string& ref) {
  auto known = finals_.find(ref);
  if (known != finals_.end()) return known->second;
  const Job* j = model_.live_job(model_.find_job(ref));
  if (j != nullptr) {
    asked_.erase(ref);
    if (j->phase != JobPhase::open) finals_[ref] = j->phase;
    return j->phase;
  }
  // Not live: it is over, or has not been submitted yet. The state service knows which.
  auto [q, fresh] = asked_.try_emplace(ref);
  if (!q->second.out && (fresh || now_ - q->second.at >= ask_again_s) && ask) {
    q->second = {now_, true};
    ask(ref);
  }
  return std::nullopt;
}

void Planner::on_final(const std::string& ref, std::optional<JobPhase> phase, Seconds now) {
  if (phase) finals_[ref] = *phase;
  auto q = asked_.find(ref);
  if (q == asked_.end()) return;
  q->second = {now, false};
  if (phase) asked_.erase(q);
}

bool Planner::bind(const std::string& name, const Plan& plan, Clock clock, Effects& out) {
  std::map<std::string, std::set<std::string>> more = plan.bound;
  bool news = false;
  for (std::size_t i = 0; i < plan.terms->editions.size(); ++i) {
    const Edition& e = plan.terms->editions[i];
    for (std::size_t k = 0; k <= e.renders.size(); ++k) {
      const Matcher& m = k < e.renders.size() ? e.renders[k] : e.publish;
      if (!m.ref.empty()) continue;
      auto& jobs = more[bound_note(e.name, k, k == e.renders.size())];
      for (std::uint32_t p = 1; p < model_.parts(); ++p) {
        for (JobIndex ji : model_.live_jobs(PartIndex{p})) {
          const Job& j = model_.job(ji);
          if (j.phase != JobPhase::open || !matches(m, j.spec) || jobs.count(j.spec.ref) != 0) continue;
          if (plan.held.count(j.spec.ref) != 0) continue;
          // One that was cancelled gives its place to the one that came for it.
          auto void_one = std::find_if(jobs.begin(), jobs.end(), [this](const std::string& ref) {
            return phase_of(ref) == JobPhase::cancelled;
          });
          if (jobs.size() >= m.count && void_one == jobs.end()) continue;
          if (void_one != jobs.end()) jobs.erase(void_one);
          jobs.insert(j.spec.ref);
          news = true;
        }
      }
    }
  }
  if (!news) return false;
  AgreedRecord next = next_of(name);
  for (const auto& [note, jobs] : more) {
    if (!jobs.empty()) next.notes[note] = joined(jobs);
  }
  next.why = "jobs written down";
  if (plan.state == broken) next.state = rendering;
  // A decided release whose publishing job comes later is written down under the same state.
  return put(name, std::move(next), clock, out, true);
}

std::optional<Planner::Missing> Planner::missing(const Plan& plan, bool publishing) {
  std::optional<Missing> first;
  for (std::size_t i = 0; i < plan.terms->editions.size(); ++i) {
    const Edition& e = plan.terms->editions[i];
    for (std::size_t k = publishing ? e.renders.size() : 0; k < e.renders.size() + (publishing ? 1 : 0);
         ++k) {
      const Matcher& m = k < e.renders.size() ? e.renders[k] : e.publish;
      auto jobs = jobs_of(plan, i, k);
      for (const std::string& ref : jobs) {
        auto phase = phase_of(ref);
        if (phase == JobPhase::done) continue;
        Missing x{ref + " of edition " + e.name, phase == JobPhase::cancelled};
        if (x.cancelled) x.what += ", which was cancelled";
        if (!first || (x.cancelled && !first->cancelled)) first = std::move(x);
      }
      if (jobs.size() < m.count && !first) {
        first = Missing{
            std::to_string(m.count - jobs.size()) + " more " + m.job_class + " of edition " + e.name, false};
      }
    }
  }
  return first;
}

void Planner::advise(JobIndex ji, Advice& advice) const {
  const Job& j = model_.job(ji);
  auto hold = [&advice] { advice.most = 0; };
  // A newer file that is not in the shared state yet holds as well, or a job of it could slip through in the
  // moment before it is.
  for (const Terms& t : calendar_.releases) {
    const Agreed* a = desk_.find(terms_kind(), t.name);
    if ((a == nullptr || a->rec.version < calendar_.version) && publishes(t, j.spec)) hold();
  }
  std::string prefix = terms_kind().key("");
  for (auto it = model_.agreed.lower_bound(prefix);
       it != model_.agreed.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
    std::string name = it->first.substr(prefix.size());
    auto known = plans_.find(name);
    const Agreed* decision = desk_.find(decision_kind(), name);
    bool current = known != plans_.end() && known->second.terms_stamp == it->second.stamp &&
                   known->second.stamp == (decision == nullptr ? 0 : decision->stamp);
    if (!current) {
      // The record has changed since the last pass: what it now says of this job is not known yet.
      hold();
      continue;
    }
    const Plan& plan = known->second;
    // Given up with its revision; free once the operators take the release out.
    if (plan.held.count(j.spec.ref) != 0 && plan.state != lifted) hold();
    bool of_terms = plan.terms && publishes(*plan.terms, j.spec);
    bool of_wanted = plan.wanted && publishes(*plan.wanted, j.spec);
    bool next_round = plan.wanted && (!plan.terms || plan.wanted->revision != plan.terms->revision);
    if (!plan.readable) hold();
    if (next_round) {
      // Publishing jobs of a revision whose turn has yet to come; and what it renders, where that has to be
      // written down first.
      if (of_wanted) hold();
      for (const Edition& e : plan.wanted->editions) {
        for (const Matcher& m : e.renders) {
          if (m.ref.empty() && matches(m, j.spec)) hold();
        }
      }
    }
    if (plan.state.empty()) continue;
    if (of_terms && plan.state != lifted) {
      bool known_job = true;
      for (const Edition& e : plan.terms->editions) {
        if (!matches(e.publish, j.spec) || !e.publish.ref.empty()) continue;
        auto b = plan.bound.find(bound_note(e.name, e.renders.size(), true));
        known_job = b != plan.bound.end() && b->second.count(j.spec.ref) != 0;
      }
      bool may = plan.state == decided || plan.state == published;
      if (!may || (!known_job && plan.state == decided)) {
        hold();
      } else if (plan.state == decided) {
        advice.guards.push_back({AgreedKey{decision_kind().key(name)}, plan.stamp});
      }
      continue;
    }
    if (!plan.terms || plan.state == lifted) continue;
    for (std::size_t i = 0; i < plan.terms->editions.size(); ++i) {
      const Edition& e = plan.terms->editions[i];
      for (std::size_t k = 0; k < e.renders.size(); ++k) {
        if (!matches(e.renders[k], j.spec)) continue;
        bool seen = e.renders[k].ref == j.spec.ref;
        auto b = plan.bound.find(bound_note(e.name, k, false));
        seen = seen || (b != plan.bound.end() && b->second.count(j.spec.ref) != 0);
        // Not before it is written down, while there is a place for it; one too many is nobody's business.
        bool full = b != plan.bound.end() && b->second.size() >= e.renders[k].count;
        if (!seen && !full && plan.state != published) hold();
        if (!seen || plan.state != rendering) continue;
        // A pair is as late as its later half.
        bool twin_ahead = false;
        for (std::size_t o = 0; o < plan.terms->editions.size() && !twin_ahead; ++o) {
          if (o == i) continue;
          twin_ahead = true;
          for (std::size_t r = 0; r < plan.terms->editions[o].renders.size(); ++r) {
            for (const std::string& ref : jobs_of(plan, o, r)) {
              auto f = finals_.find(ref);
              twin_ahead = twin_ahead && f != finals_.end() && f->second == JobPhase::done;
            }
          }
        }
        if (twin_ahead) advice.pull_s = std::max(advice.pull_s, later_half_s);
      }
    }
  }
}

}  // namespace oxbowmill::release
