#include "oxbowmill/core/model.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "oxbowmill/core/promise.h"

namespace oxbowmill {

namespace {
constexpr double late_reading_s = 3;  // beyond what clocks of different nodes differ by
constexpr double longest_wait_s = 3600;
}  // namespace

double Settings::grace_s() const {
  // hold life + grace + lease + margins stays under cancel_s: by then what a cut-off owner kept alive is
  // gone.
  double left = cancel_s - op.hold_life_s - lease_over_s() - 2 * margin_s;
  return std::clamp(left, 0.0, 12.0);
}

const char* name_of(PlacementState s) {
  static constexpr const char* names[] = {"placed", "sent", "seen", "stopping", "finished", "gone"};
  return names[static_cast<int>(s)];
}

const char* name_of(MachineState s) {
  static constexpr const char* names[] = {"unknown", "expected", "unaccounted",
                                          "ready",   "silent",   "deleting"};
  return names[static_cast<int>(s)];
}

Model::Model(Settings s, Names n) : settings(std::move(s)), names(std::move(n)) {
  live_.resize(names.parts.size());
  part_machines_.resize(names.parts.size());
  wanted_.resize(names.parts.size());
  claims_.resize(names.parts.size());
  team_use_.resize(names.parts.size());
}

JobIndex Model::find_job(const std::string& ref) const {
  auto it = job_names_.find(ref);
  return it == job_names_.end() ? JobIndex{} : it->second;
}

JobIndex Model::intern_job(const std::string& ref) {
  auto [it, added] = job_names_.try_emplace(ref, JobIndex{next_job_});
  if (added) {
    jobs_[next_job_].spec.ref = ref;
    ++next_job_;
  }
  return it->second;
}

MachineIndex Model::intern_machine(const std::string& name) {
  MachineIndex m = names.machines.intern(name);
  if (m.v >= machines_.size()) machines_.resize(m.v + 1);
  return m;
}

MachineIndex Model::find_recorded(const std::string& name) const {
  MachineIndex m = names.machines.find(name);
  return m.valid() && m.v < machines_.size() && machines_[m.v].stamp != 0 ? m : MachineIndex{};
}

TypeIndex Model::intern_type(const std::string& name) {
  TypeIndex t = names.types.intern(name);
  if (catalog_known() && t.v >= catalog.size()) catalog.resize(t.v + 1);
  return t;
}

Amounts Model::room(const Machine& m) const {
  if (!m.rec.type.valid() || m.rec.type.v >= catalog.size()) return {};
  return catalog[m.rec.type.v].room - m.used - m.reserved;
}

void Model::reserve(MachineIndex i, const JobSpec& spec, int sign) {
  Machine& m = edit_machine(i);
  m.reserved += sign * spec.need;
  m.reservations += static_cast<std::uint32_t>(sign);
  team_use_[spec.part.v] += sign * spec.need;
  if (m.reservations == 0) m.reserved = {};
}

double Model::share_of_machine(const JobSpec& spec) const {
  int most = 1;
  for (std::uint32_t t = 0; t < catalog.size(); ++t) {
    if (spec.allows(TypeIndex{t})) most = std::max(most, how_many_fit(spec.need, catalog[t].room));
  }
  return 1.0 / most;
}

Stamp Model::least_token(const Machine& m) const {
  return std::max(claims_[m.rec.part.v].stamp, m.stamp);
}

Stamp Model::token(const Machine& m) const {
  return std::max(least_token(m), m.placed_at);
}

Seconds Model::all_anew_since() const {
  Seconds last = -1;
  for (const std::string& name : settings.all_nodes) {
    auto it = nodes_.find(name);
    if (it == nodes_.end()) return -1;
    last = std::max(last, it->second.since);
  }
  return last;
}

const Placement* Model::find_placement(TaskId id) const {
  auto j = jobs_.find(id.job.v);
  if (j == jobs_.end()) return nullptr;
  auto it = j->second.placed.find(id.task);
  return it == j->second.placed.end() ? nullptr : &it->second;
}

Placement* Model::edit_placement(TaskId id) {
  const Placement* placement = find_placement(id);
  if (placement == nullptr) return nullptr;
  note_change(placement->machine);
  return &jobs_.at(id.job.v).placed.at(id.task);
}

std::vector<MachineIndex> Model::take_changed() {
  std::vector<MachineIndex> changed;
  changed.swap(changed_);
  for (MachineIndex m : changed) machines_[m.v].change_noted = false;
  return changed;
}

std::vector<TaskNo> Model::pending_tasks(Job& j, std::size_t most) const {
  std::vector<TaskNo> out;
  for (std::uint32_t w = j.scan_from; w < j.busy.size() && out.size() < most; ++w) {
    std::uint64_t free = ~j.busy[w];
    if (free == 0 && w == j.scan_from) j.scan_from = w + 1;
    while (free != 0 && out.size() < most) {
      TaskNo t = w * 64 + static_cast<TaskNo>(__builtin_ctzll(free));
      free &= free - 1;
      if (t < j.spec.tasks) out.push_back(t);
    }
  }
  return out;
}

void Model::set_state(Placement& p, PlacementState s, Seconds now) {
  if (p.state == s) return;
  note_change(p.machine);
  SPDLOG_DEBUG("task {}/{} on {} try {}: {} -> {}", job(p.job).spec.ref, p.task,
               names.machines.name(p.machine), p.attempt, name_of(p.state), name_of(s));
  // The room is free from the proof on: the record may follow when it is convenient.
  if (is_off(s) != is_off(p.state)) occupy(job(p.job), p, is_off(s) ? -1 : 1);
  p.state = s;
  if (s == PlacementState::gone) note_saved(p, now);
  if (s >= PlacementState::stopping && p.has_begun(now)) note_begun(job(p.job), p.task);
  if (s == PlacementState::stopping) {
    p.stop_since = now;
    kick.insert(p.machine);
  }
  if (s == PlacementState::sent && p.started_at <= 0) p.started_at = now;
  if (is_off(s)) dirty.insert(p.job);
}

void Model::note_begun(Job& j, TaskNo task) {
  j.begun.resize(j.busy.size());
  if (task / 64 < j.begun.size()) j.begun[task / 64] |= 1ULL << (task % 64);
}

void Model::note_saved(const Placement& p, Seconds now) {
  Job& j = job(p.job);
  if (!settings.progress.enabled || j.spec.save_every_s <= 0 || p.running_at < 0) return;
  bool gang = j.spec.shape == Shape::gang;
  // A gang's progress is one. The first of an attempt to leave decides what is saved: once it has gone
  // without a save, whatever another says it stored is of no use (PROTOCOL, "Gangs").
  if (gang && j.saved_attempt == p.attempt) return;
  j.saved_attempt = p.attempt;
  progress::Ran ran{p.ran_s, now - p.started_at};
  // Members run on, as far as reports tell, for a while after one is lost.
  if (gang && !p.stored) ran.least = std::max(0.0, ran.least - settings.gang_peer_s - settings.report_s);
  progress::Saved before = j.saved_of(p.task);
  auto after = p.stored ? progress::after_store(before, ran, j.spec.save_every_s, settings.progress)
                        : progress::after_loss(before, ran, j.spec.save_every_s, settings.progress);
  j.saved[gang ? 0 : p.task] = progress::merged(before, after);
}

Seconds Job::remaining_s() const {
  if (saved.empty() || spec.tasks == 0) return spec.estimate_s;
  if (spec.shape == Shape::gang) return progress::remaining(spec.estimate_s, saved_of(0));
  double sum = 0;
  std::uint32_t n = 0;
  for (const auto& [t, s] : saved) {
    if (placed.count(t) != 0 || t / 64 >= busy.size() || (busy[t / 64] >> (t % 64) & 1) != 0) continue;
    sum += progress::remaining(spec.estimate_s, s);
    ++n;
  }
  std::uint32_t waiting = std::max(pending(), n);
  return waiting == 0 ? spec.estimate_s : (sum + (waiting - n) * spec.estimate_s) / waiting;
}

void Model::set_state(MachineIndex i, MachineState s, Seconds now) {
  Machine& m = edit_machine(i);
  if (m.state == s) return;
  SPDLOG_DEBUG("machine {}: {} -> {}", names.machines.name(i), name_of(m.state), name_of(s));
  m.state = s;
  if (s == MachineState::ready && m.on.empty()) m.idle_since = now;
  if (s == MachineState::unknown) {
    // What is still booked on it goes with its placements' records.
    Machine fresh;
    fresh.on = m.on;
    fresh.used = m.used;
    fresh.lasting = m.lasting;
    fresh.reserved = m.reserved;
    fresh.reservations = m.reservations;
    fresh.changes = m.changes;
    fresh.change_noted = m.change_noted;
    m = fresh;
  }
}

bool Model::has_image(const Machine& m, ImageIndex image) {
  return std::find(m.images.begin(), m.images.end(), image) != m.images.end();
}

void Model::image_used(Machine& m, const JobSpec& spec) {
  if (!spec.image.valid()) return;  // a placement record that came before its job's
  if (image_gb.size() <= spec.image.v) image_gb.resize(spec.image.v + 1, 0);
  image_gb[spec.image.v] = spec.image_gb;
  auto it = std::find(m.images.begin(), m.images.end(), spec.image);
  if (it != m.images.end()) m.images.erase(it);
  m.images.push_back(spec.image);
  // The machine keeps the most recently used ones that its cache holds.
  double room = m.rec.type.valid() && m.rec.type.v < catalog.size() ? catalog[m.rec.type.v].cache_gb : 0;
  std::size_t keep = m.images.size();
  for (; keep > 0; --keep) {
    room -= image_gb[m.images[keep - 1].v];
    if (room < 0) break;
  }
  m.images.erase(m.images.begin(),
                 m.images.begin() + static_cast<std::ptrdiff_t>(std::min(keep, m.images.size() - 1)));
}

void Model::add_placement(Job& j, const PlacedTask& t, JobIndex index, Seconds now) {
  Placement p;
  p.task = t.task;
  p.job = index;
  p.machine = t.machine;
  p.attempt = t.attempt;
  p.restarting = t.restarting;
  p.known_at = now;
  p.placed_at_s = t.at_s;
  j.placed.emplace(t.task, p);
  Machine& m = edit_machine(t.machine);
  m.on.push_back({index, t.task});
  m.up = true;
  occupy(j, p, 1);
  image_used(m, j.spec);
  if (j.phase == JobPhase::cancelled) set_state(j.placed.at(t.task), PlacementState::stopping, now);
}

void Model::occupy(const Job& j, const Placement& p, int sign) {
  Machine& m = edit_machine(p.machine);
  m.used += sign * j.spec.need;
  if (j.spec.shape == Shape::service) m.lasting += static_cast<std::uint32_t>(sign);
  if (j.spec.part.valid()) team_use_[j.spec.part.v] += sign * j.spec.need;
  if (sign < 0) freed_ += j.share;
}

void Model::remove_placement(Job& j, std::map<TaskNo, Placement>::iterator it, Seconds now) {
  Machine& m = edit_machine(it->second.machine);
  JobIndex index = it->second.job;
  TaskNo task = it->first;
  if (!is_off(it->second.state)) occupy(j, it->second, -1);
  m.on.erase(std::remove_if(m.on.begin(), m.on.end(),
                            [&](const TaskId& id) { return id.job == index && id.task == task; }),
             m.on.end());
  if (m.on.empty()) {
    m.used = {};  // sums of decimals must not drift
    m.idle_since = now;
  }
  j.placed.erase(it);
}

void Model::apply(const Change& change, Stamp stamp, Seconds now) {
  if (const auto* k = std::get_if<JobKey>(&change.key)) {
    apply_job(k->job, std::get_if<JobRecord>(&change.value), stamp, now);
  } else if (const auto* c = std::get_if<ChunkKey>(&change.key)) {
    apply_chunk(*c, std::get_if<ChunkRecord>(&change.value), stamp, now);
  } else if (const auto* m = std::get_if<MachineKey>(&change.key)) {
    apply_machine(m->machine, std::get_if<MachineRecord>(&change.value), stamp, now);
  } else if (const auto* p = std::get_if<ClaimKey>(&change.key)) {
    Claim& claim = claims_[p->part.v];
    if (const auto* rec = std::get_if<ClaimRecord>(&change.value)) {
      claim = {*rec, stamp, now};
    } else {
      claim = {};
    }
    SPDLOG_INFO("part {} is held by {} since revision {}", names.parts.name(p->part),
                claim.stamp ? claim.rec.node : "nobody", stamp);
  } else if (const auto* n = std::get_if<NodeKey>(&change.key)) {
    if (const auto* rec = std::get_if<ClaimRecord>(&change.value)) {
      auto [it, fresh] = nodes_.try_emplace(n->node, LiveNode{*rec, now});
      if (!fresh && it->second.rec.hold != rec->hold) it->second = {*rec, now};
    } else {
      nodes_.erase(n->node);
    }
  } else if (const auto* a = std::get_if<AgreedKey>(&change.key)) {
    if (const auto* rec = std::get_if<AgreedRecord>(&change.value)) {
      agreed[a->name] = {*rec, stamp};
    } else {
      agreed.erase(a->name);
    }
  } else {
    apply_money(change, stamp);
  }
}

Advice Model::advice(JobIndex j) const {
  Advice a;
  if (counsel != nullptr) counsel->advise(j, a);
  return a;
}

std::uint32_t Model::placeable(JobIndex ji) const {
  const Job& j = job(ji);
  std::uint32_t pending = j.pending();
  if (pending == 0 || counsel == nullptr) return pending;
  std::uint32_t most = advice(ji).most;
  auto placed = static_cast<std::uint32_t>(j.placed.size());
  return most <= placed ? 0 : std::min(pending, most - placed);
}

void Model::apply_money(const Change& change, Stamp stamp) {
  if (const auto* b = std::get_if<BidKey>(&change.key)) {
    if (const auto* rec = std::get_if<BidRecord>(&change.value)) {
      money.bids[b->name] = {*rec, stamp};
    } else {
      money.bids.erase(b->name);
    }
  } else if (std::holds_alternative<LedgerKey>(change.key)) {
    const auto* rec = std::get_if<LedgerRecord>(&change.value);
    money.ledger =
        rec != nullptr ? MoneyTables::Entry<LedgerRecord>{*rec, stamp} : MoneyTables::Entry<LedgerRecord>{};
  } else if (const auto* m = std::get_if<MarketKey>(&change.key)) {
    if (const auto* rec = std::get_if<MarketRecord>(&change.value)) {
      money.markets[m->market] = {*rec, stamp};
    } else {
      money.markets.erase(m->market);
    }
  }
}

void Model::apply_job(JobIndex index, const JobRecord* rec, Stamp stamp, Seconds now) {
  Job& j = job(index);
  if (rec == nullptr) {
    if (j.spec.part.valid()) live_[j.spec.part.v].erase(index);
    j.stamp = 0;
    if (j.phase == JobPhase::open) j.phase = JobPhase::cancelled;  // gone from the tables: nothing may start
    drop_if_empty(index);
    return;
  }
  bool fresh = j.stamp == 0;
  if (fresh) {
    // Placement records may have come first; their use is counted once the job is known.
    j.spec = rec->spec;
    j.busy.assign((j.spec.tasks + 63) / 64, 0);
    for (auto& [c, chunk] : j.chunks) {
      if (c < j.busy.size()) j.busy[c] = chunk.done;
    }
    for (auto& [t, p] : j.placed) {
      if (t < j.spec.tasks) j.busy[t / 64] |= 1ULL << (t % 64);
      if (!is_off(p.state)) occupy(j, p, 1);
      image_used(edit_machine(p.machine), j.spec);
    }
    // A job that was accepted while nobody listened has waited since then, not since it was read.
    double age = wall_ahead != 0 ? now + wall_ahead - j.spec.submitted_at : 0;
    j.first_seen = age > late_reading_s ? now - std::min(age, longest_wait_s) : now;
    j.share = share_of_machine(j.spec);
    live_[j.spec.part.v].insert(index);
    SPDLOG_INFO("job {}: known, {} of {} tasks", j.spec.ref, name_of(j.spec.shape), j.spec.tasks);
  }
  j.stamp = stamp;
  if (j.phase != rec->phase)
    SPDLOG_INFO("job {}: {} -> {}", j.spec.ref, name_of(j.phase), name_of(rec->phase));
  j.phase = rec->phase;
  if (j.phase == JobPhase::cancelled) {
    for (auto& [t, p] : j.placed) {
      p.wind_down_s = 0;
      if (p.state != PlacementState::finished && p.state != PlacementState::gone) {
        set_state(p, PlacementState::stopping, now);
        kick.insert(p.machine);
      }
    }
  }
  dirty.insert(index);
}

void Model::apply_chunk(const ChunkKey& key, const ChunkRecord* rec, Stamp stamp, Seconds now) {
  Job& j = job(key.job);
  Chunk& c = j.chunks[key.chunk];
  static const ChunkRecord empty;
  const ChunkRecord& r = rec != nullptr ? *rec : empty;
  TaskNo first = key.chunk * chunk_tasks;
  auto in_record = [&r](const Placement& p) {
    return std::any_of(r.placed.begin(), r.placed.end(), [&p](const PlacedTask& t) {
      return t.task == p.task && t.attempt == p.attempt && t.machine == p.machine;
    });
  };
  for (auto it = j.placed.lower_bound(first); it != j.placed.end() && it->first < first + chunk_tasks;) {
    auto here = it++;
    if (!in_record(here->second)) remove_placement(j, here, now);
  }
  std::uint64_t busy = r.done;
  for (const PlacedTask& t : r.placed) {
    auto it = j.placed.find(t.task);
    if (it == j.placed.end()) {
      add_placement(j, t, key.job, now);
    } else {
      it->second.restarting = t.restarting;
    }
    busy |= 1ULL << (t.task % 64);
  }
  if (rec != nullptr) {
    j.done += static_cast<std::uint32_t>(__builtin_popcountll(r.done)) -
              static_cast<std::uint32_t>(__builtin_popcountll(c.done));
    c = {stamp, r.done, r.restarted, r.finishes};
    for (const auto& [t, s] : r.saved) j.saved[t] = progress::merged(j.saved[t], s);
    if (key.chunk < j.busy.size()) {
      j.busy[key.chunk] = busy;
      j.scan_from = std::min(j.scan_from, key.chunk);
    }
  } else {
    j.chunks.erase(key.chunk);
  }
  dirty.insert(key.job);
  drop_if_empty(key.job);
}

void Model::drop_if_empty(JobIndex index) {
  auto it = jobs_.find(index.v);
  if (it == jobs_.end()) return;
  Job& j = it->second;
  if (j.stamp != 0 || !j.chunks.empty() || !j.placed.empty()) return;
  dirty.erase(index);
  job_names_.erase(j.spec.ref);
  jobs_.erase(it);
}

void Model::list_by_partition(MachineIndex m, const MachineRecord& rec) {
  part_machines_[rec.part.v].insert(m);
  bool comes = rec.wanted_by.valid() && rec.wanted_by != rec.part && rec.mark == MachineMark::none;
  if (comes) wanted_[rec.wanted_by.v].insert(m);
}

void Model::unlist(MachineIndex m, const MachineRecord& rec) {
  part_machines_[rec.part.v].erase(m);
  if (rec.wanted_by.valid()) wanted_[rec.wanted_by.v].erase(m);
}

void Model::apply_machine(MachineIndex index, const MachineRecord* rec, Stamp stamp, Seconds now) {
  Machine& m = edit_machine(index);
  if (m.stamp != 0) unlist(index, m.rec);
  if (rec == nullptr) {
    // The record goes only after the cloud confirmed the deletion: everything on the machine is gone.
    for (TaskId id : m.on) {
      Placement* p = edit_placement(id);
      if (p != nullptr && p->state != PlacementState::finished) {
        p->cause = EndCause::none;
        set_state(*p, PlacementState::gone, now);
      }
    }
    m.stamp = 0;
    set_state(index, MachineState::unknown, now);
    return;
  }
  bool moved = m.stamp == 0 || m.rec.part != rec->part;
  if (m.stamp == 0) {
    m.known_since = now;
    m.up = m.up || rec->up;
  } else if (moved) {
    m.up = true;
  }
  m.rec = *rec;
  m.stamp = stamp;
  list_by_partition(index, *rec);
  if (rec->mark == MachineMark::deleting) {
    set_state(index, MachineState::deleting, now);
  } else if (moved) {
    m.part_since = m.idle_since = now;
    m.taken_over = false;
    m.last_answered = -1;
    m.first_report = -1;
    m.tenure = m.serial = m.first_token = m.unheard = 0;
    // A machine is moved only with nothing possibly on it, so there is nothing to account for.
    set_state(index, m.on.empty() ? MachineState::expected : MachineState::unaccounted, now);
  }
}

void Model::take_over(PartIndex part, Seconds now) {
  for (MachineIndex i : part_machines_[part.v]) {
    Machine& m = edit_machine(i);
    m.last_answered = -1;
    m.first_report = -1;
    m.tenure = m.serial = 0;  // reports held back from an earlier term must not pass for news
    m.first_token = m.unheard = 0;
    m.placed_at = 0;  // an owner in between may have moved it: the claim's stamp is higher
    m.part_since = m.idle_since = now;
    m.taken_over = true;
    if (m.state != MachineState::deleting) {
      set_state(i, m.on.empty() ? MachineState::expected : MachineState::unaccounted, now);
    }
    for (TaskId id : m.on) {
      Placement* p = edit_placement(id);
      if (p == nullptr) continue;
      p->taken_over = true;
      p->started_at = now;
      // Its predecessor's clock goes on where the record tells when it was placed: a little late, since the
      // start order followed later and clocks differ. (Begun anew, what takes over flags later than an
      // unbroken owner, and what then finishes would count as short, and flag others too early.)
      double since = job(id.job).spec.submitted_at;
      if (settings.progress.enabled && p->placed_at_s >= 0 && wall_ahead != 0 && since > 0) {
        double late = settings.report_s + late_reading_s;
        double elapsed = now + wall_ahead - since - p->placed_at_s - late;
        p->started_at = std::max(1e-3, now - std::max(0.0, elapsed));
        // Has begun, as its earlier owner saw: after a crash of all controllers every old job looked as if it
        // never had, and one that really had not waited behind hundreds (374 s, with 250 machines lost).
        if (elapsed > longest_fetch(*this, job(id.job).spec) + begun_after_s)
          note_begun(job(id.job), p->task);
      }
      p->sent_serial = p->sent_tenure = 0;
      p->want_restart = false;
      // What this node knew from an earlier term is void: an owner in between may have started it again.
      bool stop = p->restarting || job(id.job).phase == JobPhase::cancelled;
      p->wind_down_s = job(id.job).phase == JobPhase::cancelled ? 0 : job(id.job).spec.flush_s;
      set_state(*p, stop ? PlacementState::stopping : PlacementState::placed, now);
    }
  }
  for (JobIndex ji : live_[part.v]) {
    dirty.insert(ji);
    if (settings.progress.enabled) {
      Job& j = job(ji);
      std::vector<progress::Finish> finishes;
      for (const auto& [c, chunk] : j.chunks)
        finishes.insert(finishes.end(), chunk.finishes.begin(), chunk.finishes.end());
      j.finished_times = progress::in_order(std::move(finishes));
      j.baseline = -1;
      j.finished_as.clear();
      // What has saved progress has begun; of a gang all of it.
      for (const auto& [t, s] : j.saved) {
        if (!s.any()) continue;
        for (TaskNo of = t; of < (j.spec.shape == Shape::gang ? j.spec.tasks : t + 1); ++of)
          note_begun(j, of);
      }
    }
    // A placement is written only beside its machine's record, and the record goes only once the machine is
    // gone for certain. The earlier owner knew that but may have ended before it wrote so: without this the
    // task would wait for ever for a machine that nobody can hear or delete.
    for (auto& [t, p] : job(ji).placed) {
      if (machine(p.machine).stamp != 0) continue;
      p.cause = EndCause::none;
      set_state(p, PlacementState::gone, now);
    }
  }
}

}  // namespace oxbowmill
