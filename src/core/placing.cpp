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
constexpr double gather_from_share = 0.35;  // of the changes a second, written by this owner alone

/// It still takes up its room, but not for long. (What is off already has left it.)
bool is_leaving(const Placement& p) {
  return p.state == PlacementState::stopping;
}

}  // namespace

std::vector<Bin> Scheduler::bins_of(PartIndex part, Seconds now) const {
  std::vector<Bin> bins;
  for (MachineIndex mi : model_.machines_of(part)) {
    const Machine& m = model_.machine(mi);
    if (m.recalled || m.writing || m.rec.wanted_by.valid()) continue;
    if (m.blocked_until > now || m.faulty_until > now) continue;
    // A machine just handed over reports here within moments: its tasks may be placed already.
    bool arriving = m.state == MachineState::expected && m.up && now - m.part_since < arrival_s();
    // A machine that has missed reports may be gone: nothing new goes there until it speaks again.
    bool speaking =
        m.state == MachineState::ready && now - m.last_answered < 2.5 * model_.settings.report_s + 1;
    if ((!arriving && !speaking) || dark(m.rec.zone, now)) continue;
    bins.push_back({mi, m.rec.type, m.rec.zone, m.rec.spot, 0, model_.room(m)});
    bins.back().lasting = m.lasting > 0;
    // A member that gave up waiting has its image here and comes back as soon as its end is durable. (Taken
    // by another gang in that moment, the machine cost it a second fetch, longer than a gang waits; so gangs
    // with large images began after 340 s.)
    for (TaskId id : m.on) {
      const Placement& p = *model_.find_placement(id);
      if (p.state == PlacementState::gone && p.cause == EndCause::incomplete)
        bins.back().room -= model_.job(id.job).spec.need;
    }
    bins.back().fetching_s = fetching_s(m, now);
  }
  return bins;
}

Seconds Scheduler::fetching_s(const Machine& m, Seconds now) const {
  std::map<ImageIndex, Seconds> left;
  for (TaskId id : m.on) {
    const Placement& p = *model_.find_placement(id);
    const JobSpec& spec = model_.job(id.job).spec;
    if (p.phase != TaskPhase::fetching || is_off(p.state) || !spec.image.valid()) continue;
    Seconds since = p.started_at > 0 ? now - p.started_at : 0;
    left[spec.image] = std::max(0.0, fetch_time(spec, model_.catalog[m.rec.type.v]) - since);
  }
  Seconds sum = 0;
  for (const auto& [image, s] : left) sum += s;
  return sum;
}

Scheduler::Rooms Scheduler::rooms_of(PartIndex part, Seconds now) const {
  const Settings& s = model_.settings;
  Rooms rooms;
  rooms.bins = bins_of(part, now);
  rooms.real = rooms.bins.size();
  for (const Bin& b : rooms.bins) {
    Amounts leaving;
    for (TaskId id : model_.machine(b.machine).on) {
      if (is_leaving(*model_.find_placement(id))) leaving += model_.job(id.job).spec.need;
    }
    rooms.leaving.push_back(leaving);
  }
  auto add = [&](MachineIndex mi, const Machine& m, Seconds wait) {
    rooms.bins.push_back({mi, m.rec.type, m.rec.zone, m.rec.spot, wait, Amounts{}});
    rooms.leaving.push_back(model_.catalog[m.rec.type.v].room);
  };
  for (MachineIndex mi : model_.machines_of(part)) {
    const Machine& m = model_.machine(mi);
    Seconds boot = model_.catalog[m.rec.type.v].boot_s, age = now - m.known_since;
    bool booting = m.state == MachineState::expected && !m.up && m.on.empty() && age < 2 * boot;
    if (booting && !m.rec.wanted_by.valid() && !dark(m.rec.zone, now))
      add(mi, m, std::max(s.report_s, boot - age));
  }
  for (std::uint32_t p = 1; p < model_.parts(); ++p) {
    if (PartIndex{p} == part) continue;
    for (MachineIndex mi : model_.machines_of(PartIndex{p})) {
      const Machine& m = model_.machine(mi);
      if (m.rec.wanted_by == part && m.rec.mark == MachineMark::none) add(mi, m, hand_over_s);
    }
  }
  return rooms;
}

bool Scheduler::may_make_room(const Job& victim, const Placement& p, const Job& j, Clock clock) const {
  return model_.settings.op.preempt && victim.spec.rank < j.spec.rank && victim.spec.save_every_s > 0 &&
         may_be_stopped(model_, victim, p, clock);
}

std::vector<Bin> Scheduler::foresee(const Job& j, const Rooms& rooms, bool preempting, Clock clock) const {
  std::vector<Bin> bins = rooms.bins;
  for (std::size_t i = 0; i < bins.size(); ++i) {
    Bin& b = bins[i];
    if (fits(j.spec.need, b.room)) continue;
    b.room += rooms.leaving[i];
    if (i >= rooms.real) continue;
    b.wait_s = leave_s;
    if (fits(j.spec.need, b.room) || !preempting) continue;
    for (TaskId id : model_.machine(b.machine).on) {
      const Job& victim = model_.job(id.job);
      const Placement& p = *model_.find_placement(id);
      if (!may_make_room(victim, p, j, clock) || is_leaving(p) || is_off(p.state)) continue;
      b.room += victim.spec.need;
      b.wait_s = std::max(b.wait_s, leave_s + victim.spec.flush_s);
      b.cost = 2;
    }
  }
  see_as(j.spec, model_, bins);
  return bins;
}

