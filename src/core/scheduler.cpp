#include "oxbowmill/core/scheduler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <tuple>

#include "oxbowmill/core/slow_tasks.h"
#include "oxbowmill/core/waiting.h"

namespace oxbowmill {

namespace {
const std::vector<PlacedTask> nothing_planned;
constexpr double changes_memory_s = 5;
constexpr double patient_keep = 3;  // times as long is an empty machine kept while something waits
constexpr double collect_from_share =
    0.15;  // of the changes a second, from which on an owner collects done marks
constexpr double wait_told_after_s = 60, wait_told_every_s = 30;
constexpr double wake_up_saves_s = 1;  // a worker is asked to report at once when that saves so much

}  // namespace

bool Scheduler::owns(PartIndex p) const {
  const Claim& c = model_.claim(p);
  return c.stamp != 0 && hold_.id() != 0 && c.rec.hold == hold_.id() && c.rec.node == model_.settings.node &&
         seen_ >= c.stamp;
}

bool Scheduler::owns_any() const {
  for (std::uint32_t p = 0; p < model_.parts(); ++p) {
    if (owns(PartIndex{p})) return true;
  }
  return false;
}

std::uint64_t Scheduler::visits() const {
  std::uint64_t sum = 0;
  for (std::uint32_t p = 0; p < model_.parts(); ++p) sum += capacity_.of(PartIndex{p}).visits();
  return sum;
}

Guard Scheduler::claim_guard(PartIndex p) const {
  return {ClaimKey{p}, model_.claim(p).stamp};
}

void Scheduler::queue(Effects& out, Urgency urgency, Transaction txn,
                      const std::vector<MachineIndex>& machines, std::vector<WakeUp> wake_ups,
                      std::function<void()> settled) {
  for (MachineIndex m : machines) model_.edit_machine(m).writing = true;
  std::uint64_t id = ++next_write_;
  changes_ += static_cast<double>(txn.changes.size());
  pending_[id] = {txn, urgency, JobIndex{}, machines,          {}, {}, std::move(wake_ups), {},
                  0,   0,       false,      std::move(settled)};
  out.writes.push_back({id, urgency, std::move(txn)});
}

void Scheduler::queue_job(Effects& out, Urgency urgency, Transaction txn, JobIndex job,
                          std::vector<PlacedTask> planned, std::vector<Released> released) {
  Job& j = model_.job(job);
  j.writing = true;
  for (const PlacedTask& t : planned) model_.reserve(t.machine, j.spec, 1);
  std::uint64_t id = ++next_write_;
  changes_ += static_cast<double>(txn.changes.size());
  pending_[id] = {txn, urgency, job,   {},     std::move(planned), std::move(released), {}, j.spec,
                  0,   0,       false, nullptr};
  out.writes.push_back({id, urgency, std::move(txn)});
}

bool Scheduler::on_outcome(std::uint64_t write_id, Outcome outcome, Stamp revision, Seconds now) {
  auto it = pending_.find(write_id);
  if (it == pending_.end()) return false;
  Pending& p = it->second;
  switch (outcome) {
    case Outcome::applied:
      direct_clears(p, later_);
      wake(p, revision, now, later_);
      settle(it, now, 0);
      break;
    case Outcome::not_executed:
      // Of this copy only: one that got no answer may still be applied, and its room, quota or money with it.
      if (p.in_doubt) {
        p.resend_at = now + 0.3;
        return true;
      }
      settle(it, now, 0.3);
      break;
    case Outcome::refused:
      // One of the keys has changed, maybe by this very transaction sent earlier. Room and job stay taken
      // until the watch has shown what happened.
      p.refused_at = revision;
      if (seen_ >= revision) settle(it, now, 0.1);
      break;
    case Outcome::unknown:
      // It may still be applied. The same transaction is sent again until the answer is definite: once one of
      // the two is applied the other's guards fail.
      p.in_doubt = true;
      p.resend_at = now + 0.3;
      return true;
  }
  return false;
}

void Scheduler::settle(std::map<std::uint64_t, Pending>::iterator it, Seconds now, double back_off) {
  Pending p = std::move(it->second);
  pending_.erase(it);
  for (MachineIndex m : p.machines) model_.edit_machine(m).writing = false;
  Job* j = p.job.valid() ? model_.live_job(p.job) : nullptr;
  if (j != nullptr) {
    j->writing = false;
    if (back_off > 0) j->write_after = now + back_off;
    model_.dirty.insert(p.job);
  }
  for (const PlacedTask& t : p.planned) model_.reserve(t.machine, p.spec, -1);
  if (p.settled) p.settled();
}

void Scheduler::settle_pending(Seconds now, Effects& out) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    auto here = it++;
    Pending& p = here->second;
    if (p.refused_at != 0 && seen_ >= p.refused_at) {
      settle(here, now, 0.1);
    } else if (p.resend_at > 0 && now >= p.resend_at) {
      p.resend_at = 0;
      out.writes.push_back({here->first, p.urgency, p.txn});
    }
  }
}

