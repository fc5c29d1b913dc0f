// The scheduler's placing: which waiting tasks go where, what makes room for them and how gangs gather.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "oxbowmill/core/scheduler.h"

namespace oxbowmill {

namespace {

constexpr double leave_s = 1.5;        // from the stop of a task that has saved to a start in its room
constexpr double hand_over_s = 4;      // until a machine that another part drains for us reports here
constexpr double worth_looking_s = 5;  // a gang that would start later than this is worth a second look
constexpr double leader_looks_s = 0.7;
constexpr double gather_s = 1.5;  // between two changes that place parts of a job, while changes are scarce
constexpr std::size_t most_failures = 64;
constexpr Seconds never = std::numeric_limits<double>::infinity();
constexpr double gather_from_share = 0.35;  // of the changes a second, written by this owner alone

/// It still takes up its room, but not for long. (What is off already has left it.)
bool is_leaving(const Placement& p) {
  return p.state == PlacementState::stopping;
}

}  // namespace

SelectionQuery Scheduler::query_for(const Job& j, Seconds now) const {
  SelectionQuery query;
  query.spec = &j.spec;
  for (std::uint32_t z = 0; z < model_.names.zones.size(); ++z)
    query.unreachable.push_back(dark(ZoneIndex{z}, now));
  query.fetch_backlog_s = [this, now](MachineIndex m) { return capacity_.fetch_backlog_s(m, now); };
  return query;
}

std::vector<Scheduler::ForecastNode> Scheduler::forecast_of(PartIndex part, Seconds now) {
  std::vector<ForecastNode> forecast;
  auto add = [&](MachineIndex mi, Seconds wait) {
    const Machine& m = model_.machine(mi);
    forecast.push_back(
        {{mi, m.rec.type, m.rec.zone, m.rec.spot, wait, Amounts{}}, model_.catalog[m.rec.type.v].room});
  };
  const FreeCapacity& capacity = capacity_.of(part);
  for (MachineIndex mi : capacity.booting()) {
    if (!dark(model_.machine(mi).rec.zone, now))
      add(mi, std::max(model_.settings.report_s, capacity.find(mi)->up_at - now));
  }
  for (MachineIndex mi : model_.machines_wanted_by(part)) add(mi, hand_over_s);
  return forecast;
}

bool Scheduler::may_make_room(const Job& victim, const Placement& p, const Job& j, Clock clock) const {
  return model_.settings.op.preempt && victim.spec.rank < j.spec.rank && victim.spec.save_every_s > 0 &&
         may_be_stopped(model_, victim, p, clock);
}

std::vector<CandidateNode> Scheduler::forecast_for(const Job& j, const Cycle& cycle, bool preempting) {
  std::vector<CandidateNode> nodes;
  const FreeCapacity& capacity = *cycle.capacity;
  const Amounts& need = j.spec.need;
  auto lacks_room = [&](MachineIndex mi) {
    const CandidateNode& node = capacity.find(mi)->node;
    return !fits(need, node.room) && !dark(node.zone, cycle.clock.now);
  };
  for (MachineIndex mi : capacity.with_leaving()) {
    if (!lacks_room(mi)) continue;
    nodes.push_back(capacity.find(mi)->node);
    nodes.back().room += capacity.find(mi)->leaving;
    nodes.back().wait_s = leave_s;
  }
  for (const ForecastNode& f : cycle.forecast) {
    nodes.push_back(f.node);
    nodes.back().room = f.coming;
  }
  if (!preempting) {
    see_as(j.spec, model_, nodes);
    return nodes;
  }
  for (MachineIndex mi : capacity.preemptible()) {
    const MachineCapacity& offer = *capacity.find(mi);
    if (offer.lowest_rank >= j.spec.rank || !lacks_room(mi)) continue;
    if (fits(need, offer.node.room + offer.leaving)) continue;
    CandidateNode node = offer.node;
    node.room += offer.leaving;
    node.wait_s = leave_s;
    add_victims(j, node, cycle.clock);
    if (fits(need, node.room)) nodes.push_back(node);
  }
  see_as(j.spec, model_, nodes);
  return nodes;
}

void Scheduler::add_victims(const Job& j, CandidateNode& node, Clock clock) const {
  for (TaskId id : model_.machine(node.machine).on) {
    const Job& victim = model_.job(id.job);
    const Placement& p = *model_.find_placement(id);
    if (!may_make_room(victim, p, j, clock) || is_leaving(p) || is_off(p.state)) continue;
    node.room += victim.spec.need;
    node.wait_s = std::max(node.wait_s, leave_s + victim.spec.flush_s);
    node.cost = 2;
  }
}

void Scheduler::make_room(const Job& j, const Selection& selection, Clock clock) {
  std::map<MachineIndex, Amounts> needed;
  for (const Choice& c : selection.choices) needed[selection.nodes[c.node].machine] += j.spec.need;
  for (auto& [mi, need] : needed) {
    const Machine& m = model_.machine(mi);
    if (m.rec.part != j.spec.part) continue;
    Amounts free = model_.room(m);
    for (TaskId id : m.on) {
      if (is_leaving(*model_.find_placement(id))) free += model_.job(id.job).spec.need;
    }
    for (TaskId id : std::vector<TaskId>(m.on)) {
      if (fits(need, free)) break;
      if (!may_make_room(model_.job(id.job), *model_.find_placement(id), j, clock)) continue;
      Placement& p = *model_.edit_placement(id);
      Job& victim = model_.job(id.job);
      if (is_leaving(p) || is_off(p.state)) continue;
      free += victim.spec.need;
      SPDLOG_DEBUG("task {}/{} makes room for job {}", victim.spec.ref, id.task, j.spec.ref);
      stop(p, victim.spec.flush_s, clock.now);
      if (victim.spec.shape == Shape::gang) check_gang(victim, clock.now);
    }
  }
}

void Scheduler::plan(JobIndex ji, const std::vector<PlacedTask>& here,
                     std::map<JobIndex, std::vector<PlacedTask>>& planned) {
  Job& j = model_.job(ji);
  bool gang = j.spec.shape == Shape::gang;
  PartIndex part = j.spec.part;
  Attempt shared = !gang ? 0 : j.placed.empty() ? next_attempt(part) : j.placed.begin()->second.attempt;
  // What exceeds one transaction follows in the next; the rest of a large gang as missing members.
  std::set<MachineIndex> machines;
  std::set<std::uint32_t> chunks;
  for (PlacedTask task : here) {
    machines.insert(task.machine);
    chunks.insert(task.task / chunk_tasks);
    if (machines.size() > most_machines(model_.settings) || chunks.size() > most_chunks(model_.settings))
      break;
    task.attempt = gang ? shared : next_attempt(part);
    planned[ji].push_back(task);
  }
}

void Scheduler::let_go_if_stranded(Job& j, Seconds now) {
  // Two gangs that each hold half of what both need would hold it for ever.
  if (j.stranded_since < 0) j.stranded_since = now;
  if (now - j.stranded_since < model_.settings.gang_wait_s) return;
  SPDLOG_INFO("job {}: its missing members have nowhere to go; the others let go", j.spec.ref);
  j.stranded_since = -1;
  for (auto& [t, p] : j.placed) stop(p, 0, now);
}

bool Scheduler::needs_whole_machines(PartIndex part) const {
  const auto& live = model_.live_jobs(part);
  return std::any_of(live.begin(), live.end(), [this](JobIndex ji) {
    const Job& j = model_.job(ji);
    return j.spec.shape == Shape::gang && j.share > 0.5;
  });
}

std::vector<TaskNo> Scheduler::leave_whole_ones(const Job& j, Cycle& cycle, SelectionQuery& query,
                                                std::vector<TaskNo> tasks) {
  // Gangs wait for whole ordinary machines, and each short task on one keeps them from it. Work that may run
  // on cheap machines leaves them alone while cheap ones are asked for or on their way.
  if (j.spec.shape != Shape::array || !j.spec.spot) return tasks;
  auto will_do = [&](const CandidateNode& node) {
    return node.spot && allowed_on(j.spec, node.type, node.zone, true);
  };
  query.spare_whole = true;
  std::size_t elsewhere = cycle.capacity->count_cheap_places(query, tasks.size());
  if (tasks.size() <= elsewhere) return tasks;
  std::size_t coming = 0;
  for (const ForecastNode& f : cycle.forecast) {
    if (will_do(f.node) && fills_cheaply(j.spec, model_.catalog[f.node.type.v]))
      coming += static_cast<std::size_t>(how_many_fit(j.spec.need, f.coming));
  }
  bool patient = cycle.clock.now - j.first_seen < model_.settings.op.rent_patience_s;
  if (!patient && tasks.size() > elsewhere + coming) {
    query.spare_whole = false;  // more than comes: what is left over may have the whole ones
    return tasks;
  }
  // The rest waits for what comes, and those behind it see that room as taken.
  std::size_t rest = tasks.size() - elsewhere;
  for (ForecastNode& f : cycle.forecast) {
    if (!will_do(f.node)) continue;
    while (rest > 0 && fits(j.spec.need, f.coming)) {
      f.coming -= j.spec.need;
      --rest;
    }
  }
  tasks.resize(elsewhere);
  return tasks;
}

void Scheduler::place(PartIndex part, Clock clock, bool thorough,
                      std::map<JobIndex, std::vector<PlacedTask>>& planned) {
  capacity_.refresh(clock.now);
  if (checks_capacity_) capacity_.require_consistent(clock.now);
  LastCycle& last = last_cycles_[part.v];
  if (!thorough && is_unchanged(part, last, clock.now)) return;
  last = {capacity_.version(part), never};
  auto order = waiting_order(model_, part, clock);
  if (order.empty()) return;
  // Of a gang that is not in the order an earlier attempt has yet to end.
  for (JobIndex ji : model_.live_jobs(part)) model_.job(ji).waits_for = WaitCause::attempt;
  for (const Waiting& w : order) model_.job(w.job).waits_for = WaitCause::turn;
  Cycle cycle{part,
              clock,
              thorough,
              needs_whole_machines(part),
              &capacity_.of(part),
              forecast_of(part, clock.now),
              quota_left(part),
              {},
              &last,
              &planned};
  for (const Waiting& waiting : order) model_.job(waiting.job).waits_for = place_job(cycle, waiting);
}

bool Scheduler::is_unchanged(PartIndex part, const LastCycle& last, Seconds now) const {
  if (model_.counsel != nullptr || now >= last.wake_at || last.version != capacity_.version(part))
    return false;
  return std::none_of(model_.dirty.begin(), model_.dirty.end(), [&](JobIndex ji) {
    const Job* job = model_.known_job(ji);
    return job != nullptr && job->spec.part == part;
  });
}

Amounts Scheduler::quota_left(PartIndex part) const {
  const Team& team = model_.settings.teams[part.v];
  auto quota = [](double most, double used) { return most > 0 ? most - used : 1e12; };
  Amounts use = model_.team_use(part);  // all that is possibly on a machine, with what is being written
  return {quota(team.most.cpus, use.cpus), quota(team.most.gpus, use.gpus), 1e12};
}

WaitCause Scheduler::place_job(Cycle& cycle, const Waiting& waiting) {
  Job& j = model_.job(waiting.job);
  Seconds now = cycle.clock.now;
  if (j.writing || now < j.write_after) {
    cycle.last->wake_by(j.write_after);
    return WaitCause::transaction;
  }
  if (now < j.place_after) {
    cycle.last->wake_by(j.place_after);
    return WaitCause::pause;
  }
  bool gang = j.spec.shape == Shape::gang;
  std::size_t most = std::min<std::size_t>(
      model_.placeable(waiting.job), static_cast<std::size_t>(how_many_fit(j.spec.need, cycle.quota_left)));
  if (most == 0 || (gang && most < j.pending())) return WaitCause::limit;
  auto tasks = model_.pending_tasks(j, most);
  SelectionQuery query = query_for(j, now);
  query.pressed = waiting.promise != Promise::ample;
  if (cycle.spare_whole && !query.pressed) tasks = leave_whole_ones(j, cycle, query, tasks);
  if (tasks.empty()) return WaitCause::cheap;
  Selection selection = select_nodes(cycle, j, query, tasks);
  if (selection.choices.empty()) {
    if (gang && !j.placed.empty()) let_go_if_stranded(j, now);
    return WaitCause::room;
  }
  j.stranded_since = -1;
  return hold_and_plan(cycle, waiting.job, tasks.size(), selection);
}

Selection Scheduler::select_nodes(Cycle& cycle, const Job& j, const SelectionQuery& query,
                                  const std::vector<TaskNo>& tasks) {
  bool gang = j.spec.shape == Shape::gang;
  bool preempting = model_.settings.op.preempt && j.spec.rank > Rank::low && cycle.thorough;
  if (cycle.failed.covers(j, tasks.size(), query.spare_whole, preempting)) return {};
  auto by_zone = tasks_by_zone(model_, j);
  FreeCapacity& capacity = *cycle.capacity;
  Selection selection = capacity.select(query, tasks, by_zone);
  Seconds start = selection.last_start_s();
  SelectionQuery ahead = query;
  ahead.pressed = ahead.spare_whole = false;
  // A gang is not only whole or nothing: while the rest of its machines are sure to come, its members
  // fetch and wait on those that are there. Otherwise smaller jobs would take these one by one. And a
  // machine that has the image may start it sooner than one that is free.
  if (gang && (selection.choices.empty() || start > worth_looking_s)) {
    for (bool others : {false, true}) {
      if (others && !preempting) continue;
      Selection better = capacity.select(ahead, tasks, by_zone, forecast_for(j, cycle, others));
      if (better.choices.empty()) continue;
      if (!selection.choices.empty() && better.last_start_s() + leave_s > start) continue;
      selection = std::move(better);
      start = selection.last_start_s();
    }
  } else if (selection.choices.size() < tasks.size() && preempting) {
    std::size_t soon = capacity.select(ahead, tasks, by_zone, forecast_for(j, cycle, false)).choices.size();
    Selection more = capacity.select(ahead, tasks, by_zone, forecast_for(j, cycle, true));
    if (more.choices.size() > soon) make_room(j, more, cycle.clock);
    if (!more.choices.empty()) return selection;
  }
  if (selection.choices.empty()) cycle.failed.add(j, tasks.size(), query.spare_whole, preempting);
  return selection;
}

WaitCause Scheduler::hold_and_plan(Cycle& cycle, JobIndex ji, std::size_t wanted,
                                   const Selection& selection) {
  Job& j = model_.job(ji);
  Seconds now = cycle.clock.now;
  bool gang = j.spec.shape == Shape::gang;
  bool preempting = model_.settings.op.preempt && j.spec.rank > Rank::low && cycle.thorough;
  // The leader may know machines with the image that other work of lower rank holds: it gets a moment to
  // ask for them before a long fetch begins.
  bool look_first = gang && j.spec.rank >= Rank::high && selection.last_start_s() > worth_looking_s &&
                    j.placed.empty() && model_.settings.op.preempt && now - j.first_seen < leader_looks_s;
  if (look_first) cycle.last->wake_by(j.first_seen + leader_looks_s);
  if (gang && preempting && !look_first) make_room(j, selection, cycle.clock);
  cycle.quota_left -= static_cast<double>(selection.choices.size()) * j.spec.need;
  std::vector<PlacedTask> here;
  for (const Choice& c : selection.choices) {
    const CandidateNode& node = selection.nodes[c.node];
    if (hold(cycle, j, node, look_first)) here.push_back({c.task, node.machine, 0, false});
  }
  // Machines that come one by one would cost a change each: what is there is held, and written together.
  bool gathers = here.size() < wanted && busy(gather_from_share) && now - j.planned_at < gather_s;
  if (gathers) cycle.last->wake_by(j.planned_at + gather_s);
  if (!gathers && !here.empty()) {
    j.planned_at = now;
    plan(ji, here, *cycle.planned);
  }
  return look_first                               ? WaitCause::leader
         : gathers                                ? WaitCause::changes
         : here.size() < selection.choices.size() ? WaitCause::coming
         : here.size() < wanted                   ? WaitCause::room
                                                  : WaitCause::transaction;
}

bool Scheduler::hold(Cycle& cycle, const Job& j, const CandidateNode& node, bool look_first) {
  FreeCapacity& capacity = *cycle.capacity;
  const MachineCapacity* offer = capacity.find(node.machine);
  bool up = offer != nullptr && !offer->booting;
  if (up && fits(j.spec.need, offer->node.room)) {
    capacity.take(node.machine, j.spec.need);
    if (look_first) return false;
    // Its fetch, which those behind it would share.
    if (node.start_s > 0) capacity.add_fetch(node.machine, node.start_s);
    if (j.spec.shape == Shape::service) capacity.host_service(node.machine);
    return true;
  }
  if (up) {
    capacity.take_leaving(node.machine, j.spec.need);
    return false;
  }
  for (ForecastNode& f : cycle.forecast) {
    if (f.node.machine == node.machine) f.coming -= j.spec.need;
  }
  return false;
}

void FailedSelections::add(const Job& j, std::size_t tasks, bool spare_whole, bool preempting) {
  // Where its other tasks are decides as well; and a long list would cost more than it saves.
  if (!j.placed.empty() || j.spec.scatter || failed_.size() >= most_failures) return;
  failed_.push_back({&j.spec, tasks, spare_whole, preempting});
}

bool FailedSelections::covers(const Job& j, std::size_t tasks, bool spare_whole, bool preempting) const {
  if (!j.placed.empty()) return false;
  const JobSpec& spec = j.spec;
  return std::any_of(failed_.begin(), failed_.end(), [&](const Failure& f) {
    const JobSpec& other = *f.spec;
    bool same = other.types == spec.types && other.zone == spec.zone && other.spot == spec.spot &&
                other.one_zone == spec.one_zone && other.shape == spec.shape && f.spare_whole == spare_whole;
    bool asks_more = other.need.cpus <= spec.need.cpus && other.need.gpus <= spec.need.gpus &&
                     other.need.memory_gb <= spec.need.memory_gb &&
                     (spec.shape != Shape::gang || f.tasks <= tasks);
    bool stops_no_more = !preempting || (f.preempting && other.rank >= spec.rank);
    return same && asks_more && stops_no_more;
  });
}

}  // namespace oxbowmill