void Scheduler::make_room(const Job& j, const std::vector<Choice>& choices, const std::vector<Bin>& bins,
                          Clock clock) {
  std::map<MachineIndex, Amounts> needed;
  for (const Choice& c : choices) needed[bins[c.bin].machine] += j.spec.need;
  for (auto& [mi, need] : needed) {
    const Machine& m = model_.machine(mi);
    if (m.rec.part != j.spec.part) continue;
    Amounts free = model_.room(m);
    for (TaskId id : m.on) {
      if (is_leaving(*model_.find_placement(id))) free += model_.job(id.job).spec.need;
    }
    for (TaskId id : std::vector<TaskId>(m.on)) {
      if (fits(need, free)) break;
      Placement& p = *model_.find_placement(id);
      Job& victim = model_.job(id.job);
      if (!may_make_room(victim, p, j, clock) || is_leaving(p) || is_off(p.state)) continue;
      free += victim.spec.need;
      SPDLOG_DEBUG("task {}/{} makes room for job {}", victim.spec.ref, id.task, j.spec.ref);
      stop(p, victim.spec.flush_s, clock.now);
      if (victim.spec.shape == Shape::gang) check_gang(victim, clock.now);
    }
  }
}

void Scheduler::plan(JobIndex ji, const std::vector<Choice>& choices, const std::vector<Bin>& bins,
                     std::map<JobIndex, std::vector<PlacedTask>>& planned) {
  Job& j = model_.job(ji);
  bool gang = j.spec.shape == Shape::gang;
  PartIndex part = j.spec.part;
  Attempt shared = !gang ? 0 : j.placed.empty() ? next_attempt(part) : j.placed.begin()->second.attempt;
  // What exceeds one transaction follows in the next; the rest of a large gang as missing members.
  std::set<MachineIndex> machines;
  std::set<std::uint32_t> chunks;
  for (const Choice& c : choices) {
    machines.insert(bins[c.bin].machine);
    chunks.insert(c.task / chunk_tasks);
    if (machines.size() > most_machines(model_.settings) || chunks.size() > most_chunks(model_.settings))
      break;
    planned[ji].push_back({c.task, bins[c.bin].machine, gang ? shared : next_attempt(part), false});
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

std::vector<TaskNo> Scheduler::leave_whole_ones(const Job& j, Rooms& rooms, std::vector<Bin>& bins,
                                                std::vector<TaskNo> tasks, Seconds now) const {
  // Gangs wait for whole ordinary machines, and each short task on one keeps them from it. Work that may run
  // on cheap machines leaves them alone while cheap ones are asked for or on their way.
  if (j.spec.shape != Shape::array || !j.spec.spot) return tasks;
  auto cheap_will_do = [&](const Bin& b) { return fills_cheaply(j.spec, model_.catalog[b.type.v]); };
  std::size_t elsewhere = 0, coming = 0;
  for (std::size_t i = 0; i < bins.size(); ++i) {
    Bin& b = bins[i];
    if (!allowed_on(j.spec, b.type, b.zone, b.spot) || !cheap_will_do(b)) continue;
    if (i >= rooms.real) {
      if (b.spot) coming += static_cast<std::size_t>(how_many_fit(j.spec.need, rooms.leaving[i]));
      continue;
    }
    b.shut = !b.spot && is_whole(b, model_.catalog[b.type.v]);
    if (!b.shut) elsewhere += static_cast<std::size_t>(how_many_fit(j.spec.need, b.room));
  }
  if (tasks.size() <= elsewhere) return tasks;
  if (now - j.first_seen >= model_.settings.op.rent_patience_s && tasks.size() > elsewhere + coming) {
    // More than comes: what is left over may have the whole ones.
    for (Bin& b : bins) b.shut = false;
    return tasks;
  }
  // The rest waits for what comes, and those behind it see that room as taken.
  std::size_t rest = tasks.size() - elsewhere;
  for (std::size_t i = rooms.real; i < bins.size() && rest > 0; ++i) {
    if (!bins[i].spot || !allowed_on(j.spec, bins[i].type, bins[i].zone, true)) continue;
    while (rest > 0 && fits(j.spec.need, rooms.leaving[i])) {
      rooms.leaving[i] -= j.spec.need;
      --rest;
    }
  }
  tasks.resize(elsewhere);
  return tasks;
}

void Scheduler::place(PartIndex part, Clock clock, bool thorough,
                      std::map<JobIndex, std::vector<PlacedTask>>& planned) {
  auto order = waiting_order(model_, part, clock);
  if (order.empty()) return;
  // Of a gang that is not in the order an earlier attempt has yet to end.
  for (JobIndex ji : model_.live_jobs(part)) model_.job(ji).waits_for = WaitCause::attempt;
  for (const Waiting& w : order) model_.job(w.job).waits_for = WaitCause::turn;
  Rooms rooms = rooms_of(part, clock.now);
  const Team& team = model_.settings.teams[part.v];
  auto quota = [](double most, double used) { return most > 0 ? most - used : 1e12; };
  Amounts use = model_.team_use(part);  // all that is possibly on a machine, with what is being written
  Amounts left{quota(team.most.cpus, use.cpus), quota(team.most.gpus, use.gpus), 1e12};
  bool spare_whole = needs_whole_machines(part);
  for (const Waiting& waiting : order) {
    JobIndex ji = waiting.job;
    Job& j = model_.job(ji);
    auto waits_for = [&j](WaitCause c) { j.waits_for = c; };
    if (j.writing || clock.now < j.write_after) {
      waits_for(WaitCause::transaction);
      continue;
    }
    if (clock.now < j.place_after) {
      waits_for(WaitCause::pause);
      continue;
    }
    bool gang = j.spec.shape == Shape::gang;
    std::size_t most = std::min<std::size_t>(model_.placeable(ji),
                                             static_cast<std::size_t>(how_many_fit(j.spec.need, left)));
    if (most == 0 || (gang && most < j.pending())) {
      waits_for(WaitCause::limit);
      continue;
    }
    auto tasks = model_.pending_tasks(j, most);
    auto by_zone = tasks_by_zone(model_, j);
    bool preempting = model_.settings.op.preempt && j.spec.rank > Rank::low && thorough;
    std::vector<Bin> bins = rooms.bins;
    see_as(j.spec, model_, bins, waiting.promise != Promise::ample);
    if (spare_whole && waiting.promise == Promise::ample)
      tasks = leave_whole_ones(j, rooms, bins, tasks, clock.now);
    if (tasks.empty()) {
      waits_for(WaitCause::cheap);
      continue;
    }
    auto choices = choose(j.spec, tasks, bins, by_zone);
    Seconds start = last_start(choices, bins);
    // A gang is not only whole or nothing: while the rest of its machines are sure to come, its members
    // fetch and wait on those that are there. Otherwise smaller jobs would take these one by one. And a
    // machine that has the image may start it sooner than one that is free.
    if (gang && (choices.empty() || start > worth_looking_s)) {
      for (bool others : {false, true}) {
        if (others && !preempting) continue;
        std::vector<Bin> seen = foresee(j, rooms, others, clock);
        auto better = choose(j.spec, tasks, seen, by_zone);
        if (better.empty() || (!choices.empty() && last_start(better, seen) + leave_s > start)) continue;
        choices = std::move(better);
        start = last_start(choices, seen);
        bins = std::move(seen);
      }
    } else if (choices.size() < tasks.size() && preempting) {
      std::vector<Bin> seen = foresee(j, rooms, false, clock);
      std::size_t soon = choose(j.spec, tasks, seen, by_zone).size();
      seen = foresee(j, rooms, true, clock);
      auto more = choose(j.spec, tasks, seen, by_zone);
      if (more.size() > soon) make_room(j, more, seen, clock);
    }
    if (choices.empty()) {
      waits_for(WaitCause::room);
      if (gang && !j.placed.empty()) let_go_if_stranded(j, clock.now);
      continue;
    }
    j.stranded_since = -1;
    // The leader may know machines with the image that other work of lower rank holds: it gets a moment to
    // ask for them before a long fetch begins.
    bool look_first = gang && j.spec.rank >= Rank::high && start > worth_looking_s && j.placed.empty() &&
                      model_.settings.op.preempt && clock.now - j.first_seen < leader_looks_s;
    if (gang && preempting && !look_first) make_room(j, choices, bins, clock);
    left -= static_cast<double>(choices.size()) * j.spec.need;
    std::vector<Choice> here;
    for (const Choice& c : choices) {
      bool there = !look_first && c.bin < rooms.real && fits(j.spec.need, rooms.bins[c.bin].room);
      if (there) here.push_back(c);
      bool held = there || (look_first && fits(j.spec.need, rooms.bins[c.bin].room));
      (held ? rooms.bins[c.bin].room : rooms.leaving[c.bin]) -= j.spec.need;
      // Its fetch, which those behind it would share.
      if (there && bins[c.bin].start_s > 0) rooms.bins[c.bin].fetching_s += bins[c.bin].start_s;
      if (there && j.spec.shape == Shape::service) rooms.bins[c.bin].lasting = true;
    }
    // Machines that come one by one would cost a change each: what is there is held, and written together.
    bool gathers =
        here.size() < tasks.size() && busy(gather_from_share) && clock.now - j.planned_at < gather_s;
    waits_for(look_first                     ? WaitCause::leader
              : gathers                      ? WaitCause::changes
              : here.size() < choices.size() ? WaitCause::coming
              : here.size() < tasks.size()   ? WaitCause::room
                                             : WaitCause::transaction);
    if (gathers || here.empty()) continue;
    j.planned_at = clock.now;
    plan(ji, here, rooms.bins, planned);
  }
}

}  // namespace oxbowmill