void Scheduler::notice_takeovers(Seconds now) {
  for (std::uint32_t p = 0; p < model_.parts(); ++p) {
    PartIndex part{p};
    if (!owns(part)) continue;
    Stamp& prepared = term_[p];
    if (prepared == model_.claim(part).stamp) continue;
    prepared = model_.claim(part).stamp;
    model_.take_over(part, now);
    SPDLOG_INFO("took over part {} at revision {}: {} machines, {} jobs", model_.names.parts.name(part),
                prepared, model_.machines_of(part).size(), model_.live_jobs(part).size());
  }
}

bool Scheduler::may_start(const Job& j, const Placement& p) const {
  // An owner starts nothing of a job whose last transaction is in doubt: it may have given the task up.
  return j.phase == JobPhase::open && j.stamp != 0 && p.state == PlacementState::placed && !p.taken_over &&
         !p.restarting && !p.want_restart;
}

Order Scheduler::kill_order(const Placement& p, Seconds now) const {
  const JobSpec& spec = model_.job(p.job).spec;
  double wind_down = p.wind_down_s;
  // A task that saves for much longer than it should is ended.
  if (now - p.stop_since > spec.flush_s + 2 * model_.settings.report_s + model_.settings.gang_peer_s)
    wind_down = 0;
  return {OrderVerb::kill, spec.ref, p.task, p.attempt, wind_down};
}

void Scheduler::stop(Placement& p, double wind_down_s, Seconds now) {
  if (p.state == PlacementState::finished || p.state == PlacementState::gone ||
      p.state == PlacementState::stopping) {
    return;
  }
  p.wind_down_s = wind_down_s;
  bool never_sent = p.state == PlacementState::placed && !p.taken_over && p.sent_serial == 0;
  model_.set_state(p, never_sent ? PlacementState::gone : PlacementState::stopping, now);
}

void Scheduler::check_gang(Job& j, Seconds now) {
  GangAction action = gang_action(j);
  if (action == GangAction::none) return;
  for (auto& [t, p] : j.placed) {
    if (action == GangAction::finish_all) {
      model_.set_state(p, PlacementState::finished, now);
    } else {
      stop(p, j.phase == JobPhase::open ? j.spec.flush_s : 0, now);
    }
  }
}

bool Scheduler::holds_tasks(const Machine& m) const {
  return std::any_of(m.on.begin(), m.on.end(),
                     [this](TaskId id) { return !is_off(model_.find_placement(id)->state); });
}

