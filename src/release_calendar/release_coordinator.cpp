#include "oxbowmill/release_calendar/release_coordinator.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <sstream>

namespace oxbowmill::release_calendar {

namespace {

constexpr double cycle_interval_s = 0.25;
constexpr double query_retry_s = 5;  // a job that nobody knows yet
constexpr double later_half_s = 60;  // how much sooner the later half of a pair goes in its rank
const std::string active = "stands", removed = "removed";
const std::string spec_field = "terms", withheld_field = "held";

std::string bound_jobs_field(const std::string& edition, std::size_t matcher, bool publish) {
  return edition + "/" + (publish ? "p" : std::to_string(matcher));
}

std::set<std::string> split_words(const std::string& text) {
  std::istringstream in(text);
  return {std::istream_iterator<std::string>(in), std::istream_iterator<std::string>()};
}

std::string join_words(const std::set<std::string>& words) {
  std::string out;
  for (const std::string& w : words) out += (out.empty() ? "" : " ") + w;
  return out;
}

}  // namespace

const decisions::DecisionKind& decision_kind() {
  // A decision that stands is carried out whatever comes after it: an edition of it may have been published
  // already, and the other would be stale for good.
  static const decisions::DecisionKind kind = {"release",
                                               {{"", rendering},
                                                {rendering, rendering},
                                                {rendering, decided},
                                                {rendering, broken},
                                                {rendering, withdrawn},
                                                {broken, rendering},
                                                {broken, withdrawn},
                                                {decided, decided},
                                                {decided, published},
                                                {published, rendering},
                                                {published, withdrawn},
                                                {withdrawn, rendering}}};
  return kind;
}

const decisions::DecisionKind& spec_kind() {
  static const decisions::DecisionKind kind = {
      "calendar", {{"", active}, {active, active}, {active, removed}, {removed, active}, {removed, removed}}};
  return kind;
}

ReleaseCoordinator::ReleaseCoordinator(ClusterState& model, decisions::DecisionLog& decision_log,
                                       const Scheduler& scheduler, double skew_s)
    : state_(model), decision_log_(decision_log), scheduler_(scheduler), lower_bound_clock_(skew_s) {}

bool ReleaseCoordinator::load(ReleaseCalendar calendar) {
  if (calendar.version < calendar_.version) return false;
  calendar_ = std::move(calendar);
  return true;
}

void ReleaseCoordinator::read_records() {
  for (const auto* kind : {&spec_kind(), &decision_kind()}) {
    std::string prefix = kind->key("");
    for (auto it = state_.decisions.lower_bound(prefix);
         it != state_.decisions.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
      ReleaseState& plan = releases_[it->first.substr(prefix.size())];
      const DecisionRecord& record = it->second.record;
      auto note = [&record](const std::string& key) {
        auto n = record.notes.find(key);
        return n == record.notes.end() ? std::string() : n->second;
      };
      if (kind == &spec_kind()) {
        if (plan.spec_revision == it->second.revision) continue;
        plan.spec_revision = it->second.revision;
        plan.desired_spec = record.state == active ? from_text(note(spec_field)) : std::nullopt;
        // Of a version that this one cannot read: whoever wrote it decides, and nothing of it is let go here.
        plan.is_readable = record.state == removed || plan.desired_spec;
        continue;
      }
      if (plan.decision_revision == it->second.revision) continue;
      plan.decision_revision = it->second.revision;
      plan.state = record.state;
      plan.active_spec = from_text(note(spec_field));
      plan.withheld_jobs = split_words(note(withheld_field));
      plan.bound_jobs.clear();
      for (const auto& [key, text] : record.notes) {
        if (key != spec_field && key != withheld_field) plan.bound_jobs[key] = split_words(text);
      }
    }
  }
}

void ReleaseCoordinator::write_specs(Clock clock, Effects& out) {
  if (calendar_.empty()) return;
  std::set<std::string> named;
  for (const ReleaseSpec& release_spec : calendar_.releases) {
    named.insert(release_spec.name);
    const Decision* a = decision_log_.find(spec_kind(), release_spec.name);
    if (a != nullptr && a->record.version >= calendar_.version) continue;
    DecisionRecord next = a == nullptr ? DecisionRecord() : a->record;
    next.state = active;
    next.version = calendar_.version;
    next.notes = {{spec_field, to_text(release_spec)}};
    next.reason = "by the file of version " + std::to_string(calendar_.version);
    decision_log_.change(spec_kind(), release_spec.name, std::move(next), PartitionIndex{}, clock, out, true);
  }
  // What a newer file does not name any more was taken out.
  for (const auto& [name, plan] : releases_) {
    const Decision* a = decision_log_.find(spec_kind(), name);
    if (named.count(name) != 0 || a == nullptr || a->record.version >= calendar_.version) continue;
    DecisionRecord next = a->record;
    next.state = removed;
    next.version = calendar_.version;
    next.notes.clear();
    next.reason = "not in the file of version " + std::to_string(calendar_.version);
    decision_log_.change(spec_kind(), name, std::move(next), PartitionIndex{}, clock, out, true);
  }
}

void ReleaseCoordinator::run_cycle(Clock clock, Effects& out) {
  now_ = clock.now;
  double earliest = lower_bound_clock_.earliest_time(clock);
  if (clock.now < next_cycle_at_) return;
  next_cycle_at_ = clock.now + cycle_interval_s;
  read_records();
  write_specs(clock, out);
  if (!scheduler_.is_leader()) return;
  for (auto& [name, plan] : releases_) {
    if (plan.is_readable && !decision_log_.has_pending_change(decision_kind(), name))
      reconcile(name, plan, clock, earliest, out);
  }
}

DecisionRecord ReleaseCoordinator::next_record(const std::string& name) const {
  const Decision* a = decision_log_.find(decision_kind(), name);
  return a == nullptr ? DecisionRecord() : a->record;
}

bool ReleaseCoordinator::write_decision(const std::string& name, DecisionRecord next, Clock clock,
                                        Effects& out, bool urgent) {
  return decision_log_.change(decision_kind(), name, std::move(next), idle_pool, clock, out, urgent) ==
         decisions::ChangeResult::sent;
}

void ReleaseCoordinator::set_reason(ReleaseState& plan, const std::string& name, const std::string& why) {
  if (plan.pending_reason == why) return;
  plan.pending_reason = why;
  SPDLOG_INFO("release {}: {}", name, why);
}

const std::string& ReleaseCoordinator::pending_reason(const std::string& release) const {
  static const std::string nothing;
  auto it = releases_.find(release);
  return it == releases_.end() ? nothing : it->second.pending_reason;
}

void ReleaseCoordinator::reconcile(const std::string& name, ReleaseState& plan, Clock clock, double earliest,
                                   Effects& out) {
  DecisionRecord next = next_record(name);
  next.reason.clear();
  bool under_way = plan.state == rendering || plan.state == broken;
  if (!plan.desired_spec) {
    // Taken out. What was decided is finished first; what was not is free.
    if (under_way || plan.state == published) {
      next.state = withdrawn;
      next.reason = "taken out by the operators";
      write_decision(name, std::move(next), clock, out, true);
      return;
    }
    if (plan.state != decided) return;
  } else if (plan.state != decided) {
    bool fresh = plan.state.empty() || !plan.active_spec ||
                 plan.active_spec->revision != plan.desired_spec->revision || plan.state == withdrawn;
    bool changed = !fresh && to_text(*plan.active_spec) != to_text(*plan.desired_spec);
    if (fresh || (changed && plan.state != published)) {
      next.state = rendering;
      std::set<std::string> withheld = plan.withheld_jobs;
      if (fresh) {
        // The publishing jobs of a revision that was given up must not go out alone later. (What a removed
        // release held is free, and so stays free.)
        if (under_way && plan.active_spec) {
          for (std::size_t i = 0; i < plan.active_spec->editions.size(); ++i) {
            const Edition& e = plan.active_spec->editions[i];
            if (!e.publish_job.ref.empty()) withheld.insert(e.publish_job.ref);
            auto b = plan.bound_jobs.find(bound_jobs_field(e.name, 0, true));
            if (b != plan.bound_jobs.end()) withheld.insert(b->second.begin(), b->second.end());
          }
        }
        ++next.epoch;
        next.notes.clear();
      }
      // One that the new terms name is theirs.
      for (const Edition& e : plan.desired_spec->editions) withheld.erase(e.publish_job.ref);
      if (!withheld.empty()) next.notes[withheld_field] = join_words(withheld);
      next.notes[spec_field] = to_text(*plan.desired_spec);
      next.reason = "revision " + plan.desired_spec->revision;
      write_decision(name, std::move(next), clock, out, true);
      return;
    }
  }
  if (!plan.active_spec || plan.state == withdrawn) return;
  if (plan.state != published && bind_jobs(name, plan, clock, out)) return;
  if (under_way) {
    auto lacks = find_missing_requirement(plan, false);
    if (lacks) {
      set_reason(plan, name, "waits for " + lacks->description);
      if (lacks->cancelled != (plan.state == broken)) {
        next.state = lacks->cancelled ? broken : rendering;
        next.reason = lacks->description;
        write_decision(name, std::move(next), clock, out, false);
      }
      return;
    }
    if (plan.active_spec->publish_time &&
        !is_open(*plan.active_spec->publish_time, next.changed_at, earliest))
      return set_reason(plan, name, "has rendered and waits for its time");
    if (plan.state == broken) {
      next.state = rendering;
      write_decision(name, std::move(next), clock, out, true);
      return;
    }
    next.state = decided;
    next.reason = "all editions of revision " + plan.active_spec->revision + " have rendered";
    set_reason(plan, name, next.reason);
    write_decision(name, std::move(next), clock, out, true);
  } else if (plan.state == decided) {
    auto lacks = find_missing_requirement(plan, true);
    if (lacks) set_reason(plan, name, "publishes, waits for " + lacks->description);
    // A user's cancellation of a publishing job is final: the others are not held for it.
    if (lacks && !lacks->cancelled) return;
    next.state = published;
    if (lacks) next.reason = lacks->description;
    write_decision(name, std::move(next), clock, out, false);
  }
}

std::vector<std::string> ReleaseCoordinator::jobs_of(const ReleaseState& plan, std::size_t edition,
                                                     std::size_t matcher) const {
  const Edition& e = plan.active_spec->editions[edition];
  bool publish = matcher >= e.render_jobs.size();
  const JobMatcher& m = publish ? e.publish_job : e.render_jobs[matcher];
  if (!m.ref.empty()) return {m.ref};
  auto b = plan.bound_jobs.find(bound_jobs_field(e.name, matcher, publish));
  if (b == plan.bound_jobs.end()) return {};
  return {b->second.begin(), b->second.end()};
}

bool ReleaseCoordinator::matches(const JobMatcher& matcher, const JobSpec& spec) const {
  if (!matcher.ref.empty()) return matcher.ref == spec.ref;
  return spec.job_class.valid() && spec.image.valid() &&
         state_.names.classes.name(spec.job_class) == matcher.job_class &&
         state_.names.images.name(spec.image) == matcher.image;
}

bool ReleaseCoordinator::is_publishing_job(const ReleaseSpec& release_spec, const JobSpec& spec) const {
  return std::any_of(release_spec.editions.begin(), release_spec.editions.end(),
                     [&](const Edition& edition) { return matches(edition.publish_job, spec); });
}

std::optional<JobPhase> ReleaseCoordinator::final_phase_of(const std::string& ref) {
  auto known = final_phases_.find(ref);
  if (known != final_phases_.end()) return known->second;
  const Job* job = state_.live_job(state_.find_job(ref));
  if (job != nullptr) {
    phase_queries_.erase(ref);
    if (job->phase != JobPhase::open) final_phases_[ref] = job->phase;
    return job->phase;
  }
  // Not live: it is over, or has not been submitted yet. The state service knows which.
  auto [q, fresh] = phase_queries_.try_emplace(ref);
  if (!q->second.in_flight && (fresh || now_ - q->second.sent_at >= query_retry_s) && query_final_phase) {
    q->second = {now_, true};
    query_final_phase(ref);
  }
  return std::nullopt;
}

void ReleaseCoordinator::on_final_phase(const std::string& ref, std::optional<JobPhase> phase, Seconds now) {
  if (phase) final_phases_[ref] = *phase;
  auto q = phase_queries_.find(ref);
  if (q == phase_queries_.end()) return;
  q->second = {now, false};
  if (phase) phase_queries_.erase(q);
}

bool ReleaseCoordinator::bind_jobs(const std::string& name, const ReleaseState& plan, Clock clock,
                                   Effects& out) {
  std::map<std::string, std::set<std::string>> more = plan.bound_jobs;
  bool has_update = false;
  for (std::size_t i = 0; i < plan.active_spec->editions.size(); ++i) {
    const Edition& edition = plan.active_spec->editions[i];
    for (std::size_t k = 0; k <= edition.render_jobs.size(); ++k) {
      const JobMatcher& matcher =
          k < edition.render_jobs.size() ? edition.render_jobs[k] : edition.publish_job;
      if (!matcher.ref.empty()) continue;
      auto& jobs = more[bound_jobs_field(edition.name, k, k == edition.render_jobs.size())];
      for (std::uint32_t p = 1; p < state_.partition_count(); ++p) {
        for (JobIndex ji : state_.live_jobs(PartitionIndex{p})) {
          const Job& job = state_.job(ji);
          if (job.phase != JobPhase::open || !matches(matcher, job.spec) || jobs.count(job.spec.ref) != 0)
            continue;
          if (plan.withheld_jobs.count(job.spec.ref) != 0) continue;
          // One that was cancelled gives its place to the one that came for it.
          auto void_one = std::find_if(jobs.begin(), jobs.end(), [this](const std::string& ref) {
            return final_phase_of(ref) == JobPhase::cancelled;
          });
          if (jobs.size() >= matcher.count && void_one == jobs.end()) continue;
          if (void_one != jobs.end()) jobs.erase(void_one);
          jobs.insert(job.spec.ref);
          has_update = true;
        }
      }
    }
  }
  if (!has_update) return false;
  DecisionRecord next = next_record(name);
  for (const auto& [note, jobs] : more) {
    if (!jobs.empty()) next.notes[note] = join_words(jobs);
  }
  next.reason = "jobs written down";
  if (plan.state == broken) next.state = rendering;
  // A decided release whose publishing job comes later is written down under the same state.
  return write_decision(name, std::move(next), clock, out, true);
}

std::optional<ReleaseCoordinator::MissingRequirement> ReleaseCoordinator::find_missing_requirement(
    const ReleaseState& plan, bool publishing) {
  std::optional<MissingRequirement> first;
  for (std::size_t i = 0; i < plan.active_spec->editions.size(); ++i) {
    const Edition& edition = plan.active_spec->editions[i];
    for (std::size_t k = publishing ? edition.render_jobs.size() : 0;
         k < edition.render_jobs.size() + (publishing ? 1 : 0); ++k) {
      const JobMatcher& matcher =
          k < edition.render_jobs.size() ? edition.render_jobs[k] : edition.publish_job;
      auto jobs = jobs_of(plan, i, k);
      for (const std::string& ref : jobs) {
        auto phase = final_phase_of(ref);
        if (phase == JobPhase::done) continue;
        MissingRequirement x{ref + " of edition " + edition.name, phase == JobPhase::cancelled};
        if (x.cancelled) x.description += ", which was cancelled";
        if (!first || (x.cancelled && !first->cancelled)) first = std::move(x);
      }
      if (jobs.size() < matcher.count && !first) {
        first = MissingRequirement{std::to_string(matcher.count - jobs.size()) + " more " +
                                       matcher.job_class + " of edition " + edition.name,
                                   false};
      }
    }
  }
  return first;
}

void ReleaseCoordinator::constrain(JobIndex job_index, PlacementLimits& limits) const {
  const Job& job = state_.job(job_index);
  auto withhold = [&limits] { limits.max_tasks = 0; };
  // A newer file that is not in the shared state yet holds as well, or a job of it could slip through in the
  // moment before it is.
  for (const ReleaseSpec& t : calendar_.releases) {
    const Decision* a = decision_log_.find(spec_kind(), t.name);
    if ((a == nullptr || a->record.version < calendar_.version) && is_publishing_job(t, job.spec)) withhold();
  }
  std::string prefix = spec_kind().key("");
  for (auto it = state_.decisions.lower_bound(prefix);
       it != state_.decisions.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
    std::string name = it->first.substr(prefix.size());
    auto known = releases_.find(name);
    const Decision* decision = decision_log_.find(decision_kind(), name);
    bool current = known != releases_.end() && known->second.spec_revision == it->second.revision &&
                   known->second.decision_revision == (decision == nullptr ? 0 : decision->revision);
    if (!current) {
      // The record has changed since the last pass: what it now says of this job is not known yet.
      withhold();
      continue;
    }
    const ReleaseState& plan = known->second;
    // Given up with its revision; free once the operators take the release out.
    if (plan.withheld_jobs.count(job.spec.ref) != 0 && plan.state != withdrawn) withhold();
    bool of_terms = plan.active_spec && is_publishing_job(*plan.active_spec, job.spec);
    bool of_wanted = plan.desired_spec && is_publishing_job(*plan.desired_spec, job.spec);
    bool next_round =
        plan.desired_spec && (!plan.active_spec || plan.desired_spec->revision != plan.active_spec->revision);
    if (!plan.is_readable) withhold();
    if (next_round) {
      // Publishing jobs of a revision whose turn has yet to come; and what it renders, where that has to be
      // written down first.
      if (of_wanted) withhold();
      for (const Edition& e : plan.desired_spec->editions) {
        for (const JobMatcher& m : e.render_jobs) {
          if (m.ref.empty() && matches(m, job.spec)) withhold();
        }
      }
    }
    if (plan.state.empty()) continue;
    if (of_terms && plan.state != withdrawn) {
      bool known_job = true;
      for (const Edition& e : plan.active_spec->editions) {
        if (!matches(e.publish_job, job.spec) || !e.publish_job.ref.empty()) continue;
        auto b = plan.bound_jobs.find(bound_jobs_field(e.name, e.render_jobs.size(), true));
        known_job = b != plan.bound_jobs.end() && b->second.count(job.spec.ref) != 0;
      }
      bool may = plan.state == decided || plan.state == published;
      if (!may || (!known_job && plan.state == decided)) {
        withhold();
      } else if (plan.state == decided) {
        limits.guards.push_back({DecisionKey{decision_kind().key(name)}, plan.decision_revision});
      }
      continue;
    }
    if (!plan.active_spec || plan.state == withdrawn) continue;
    for (std::size_t i = 0; i < plan.active_spec->editions.size(); ++i) {
      const Edition& edition = plan.active_spec->editions[i];
      for (std::size_t k = 0; k < edition.render_jobs.size(); ++k) {
        if (!matches(edition.render_jobs[k], job.spec)) continue;
        bool seen = edition.render_jobs[k].ref == job.spec.ref;
        auto b = plan.bound_jobs.find(bound_jobs_field(edition.name, k, false));
        seen = seen || (b != plan.bound_jobs.end() && b->second.count(job.spec.ref) != 0);
        // Not before it is written down, while there is a place for it; one too many is nobody's business.
        bool full = b != plan.bound_jobs.end() && b->second.size() >= edition.render_jobs[k].count;
        if (!seen && !full && plan.state != published) withhold();
        if (!seen || plan.state != rendering) continue;
        // A pair is as late as its later half.
        bool twin_ahead = false;
        for (std::size_t offer_index = 0; offer_index < plan.active_spec->editions.size() && !twin_ahead;
             ++offer_index) {
          if (offer_index == i) continue;
          twin_ahead = true;
          for (std::size_t r = 0; r < plan.active_spec->editions[offer_index].render_jobs.size(); ++r) {
            for (const std::string& ref : jobs_of(plan, offer_index, r)) {
              auto f = final_phases_.find(ref);
              twin_ahead = twin_ahead && f != final_phases_.end() && f->second == JobPhase::done;
            }
          }
        }
        if (twin_ahead) limits.priority_boost_s = std::max(limits.priority_boost_s, later_half_s);
      }
    }
  }
}

}  // namespace oxbowmill::release_calendar
