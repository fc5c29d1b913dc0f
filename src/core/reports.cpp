// What workers' reports prove, and what they are answered.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "oxbowmill/core/scheduler.h"

namespace oxbowmill {

namespace {
constexpr std::uint32_t deaf_after = 3;  // reports in a row that show that an answer has not been taken
constexpr double lost_memory = 16;       // of reports that tell whether an answer was taken
constexpr double own_fault_share = 0.5;
}  // namespace

ReportAnswer Scheduler::on_report(const WorkerReport& r, Clock clock) {
  ReportAnswer a;
  Authority authority = hold_.authority(clock.now);
  if (!model_.catalog_known()) return a;
  notice_takeovers(clock.now);
  MachineIndex mi = model_.find_recorded(r.machine);
  bool recorded = mi.valid();
  PartIndex part = recorded ? model_.machine(mi).rec.part : pool_part;
  if (!owns(part)) {
    const Claim& c = model_.claim(part);
    if (c.stamp == 0 || c.rec.node == model_.settings.node) return a;
    a.kind = ReportAnswer::Kind::redirect;
    a.owner = c.rec.node;
    if (recorded) {
      const Machine& m = model_.machine(mi);
      Seconds settled = 2 * arrival_s();
      a.left_owner = r.token >= model_.least_token(m) && clock.now - m.part_since > settled &&
                     clock.now - c.since > settled;
    }
    return a;
  }
  if (authority == Authority::none) return a;
  if (!recorded) {
    a.token = model_.claim(pool_part).stamp;
    if (r.token > a.token) return a;
    if (on_unrecorded) on_unrecorded(r);
    a.kind = ReportAnswer::Kind::ok;
    return a;
  }
  Machine& m = model_.edit_machine(mi);
  a.token = model_.token(m);
  // A worker that has seen a higher token would drop the answer; a stale report must not count as news.
  if (r.token > a.token) return ReportAnswer{};
  if (std::tie(r.tenure, r.serial) <= std::tie(m.tenure, m.serial)) return ReportAnswer{};
  a.kind = ReportAnswer::Kind::ok;
  // In the grace time too: whatever is answered there, nothing older is news afterwards.
  m.tenure = r.tenure;
  m.serial = r.serial;
  bool token_shown = r.token >= model_.least_token(m);
  // A worker has one report under way, and drops what answers an earlier one: where a newer one shows a token
  // below all that we answered it with, it has taken none of our answers.
  bool none_taken = r.token < m.first_token;
  if (m.first_token == 0) m.first_token = a.token;
  m.last_answered = clock.now;
  if (authority == Authority::grace) {
    kills(mi, r, false, a.orders, clock.now);
    return a;
  }
  m.address = r.address;
  if (m.first_report < 0) m.first_report = clock.now;
  m.up = true;
  // What a market delivered is judged by the machine's own word: on another type or in another zone than was
  // bid for, a job might be where it must not.
  bool as_recorded = !m.rec.market.valid() ||
                     Kind{model_.names.types.find(r.type), model_.names.zones.find(r.zone), r.spot} ==
                         Kind{m.rec.type, m.rec.zone, m.rec.spot};
  if (!as_recorded && m.faulty_until < clock.now) {
    SPDLOG_INFO("machine {}: is {} in {}, not what was bid for; it goes back", r.machine, r.type, r.zone);
    constexpr double for_good_s = 1e9;
    m.faulty_until = clock.now + for_good_s;
  }
  if (as_recorded && (m.state == MachineState::expected || m.state == MachineState::silent ||
                      (m.state == MachineState::unaccounted && token_shown))) {
    model_.set_state(mi, MachineState::ready, clock.now);
  }
  if (r.recall_s >= 0 && !m.recalled) {
    m.recalled = true;
    SPDLOG_INFO("machine {}: will be taken back in {:.1f} s", r.machine, r.recall_s);
  }
  if (none_taken && m.taken_over && clock.now > ours_alone_since(m) + model_.settings.lease_over_s())
    prove_empty(mi, clock.now);
  StartNews starts = read_tasks(mi, r, token_shown, none_taken, clock.now);
  bool lost = none_taken || starts.lost;
  if (lost || starts.arrived) lost_share_ += ((lost ? 1 : 0) - lost_share_) / lost_memory;
  m.unheard = lost ? m.unheard + 1 : 0;
  // Where most answers are lost it is not this machine that does not hear: this node is late or cut off, and
  // to send all that waits from one machine to the next would make it later.
  if (m.unheard >= deaf_after && lost_share_ < own_fault_share) spare(mi, clock.now);
  response_orders(mi, r, a.orders, clock.now);
  return a;
}

Scheduler::StartNews Scheduler::read_tasks(MachineIndex mi, const WorkerReport& r, bool token_shown,
                                           bool none_taken, Seconds now) {
  Machine& m = model_.edit_machine(mi);
  StartNews news;
  auto on = m.on;
  for (TaskId id : on) {
    Placement& p = *model_.edit_placement(id);
    if (p.state == PlacementState::finished || p.state == PlacementState::gone) continue;
    const std::string& ref = model_.job(id.job).spec.ref;
    auto t = std::find_if(r.tasks.begin(), r.tasks.end(), [&](const TaskReport& x) {
      return x.task == p.task && x.attempt == p.attempt && x.job == ref;
    });
    if (t != r.tasks.end() && t->phase == TaskPhase::ended && p.state == PlacementState::placed &&
        !p.taken_over && p.sent_serial == 0) {
      p.leftover = true;  // of a gang member that gave up waiting and is started again here
      continue;
    }
    // Of an earlier owner's task only a report under our token tells how it stands now: a copy of an older
    // one, come late, may show an end after which the same attempt was started again, or a session before the
    // one in which it runs. (A gang's member, started again where it had ended `incomplete`, ran there and
    // elsewhere.) What is done stays done.
    bool told_late = p.taken_over && !token_shown;
    if (t != r.tasks.end() && t->phase == TaskPhase::ended && told_late && t->cause != EndCause::done)
      continue;
    if (t != r.tasks.end()) {
      news.arrived = news.arrived || p.state == PlacementState::sent;
      if (p.started_at <= 0) p.started_at = now;
      if (!told_late) {
        p.taken_over = false;
        if (p.sent_tenure == 0) {
          p.sent_tenure = r.tenure;
          p.sent_serial = r.serial;
        }
      }
      p.phase = t->phase;
      if (t->phase == TaskPhase::ended) {
        task_ended(p, *t, m, now);
      } else {
        if (t->phase == TaskPhase::running) {
          // What was told to stop makes no more progress, and a machine that hung made none.
          bool close = p.ran_until >= 0 && now - p.ran_until < 2 * model_.settings.report_s + 1;
          if (close && p.state != PlacementState::stopping) p.ran_s += now - p.ran_until;
          p.ran_until = now;
        }
        if (t->phase == TaskPhase::running && p.running_at < 0) {
          p.running_at = now;
          SPDLOG_DEBUG("task {}/{} runs on {}, {:.1f} s after its start order", ref, p.task, r.machine,
                       now - p.started_at);
        }
        if (p.state != PlacementState::stopping) model_.set_state(p, PlacementState::seen, now);
      }
      continue;
    }
    // Or the worker has taken none of our answers, so not the one that carried the start.
    bool untaken = none_taken && p.state == PlacementState::sent;
    if (!token_shown && !untaken && (p.sent_tenure == 0 || r.tenure <= p.sent_tenure)) continue;
    // Absence counts only in a report newer than the one whose response carried the start, with our token or
    // from a later session: then that response was dropped or its effect is over.
    bool newer = std::tie(r.tenure, r.serial) > std::tie(p.sent_tenure, p.sent_serial);
    if (!newer) continue;
    if (p.state == PlacementState::sent) {
      model_.set_state(p, PlacementState::placed, now);  // the start was lost: it is sent again
      news.lost = true;
    } else if (p.state == PlacementState::seen || p.state == PlacementState::stopping) {
      p.cause = EndCause::none;
      model_.set_state(p, PlacementState::gone, now);
    } else {
      p.taken_over = false;  // placed by an earlier owner, never started: it may be started now
      p.started_at = 0;
    }
  }
  bool all_off = !m.on.empty();
  for (TaskId id : on) {
    Job& j = model_.job(id.job);
    if (j.spec.shape == Shape::gang) check_gang(j, now);
  }
  for (TaskId id : m.on) all_off = all_off && is_off(model_.find_placement(id)->state);
  // Only an empty machine can be handed over or given back.
  if (all_off) need_marks(mi);
  return news;
}

void Scheduler::prove_empty(MachineIndex mi, Seconds now) {
  for (TaskId id : model_.machine(mi).on) {
    Placement& p = *model_.edit_placement(id);
    if (is_off(p.state)) continue;
    p.cause = EndCause::none;
    model_.set_state(p, PlacementState::gone, now);
  }
  for (TaskId id : std::vector<TaskId>(model_.machine(mi).on)) {
    if (model_.job(id.job).spec.shape == Shape::gang) check_gang(model_.job(id.job), now);
  }
}

void Scheduler::spare(MachineIndex mi, Seconds now) {
  Machine& m = model_.edit_machine(mi);
  if (m.blocked_until < now)
    SPDLOG_INFO("machine {}: does not hear its answers", model_.names.machines.name(mi));
  m.blocked_until = std::max(m.blocked_until, now + model_.settings.op.block_s);
  // What was to start here has not: the last answer that carried it was not taken either.
  for (TaskId id : m.on) {
    Placement& p = *model_.edit_placement(id);
    if (p.state != PlacementState::placed || p.taken_over) continue;
    p.cause = EndCause::none;
    model_.set_state(p, PlacementState::gone, now);
  }
}

void Scheduler::task_ended(Placement& p, const TaskReport& t, Machine& m, Seconds now) {
  Job& j = model_.job(p.job);
  p.cause = t.cause;
  p.stored = t.saved;
  SPDLOG_DEBUG("task {}/{} ended on {}: {}", j.spec.ref, p.task, model_.names.machines.name(p.machine),
               name_of(t.cause));
  if (t.cause == EndCause::done) {
    j.errors = 0;
    if (j.spec.shape == Shape::array) {
      double took = progress::execution_time(now - p.started_at, j.saved_of(p.task));
      j.finished_times.push_back(took);
      if (model_.settings.progress.enabled && model_.wall_ahead != 0)
        j.finished_as[p.task] = {p.task, took, now + model_.wall_ahead - j.spec.submitted_at};
    }
    model_.set_state(p, PlacementState::finished, now);
    return;
  }
  if (t.cause == EndCause::peers) j.broken = p.attempt;
  if (t.cause == EndCause::error || t.cause == EndCause::no_such) {
    ++j.errors;
    if (t.cause == EndCause::error) ++m.errors;
    j.place_after = now + std::min(30.0, 0.5 * static_cast<double>(1U << std::min(j.errors, 6U)));
    SPDLOG_INFO("task {}/{} failed on {}: {}", j.spec.ref, p.task, model_.names.machines.name(p.machine),
                name_of(t.cause));
    // A mistake in one job must not cost machines: only errors on several occasions make a machine suspect.
    if (m.errors >= 3 && j.errors <= 3) m.faulty_until = now + 600;
  } else if (t.cause == EndCause::no_room) {
    m.blocked_until = std::max(m.blocked_until, now + 2 * model_.settings.report_s);
  }
  model_.set_state(p, PlacementState::gone, now);
}

void Scheduler::kills(MachineIndex mi, const WorkerReport& r, bool all, std::vector<Order>& orders,
                      Seconds now) {
  for (const TaskReport& t : r.tasks) {
    JobIndex ji = model_.find_job(t.job);
    const Placement* p = ji.valid() ? model_.find_placement({ji, t.task}) : nullptr;
    if (p != nullptr && p->machine == mi && p->attempt == t.attempt) continue;
    // Not ours to run: its record went when it was proved to have ended, or was never made.
    if (t.phase == TaskPhase::ended) {
      if (all) orders.push_back({OrderVerb::clear, t.job, t.task, t.attempt, 0});
    } else {
      SPDLOG_INFO("machine {} runs {}/{} try {} without a placement: killed", r.machine, t.job, t.task,
                  t.attempt);
      orders.push_back({OrderVerb::kill, t.job, t.task, t.attempt, 0});
    }
  }
  for (TaskId id : model_.machine(mi).on) {
    const Placement& p = *model_.find_placement(id);
    bool wanted = all || model_.job(id.job).phase == JobPhase::cancelled;
    if (p.state == PlacementState::stopping && wanted) orders.push_back(kill_order(p, now));
  }
}

void Scheduler::response_orders(MachineIndex mi, const WorkerReport& r, std::vector<Order>& orders,
                                Seconds now) {
  Machine& m = model_.edit_machine(mi);
  kills(mi, r, true, orders, now);
  if (m.state != MachineState::ready || m.recalled) return;
  for (TaskId id : m.on) {
    Placement& p = *model_.edit_placement(id);
    Job& j = model_.job(id.job);
    if (!may_start(j, p)) continue;
    if (p.leftover) orders.push_back({OrderVerb::clear, j.spec.ref, p.task, p.attempt, 0});
    orders.push_back({OrderVerb::start, j.spec.ref, p.task, p.attempt, 0});
    p.sent_tenure = r.tenure;
    p.sent_serial = r.serial;
    model_.set_state(p, PlacementState::sent, now);
  }
}

Seconds Scheduler::ours_alone_since(const Machine& m) const {
  Seconds after_grace = m.part_since + model_.settings.grace_s() * (1 + 2 * Settings::drift);
  // One that was moved may be answered by the owner it came from, who lives under the hold it had.
  if (!m.taken_over) return after_grace;
  // The earlier owner's grace need not be waited for once every controller has begun anew: what was answered
  // to this worker on behalf of the part was answered under a hold that has ended since, and its holder
  // answers nothing under it any more (docs/start.md, "Safety").
  Seconds anew = model_.all_anew_since();
  return anew < 0 ? after_grace : std::min(after_grace, std::max(m.part_since, anew));
}

Seconds Scheduler::proved_empty_at(const Machine& m) const {
  bool unproved = m.state == MachineState::unaccounted || (m.state == MachineState::deleting && m.taken_over);
  Seconds from = unproved ? ours_alone_since(m) : m.part_since;
  return std::max(m.last_answered, from) + model_.settings.lease_over_s();
}

}  // namespace oxbowmill