void Scheduler::watch_machines(PartIndex part, Clock clock, Effects& out) {
  const Settings& s = model_.settings;
  Seconds now = clock.now;
  // Whether an empty machine may still be of use: what waits for cheap machines does not keep ordinary ones.
  bool waiting_cheap = false, waiting_other = false;
  for (JobIndex ji : model_.live_jobs(part)) {
    const Job& j = model_.job(ji);
    if (model_.placeable(ji) == 0) continue;
    waiting_cheap = waiting_cheap || j.spec.spot;
    waiting_other = waiting_other || !j.spec.spot || j.spec.shape != Shape::array;
  }
  auto machines = model_.machines_of(part);
  for (MachineIndex mi : machines) {
    const Machine& m = model_.machine(mi);
    // While a machine has not shown our token, the earlier owner may have kept it alive through its grace.
    bool counted = m.last_answered >= 0 || m.state == MachineState::unaccounted ||
                   (m.state == MachineState::deleting && m.taken_over);
    bool silent = counted && now > proved_empty_at(m);
    if (m.last_answered >= 0 && m.state != MachineState::deleting) {
      ZoneSight& z = zones_[m.rec.zone.v];
      ++z.due;
      z.heard += now - m.last_answered < 1.6 * s.report_s + 0.5 ? 1 : 0;
    }
    bool known_silent = m.state == MachineState::silent || m.state == MachineState::deleting;
    if (silent && (!known_silent || holds_tasks(m))) {
      SPDLOG_INFO("machine {}: silent, its lease is over", model_.names.machines.name(mi));
      prove_empty(mi, now);
      if (m.state != MachineState::deleting) model_.set_state(mi, MachineState::silent, now);
    }
    if (m.state == MachineState::deleting) continue;
    if (gate_ != nullptr && !m.writing && gate_->condemned(mi)) {
      // Its tasks stay on it in the tables until the deletion is confirmed and the record goes.
      SPDLOG_INFO("machine {}: deleted on suspicion", model_.names.machines.name(mi));
      MachineRecord rec = m.rec;
      rec.mark = MachineMark::deleting;
      rec.wanted_by = PartIndex{};
      Transaction txn;
      txn.guards = {claim_guard(part), {MachineKey{mi}, m.stamp}};
      txn.changes = {{MachineKey{mi}, rec}};
      queue(out, Urgency::placement, std::move(txn), {mi});
      continue;
    }
    if (m.recalled || m.faulty_until > now || m.rec.wanted_by.valid()) {
      for (TaskId id : std::vector<TaskId>(m.on)) {
        Placement& p = *model_.edit_placement(id);
        Job& j = model_.job(id.job);
        stop(p, j.spec.flush_s, now);
        if (j.spec.shape == Shape::gang) check_gang(j, now);
      }
    }
    if (m.state == MachineState::expected && now - m.part_since > 2 * arrival_s()) {
      // Handed over, but it does not come: what was placed there in advance was never sent.
      for (TaskId id : std::vector<TaskId>(m.on)) stop(*model_.edit_placement(id), 0, now);
    }
    // A placement that is being written may become durable before the move: its task would be on a machine
    // of a part whose owner does not know the job.
    if (part == pool_part || !m.on.empty() || m.writing || m.reservations != 0) continue;
    const MachineType& type = model_.catalog[m.rec.type.v];
    bool stuck = !m.up && now - m.known_since > s.op.boot_patience * type.boot_s + s.lease_s;
    bool waiting = m.rec.spot ? waiting_cheap : waiting_other;
    double keep = waiting ? patient_keep * s.op.give_back_s : s.op.give_back_s;
    bool idle = m.state == MachineState::ready && now - m.idle_since > keep;
    bool useless = m.recalled || m.faulty_until > now || m.state == MachineState::silent || stuck;
    bool unneeded = m.state == MachineState::expected && !waiting && now - m.known_since > type.boot_s &&
                    now - m.part_since > 2 * arrival_s();
    bool wanted = m.rec.wanted_by.valid();
    if (!idle && !useless && !unneeded && !wanted) continue;
    // Given back to the pool only with nothing possibly on it.
    Transaction txn;
    txn.guards = {claim_guard(part), {MachineKey{mi}, m.stamp}};
    MachineRecord rec = m.rec;
    rec.part = wanted && !useless ? m.rec.wanted_by : pool_part;
    rec.wanted_by = PartIndex{};
    // The next owner cannot know what made this machine useless, so the record says that it is to go.
    if (useless) rec.mark = MachineMark::deleting;
    txn.changes = {{MachineKey{mi}, rec}};
    queue(out, wanted ? Urgency::placement : Urgency::rest, std::move(txn), {mi});
  }
}

void Scheduler::find_slow(PartIndex part, Seconds now) {
  const OperatorSettings& op = model_.settings.op;
  // Flags per machine, then the source's rule as this project narrows it: two or more jobs at once.
  std::map<MachineIndex, std::vector<TaskId>> flagged;
  for (JobIndex ji : model_.live_jobs(part)) {
    Job& j = model_.job(ji);
    if (j.spec.shape != Shape::array || j.phase != JobPhase::open || j.placed.empty()) continue;
    if (j.baseline < 0) {
      j.baseline = slow_baseline(j.finished_times, j.spec.tasks, op);
      if (j.baseline < 0) continue;
    }
    for (auto& [t, p] : j.placed) {
      auto chunk = j.chunks.find(t / chunk_tasks);
      bool used_up = chunk != j.chunks.end() && (chunk->second.restarted >> (t % chunk_tasks) & 1) != 0;
      if (p.state != PlacementState::seen || used_up || p.restarting || p.want_restart) continue;
      if (is_slow(now - p.started_at, j.baseline)) flagged[p.machine].push_back({ji, t});
    }
  }
  for (auto& [mi, tasks] : flagged) {
    std::set<JobIndex> jobs;
    for (TaskId id : tasks) jobs.insert(id.job);
    if (jobs.size() < 2) continue;
    Machine& m = model_.edit_machine(mi);
    if (m.blocked_until < now) {
      SPDLOG_INFO("machine {}: blocked, slow tasks of {} jobs", model_.names.machines.name(mi), jobs.size());
    }
    m.blocked_until = std::max(m.blocked_until, now + op.block_s);
    if (!op.restart_slow) continue;
    capacity_.refresh(now);
    for (TaskId id : tasks) {
      Job& j = model_.job(id.job);
      // Without free room elsewhere the task is left running.
      Selection elsewhere = capacity_.of(part).select(query_for(j, now), {id.task}, tasks_by_zone(model_, j));
      if (elsewhere.choices.empty()) continue;
      capacity_.of(part).take(elsewhere.nodes.front().machine, j.spec.need);
      model_.edit_placement(id)->want_restart = true;  // made durable first, then stopped
      model_.dirty.insert(id.job);
    }
  }
}

void Scheduler::tell_waits(PartIndex part, Clock clock) {
  for (JobIndex ji : model_.live_jobs(part)) {
    Job& j = model_.job(ji);
    Seconds waited = clock.wall - j.spec.submitted_at;
    if (waited < wait_told_after_s || clock.now - j.wait_told_at < wait_told_every_s) continue;
    Wait w = wait_of(model_, j, clock.now);
    if (w.tasks == 0) continue;
    j.wait_told_at = clock.now;
    SPDLOG_INFO("job {}: {} of {} tasks have not begun after {:.0f} s: wait for {}; promise {}", j.spec.ref,
                w.tasks, j.spec.tasks, waited, name_of(w.cause),
                name_of(promise_of(model_, j.spec, clock.wall)));
  }
}

bool Scheduler::busy(double share) const {
  return changes_ > share * model_.settings.state_write_rps * changes_memory_s;
}

bool Scheduler::marks_may_wait(JobIndex ji, Seconds now) {
  // A done task's result is kept, so that a mark which is lost costs no work: it is done again as soon as it
  // has its image. A mark for each end took most of the state service's changes. What a waiting task, a
  // machine that could be given back or the job's end depends on is written at once.
  Job& j = model_.job(ji);
  std::size_t off = 0, done = 0;
  for (const auto& [t, p] : j.placed) {
    if (p.want_restart && !p.restarting) return false;
    off += is_off(p.state) ? 1 : 0;
    done += p.state == PlacementState::finished ? 1 : 0;
  }
  // Nothing of a gang that is being stopped can start before all of it is off.
  bool whole = j.spec.shape == Shape::gang && gang_state(j) == GangState::stopping && off < j.placed.size();
  bool may = j.final_phase() ? off < j.placed.size()
                             : off == done && j.done + done < j.spec.tasks && j.spec.shape == Shape::array;
  if (off == 0 || !(may || whole) || (j.marks_now && !whole)) return false;
  if (j.marks_due < 0) {
    if (!busy(collect_from_share)) return false;
    j.marks_due = now + model_.settings.op.mark_delay_s;
    marks_due_.emplace(j.marks_due, ji);
  }
  return now < j.marks_due;
}

void Scheduler::need_marks(MachineIndex mi) {
  for (TaskId id : model_.machine(mi).on) {
    if (!is_off(model_.find_placement(id)->state)) continue;
    model_.job(id.job).marks_now = true;
    model_.dirty.insert(id.job);
  }
}

void Scheduler::write_job(JobIndex ji, const std::vector<PlacedTask>& planned, Seconds now, Effects& out) {
  Job& j = model_.job(ji);
  if (j.writing || now < j.write_after || j.stamp == 0) return;
  PartIndex part = j.spec.part;
  std::map<std::uint32_t, ChunkRecord> records;
  std::set<MachineIndex> machines;
  bool news = false;
  // Which chunks change, up to what one transaction holds; the rest follows in the next.
  auto touch = [&](TaskNo task) {
    if (records.count(task / chunk_tasks) != 0) return true;
    if (records.size() >= most_chunks(model_.settings)) return false;
    records[task / chunk_tasks];
    return true;
  };
  bool finishing = false, lost = false;
  std::vector<PlacedTask> written;
  std::vector<Released> released;
  bool plans = !planned.empty() && j.phase == JobPhase::open;
  if (!plans && marks_may_wait(ji, now)) return;
  j.marks_due = -1;
  j.marks_now = false;
  std::size_t off = 0;
  for (auto& [t, p] : j.placed) {
    if (p.state != PlacementState::seen) p.want_restart = false;
    bool changed = is_off(p.state) || (p.want_restart && !p.restarting);
    if (changed && touch(t)) news = true;
    finishing = finishing || p.state == PlacementState::finished;
    lost = lost || p.state == PlacementState::gone;
    off += is_off(p.state) ? 1 : 0;
  }
  for (const PlacedTask& t : planned) {
    if (j.phase == JobPhase::open && touch(t.task)) news = true;
  }
  bool cleanup = j.final_phase() && off == j.placed.size();
  if (!news && !cleanup) return;
  Transaction txn;
  txn.guards = {claim_guard(part), {JobKey{ji}, j.stamp}};
  std::uint32_t done = j.done;
  for (auto& [c, rec] : records) {
    auto chunk = j.chunks.find(c);
    Stamp stamp = 0;
    if (chunk != j.chunks.end()) {
      rec.done = chunk->second.done;
      rec.restarted = chunk->second.restarted;
      rec.finishes = chunk->second.finishes;
      stamp = chunk->second.stamp;
    }
    auto bit = [](TaskNo t) { return 1ULL << (t % chunk_tasks); };
    for (auto it = j.placed.lower_bound(c * chunk_tasks);
         it != j.placed.end() && it->first < (c + 1) * chunk_tasks; ++it) {
      const Placement& p = it->second;
      bool restarting = p.restarting || p.want_restart;
      if (p.state == PlacementState::finished) {
        if ((rec.done & bit(p.task)) == 0) ++done;
        auto as = j.finished_as.find(p.task);
        if (as != j.finished_as.end()) rec.finishes.push_back(as->second);
        rec.done |= bit(p.task);
        released.push_back({p.machine, p.task, p.attempt});
      } else if (p.state == PlacementState::gone) {
        if (p.cause != EndCause::none) released.push_back({p.machine, p.task, p.attempt});
      } else {
        rec.placed.push_back({p.task, p.machine, p.attempt, restarting, p.placed_at_s});
      }
      if (restarting) rec.restarted |= bit(p.task);
    }
    for (const PlacedTask& t : planned) {
      if (t.task / chunk_tasks != c || j.phase != JobPhase::open) continue;
      rec.placed.push_back(t);
      if (model_.settings.progress.enabled && model_.wall_ahead != 0)
        rec.placed.back().at_s = std::max(0.0, now + model_.wall_ahead - j.spec.submitted_at);
      machines.insert(t.machine);
      written.push_back(t);
    }
    for (auto it = j.saved.lower_bound(c * chunk_tasks);
         it != j.saved.end() && it->first < (c + 1) * chunk_tasks; ++it) {
      if ((rec.done & bit(it->first)) == 0 && it->second.any()) rec.saved.insert(*it);
    }
    txn.guards.push_back({ChunkKey{ji, c}, stamp});
    txn.changes.push_back({ChunkKey{ji, c}, rec});
  }
  for (MachineIndex m : machines) txn.guards.push_back({MachineKey{m}, model_.machine(m).stamp});
  // Nothing is placed on a decision that has changed since.
  if (!written.empty()) {
    for (Guard& g : model_.advice(ji).guards) txn.guards.push_back(std::move(g));
  }
  bool all_done = j.phase == JobPhase::open && done == j.spec.tasks;
  JobPhase phase = all_done ? JobPhase::done : j.phase;
  if (all_done || cleanup) {
    bool empty =
        std::all_of(records.begin(), records.end(), [](const auto& r) { return r.second.placed.empty(); });
    empty = empty && std::all_of(j.placed.begin(), j.placed.end(),
                                 [&](const auto& p) { return records.count(p.first / chunk_tasks) != 0; });
    std::size_t keys = j.chunks.size();
    for (const auto& [c, rec] : records) keys += j.chunks.count(c) == 0 ? 1 : 0;
    if (empty && keys + 2 <= model_.settings.txn_ops) {
      // The whole job goes: what remains is its final phase under a key of its own.
      txn.changes.clear();
      for (const auto& [c, chunk] : j.chunks) txn.changes.push_back({ChunkKey{ji, c}, {}});
      txn.changes.push_back({JobKey{ji}, {}});
      txn.changes.push_back({FinalKey{ji}, phase});
    } else if (all_done) {
      txn.changes.push_back({JobKey{ji}, JobRecord{j.spec, phase}});
    } else if (j.placed.empty()) {
      for (const auto& [c, chunk] : j.chunks) {
        if (txn.changes.size() + 1 >= model_.settings.txn_ops) break;
        txn.changes.push_back({ChunkKey{ji, c}, {}});
      }
    }
  }
  // What was lost waits to be placed again: until its removal is durable, it cannot be.
  bool replaces = !written.empty() || (lost && j.phase == JobPhase::open);
  Urgency urgency = replaces ? Urgency::placement : finishing ? Urgency::done_mark : Urgency::rest;
  queue_job(out, urgency, std::move(txn), ji, std::move(written), std::move(released));
}

void Scheduler::direct_kills(Effects& out) {
  auto kick = std::move(model_.kick);
  model_.kick.clear();
  for (MachineIndex mi : kick) {
    const Machine& m = model_.machine(mi);
    if (m.stamp == 0 || !owns(m.rec.part) || m.address.empty() || m.tenure == 0) continue;
    DirectOrders d{mi, m.tenure, model_.token(m), {}};
    for (TaskId id : m.on) {
      const Placement& p = *model_.find_placement(id);
      if (p.state == PlacementState::stopping) d.orders.push_back(kill_order(p, p.stop_since));
    }
    if (!d.orders.empty()) out.direct.push_back(std::move(d));
  }
}

void Scheduler::direct_clears(const Pending& p, Effects& out) {
  // A cleared task changes the worker's list, so that it reports at once and fetches its next orders.
  std::map<MachineIndex, std::vector<Order>> by_machine;
  for (const Released& r : p.released) {
    by_machine[r.machine].push_back({OrderVerb::clear, p.spec.ref, r.task, r.attempt, 0});
  }
  for (auto& [mi, orders] : by_machine) {
    const Machine& m = model_.machine(mi);
    if (m.state != MachineState::ready || m.address.empty() || !owns(m.rec.part)) continue;
    out.direct.push_back({mi, m.tenure, model_.token(m), std::move(orders)});
  }
}

void Scheduler::wake(const Pending& p, Stamp revision, Seconds now, Effects& out) {
  for (const WakeUp& r : p.wake_ups) {
    if (!model_.machine(r.machine).address.empty()) out.direct.push_back({r.machine, r.tenure, revision, {}});
  }
  const Settings& s = model_.settings;
  std::set<MachineIndex> machines;
  for (const PlacedTask& t : p.planned) machines.insert(t.machine);
  for (MachineIndex mi : machines) {
    Machine& m = model_.edit_machine(mi);
    if (m.state != MachineState::ready || !owns(m.rec.part) || m.address.empty()) continue;
    // A worker counts a higher token as news once in half a lease; where it reports soon anyway, it need not.
    Seconds next_report = m.last_answered + s.report_s - now;
    if (next_report < wake_up_saves_s) continue;
    if (now - m.woken_at < s.lease_s / 2) {
      // The clearing of an ended task makes it report as well.
      need_marks(mi);
      continue;
    }
    // The transaction was guarded by our claim and the machine's record, so every later authority over the
    // machine has a higher token than this revision.
    m.placed_at = std::max(m.placed_at, revision);
    m.woken_at = now;
    out.direct.push_back({mi, m.tenure, model_.token(m), {}});
  }
}

void Scheduler::pass(Clock clock, Effects& out) {
  if (hold_.authority(clock.now) != Authority::full || !model_.catalog_known()) return;
  notice_takeovers(clock.now);
  settle_pending(clock.now, out);
  changes_ *= std::exp((passed_at_ - clock.now) / changes_memory_s);
  passed_at_ = clock.now;
  bool check_machines = clock.now >= next_machine_check_;
  bool check_slow = clock.now >= next_slow_check_;
  if (check_machines) next_machine_check_ = clock.now + 0.2;
  if (check_slow) next_slow_check_ = clock.now + model_.settings.op.check_interval_s;
  std::map<JobIndex, std::vector<PlacedTask>> planned;
  if (check_machines) {
    begin_zone_check();
    for (std::uint32_t p = 0; p < model_.parts(); ++p) {
      if (owns(PartIndex{p})) watch_machines(PartIndex{p}, clock, out);
    }
    end_zone_check(clock.now);
  }
  for (std::uint32_t p = 0; p < model_.parts(); ++p) {
    PartIndex part{p};
    if (!owns(part)) continue;
    if (part == pool_part) continue;
    if (check_slow) find_slow(part, clock.now);
    if (check_slow) tell_waits(part, clock);
    for (TaskId id : model_.counsel != nullptr ? model_.counsel->unwanted(part) : std::vector<TaskId>{}) {
      if (Placement* unwanted = model_.edit_placement(id))
        stop(*unwanted, model_.job(id.job).spec.flush_s, clock.now);
    }
    place(part, clock, check_machines, planned);
  }
  while (!marks_due_.empty() && marks_due_.begin()->first <= clock.now) {
    if (model_.live_job(marks_due_.begin()->second) != nullptr)
      model_.dirty.insert(marks_due_.begin()->second);
    marks_due_.erase(marks_due_.begin());
  }
  auto dirty = std::move(model_.dirty);
  model_.dirty.clear();
  for (JobIndex ji : dirty) {
    if (planned.count(ji) == 0) planned.emplace(ji, nothing_planned);
  }
  for (auto& [ji, tasks] : planned) {
    Job* j = model_.live_job(ji);
    if (j == nullptr || !owns(j->spec.part)) continue;
    if (j->spec.shape == Shape::gang) check_gang(*j, clock.now);
    for (auto& [t, pl] : j->placed) {
      // The mark is durable: the slow task may be stopped now.
      if (pl.restarting && pl.state == PlacementState::seen) stop(pl, j->spec.flush_s, clock.now);
    }
    if (j->writing || clock.now < j->write_after) {
      model_.dirty.insert(ji);
      continue;
    }
    write_job(ji, tasks, clock.now, out);
  }
  direct_kills(out);
  out.direct.insert(out.direct.end(), std::make_move_iterator(later_.direct.begin()),
                    std::make_move_iterator(later_.direct.end()));
  later_.direct.clear();
}

}  // namespace oxbowmill
