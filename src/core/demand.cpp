// Which machines waiting work gets: those of its own partition, idle ones of the pool, others' by preemption.
#include <algorithm>
#include <cmath>

#include "oxbowmill/core/fleet.h"

namespace oxbowmill {

namespace {
constexpr double drain_s = 4;  // until a machine whose work of lower rank is stopped has been handed over
constexpr double being_placed_s = 1;   // from a job's acceptance until its owner's first placement shows
constexpr double freed_memory_s = 30;  // how far back room that came free speaks for what will
}  // namespace

std::vector<Waiting> Fleet::demand_order(Clock clock, std::set<JobIndex>& guaranteed) const {
  std::vector<Waiting> order;
  for (std::uint32_t p = 1; p < model_.parts(); ++p) {
    PartIndex part{p};
    // A job is within its team's guarantee when it fits into it with the team's earlier unfinished jobs.
    std::vector<JobIndex> by_age;
    for (JobIndex ji : model_.live_jobs(part)) {
      if (model_.job(ji).phase == JobPhase::open) by_age.push_back(ji);
    }
    std::sort(by_age.begin(), by_age.end(), [this](JobIndex a, JobIndex b) {
      return model_.job(a).spec.submitted_at < model_.job(b).spec.submitted_at;
    });
    Amounts left = model_.settings.teams[p].guaranteed;
    bool any = left.cpus > 0 || left.gpus > 0;
    if (left.cpus <= 0) left.cpus = 1e12;
    if (left.gpus <= 0) left.gpus = 1e12;
    left.memory_gb = 1e12;
    for (JobIndex ji : by_age) {
      const JobSpec& spec = model_.job(ji).spec;
      Amounts all = static_cast<double>(spec.tasks) * spec.need;
      if (!any || !fits(all, left)) break;
      left -= all;
      guaranteed.insert(ji);
    }
    auto waiting = waiting_order(model_, part, clock);
    order.insert(order.end(), waiting.begin(), waiting.end());
  }
  std::stable_sort(order.begin(), order.end(), [&](const Waiting& a, const Waiting& b) {
    bool ga = guaranteed.count(a.job) != 0, gb = guaranteed.count(b.job) != 0;
    if (ga != gb) return ga;
    bool la = a.promise == Promise::lifted, lb = b.promise == Promise::lifted;
    if (la || lb) return la && !lb;
    return model_.job(a.job).spec.rank > model_.job(b.job).spec.rank;
  });
  return order;
}

std::vector<CandidateNode> Fleet::part_bins(PartIndex part, Seconds now) const {
  std::vector<CandidateNode> bins;
  auto add = [&](MachineIndex mi, TypeIndex type, ZoneIndex zone, bool spot, bool up, const Amounts& room,
                 Seconds age = 0) {
    const MachineType& t = model_.catalog[type.v];
    Seconds wait = up ? 0 : std::max(model_.settings.report_s, t.boot_s - age);
    bins.push_back({mi, type, zone, spot, wait, room});
  };
  for (std::uint32_t p = 1; p < model_.parts(); ++p) {
    for (MachineIndex mi : model_.machines_of(PartIndex{p})) {
      const Machine& m = model_.machine(mi);
      if (m.state == MachineState::deleting || m.failed_listed || m.recalled) continue;
      if (scheduler_.dark(m.rec.zone, now) || (gate_ != nullptr && gate_->suspected(mi))) continue;
      // One that takes far too long may never come: what waits for it must not wait for ever.
      if (!m.up && now - m.known_since > 2 * model_.catalog[m.rec.type.v].boot_s) continue;
      if (m.rec.wanted_by.valid() ? m.rec.wanted_by != part : PartIndex{p} != part) continue;
      Amounts room = m.rec.wanted_by.valid() ? model_.catalog[m.rec.type.v].room : model_.room(m);
      add(mi, m.rec.type, m.rec.zone, m.rec.spot, m.up, room, now - m.known_since);
      bins.back().lasting = m.lasting > 0;
    }
  }
  for (const auto& [name, a] : adopt_) {
    const MachineRecord& rec = a.rec;
    if (rec.part == part) add({}, rec.type, rec.zone, rec.spot, rec.up, model_.catalog[rec.type.v].room);
  }
  if (source_ != nullptr) {
    for (const MachineSource::Expected& e : source_->expected(part, now)) {
      for (std::uint32_t i = 0; i < e.machines; ++i)
        bins.push_back({{}, e.type, e.zone, e.spot, e.wait_s, model_.catalog[e.type.v].room});
    }
  }
  for (const auto& [name, r] : rents_) {
    auto count = std::count(r.order.parts.begin(), r.order.parts.end(), part);
    for (std::ptrdiff_t i = 0; i < count; ++i) {
      add({}, r.order.type, r.order.zone, r.order.spot, false, model_.catalog[r.order.type.v].room);
    }
  }
  return bins;
}

std::vector<CandidateNode> Fleet::victims(const Job& j, bool guaranteed, Clock clock) const {
  std::vector<CandidateNode> bins;
  for (std::uint32_t p = 1; p < model_.parts(); ++p) {
    PartIndex other{p};
    if (other == j.spec.part) continue;
    const Amounts& own = model_.settings.teams[p].guaranteed;
    const Amounts& use = model_.team_use(other);
    // Work beyond a team's own guarantee may be stopped to give another team its guarantee; lower rank
    // always.
    bool beyond = guaranteed && use.gpus > own.gpus + amount_slack && use.cpus > own.cpus + amount_slack;
    for (MachineIndex mi : model_.machines_of(other)) {
      const Machine& m = model_.machine(mi);
      // Asked for by another job in this very pass: once is enough.
      bool asked = std::any_of(moves_.begin(), moves_.end(), [mi](const auto& x) { return x.first == mi; });
      if (m.state == MachineState::deleting || m.writing || m.rec.wanted_by.valid() || !m.up || asked ||
          m.failed_listed || (gate_ != nullptr && gate_->suspected(mi))) {
        continue;
      }
      // An empty machine was handed over for work that is about to start there, or comes back by itself.
      bool may = !m.on.empty();
      for (TaskId id : m.on) {
        const Job* v = model_.live_job(id.job);
        may = may && v != nullptr && (v->spec.rank < j.spec.rank || beyond) &&
              v->spec.shape == Shape::array && v->spec.save_every_s > 0 &&
              // A guarantee is kept all the same.
              (guaranteed || may_be_stopped(model_, *v, *model_.find_placement(id), clock));
      }
      if (!may) continue;
      bins.push_back({mi, m.rec.type, m.rec.zone, m.rec.spot, drain_s, model_.catalog[m.rec.type.v].room, 2});
    }
  }
  return bins;
}

void Fleet::serve_demand(Clock clock, Effects& out) {
  double keep = std::exp(-demand_interval_s / freed_memory_s);
  freed_rate_ = keep * freed_rate_ + (1 - keep) * (model_.freed() - freed_seen_) / demand_interval_s;
  freed_seen_ = model_.freed();
  // What tasks will leave within the patience, at the pace of late: nobody rents for that.
  double leaves = freed_rate_ * model_.settings.op.rent_patience_s;
  // Pool machines that can be handed over at once.
  std::vector<CandidateNode> pool;
  for (MachineIndex mi : model_.machines_of(pool_part)) {
    const Machine& m = model_.machine(mi);
    bool fresh =
        m.state == MachineState::expected && m.up && clock.now - m.known_since < model_.settings.lease_s;
    if ((m.state != MachineState::ready && !fresh) || m.recalled || m.writing || m.failed_listed ||
        !m.on.empty() || scheduler_.dark(m.rec.zone, clock.now) || unwanted_.count(mi) != 0 ||
        (gate_ != nullptr && gate_->suspected(mi))) {
      continue;
    }
    pool.push_back({mi, m.rec.type, m.rec.zone, m.rec.spot, 0, model_.room(m), 1});
  }
  for (const auto& [name, a] : adopt_) {
    MachineIndex mi = model_.names.machines.find(name);
    if (a.rec.part != pool_part || !a.rec.up || model_.machine(mi).writing || model_.machine(mi).stamp != 0)
      continue;
    pool.push_back({mi, a.rec.type, a.rec.zone, a.rec.spot, 0, model_.catalog[a.rec.type.v].room, 1});
  }
  std::vector<std::vector<CandidateNode>> own(model_.parts());
  std::vector<Amounts> left(model_.parts());
  for (std::uint32_t p = 1; p < model_.parts(); ++p) {
    own[p] = part_bins(PartIndex{p}, clock.now);
    const Team& team = model_.settings.teams[p];
    const Amounts& use = model_.team_use(PartIndex{p});
    left[p] = {team.most.cpus > 0 ? team.most.cpus - use.cpus : 1e12,
               team.most.gpus > 0 ? team.most.gpus - use.gpus : 1e12, 1e12};
  }
  std::vector<bool> whole_machines(model_.parts());  // by partition: some gang takes them
  for (std::uint32_t p = 1; p < model_.parts(); ++p)
    whole_machines[p] = scheduler_.needs_whole_machines(PartIndex{p});
  std::vector<FailedSelections> failed(model_.parts());
  std::set<JobIndex> guaranteed;
  for (const Waiting& waiting : demand_order(clock, guaranteed)) {
    JobIndex ji = waiting.job;
    bool pressing = waiting.promise != Promise::ample;
    Job& j = model_.job(ji);
    PartIndex part = j.spec.part;
    std::vector<CandidateNode>& bins = own[part.v];
    auto most = std::min<std::size_t>(
        {model_.placeable(ji), static_cast<std::size_t>(how_many_fit(j.spec.need, left[part.v])), 2000});
    if (j.spec.shape == Shape::gang && most < j.pending()) continue;
    auto tasks = model_.pending_tasks(j, most);
    if (tasks.empty()) continue;
    left[part.v] -= static_cast<double>(tasks.size()) * j.spec.need;
    auto by_zone = tasks_by_zone(model_, j);
    bool spare_whole = !pressing && whole_machines[part.v] && cheap_to_be_had(j.spec, clock.now);
    auto take = [&](std::vector<CandidateNode>& from) {
      see_as(j.spec, model_, from);
      for (CandidateNode& b : from) {
        const MachineType& type = model_.catalog[b.type.v];
        b.shut = spare_whole && !b.spot && fills_cheaply(j.spec, type) && is_whole(b, type);
      }
      auto fit = choose(j.spec, tasks, from, by_zone);
      for (const Choice& c : fit) ++by_zone[from[c.node].zone.v];
      tasks.erase(tasks.begin(), tasks.begin() + static_cast<std::ptrdiff_t>(fit.size()));
      return fit;
    };
    // What others' machines add to the part's own; a gang must find itself whole in all of them together.
    auto take_with = [&](std::vector<CandidateNode> victims) {
      std::size_t from_pool = bins.size(), from_victims = from_pool + pool.size();
      std::vector<CandidateNode> all = bins;
      all.insert(all.end(), pool.begin(), pool.end());
      all.insert(all.end(), victims.begin(), victims.end());
      std::set<std::size_t> used;
      for (const Choice& c : take(all)) {
        if (c.node >= from_pool) used.insert(c.node);
      }
      std::vector<CandidateNode> rest;
      bins.assign(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(from_pool));
      for (std::size_t i = from_pool; i < all.size(); ++i) {
        if (used.count(i) != 0) {
          all[i].cost = 0;
          bins.push_back(all[i]);
          move_machine(all[i].machine, part, i >= from_victims);
          if (i < from_victims) note_turnover(j, all[i], 1, clock.now);
        } else if (i < from_victims) {
          rest.push_back(all[i]);
        }
      }
      pool = std::move(rest);
      if (!used.empty()) failed[part.v] = {};  // what they leave of these machines is room for others
    };
    // Machines that are up come before those that still boot, idle ones of the pool too: these would be
    // returned while the job waits. For urgent work others' machines are drained.
    bool within = guaranteed.count(ji) != 0;
    bool urgent = model_.settings.op.preempt && (j.spec.rank >= Rank::high || within);
    // Others have asked for as much, or less, in vain in this very cycle.
    bool in_vain = !within && failed[part.v].covers(j, tasks.size(), spare_whole, urgent);
    if (!in_vain) {
      std::size_t wanted = tasks.size();
      std::vector<CandidateNode> up, booting;
      for (const CandidateNode& b : bins) (b.wait_s > 0 ? booting : up).push_back(b);
      bins = std::move(up);
      take_with(urgent ? victims(j, within, clock) : std::vector<CandidateNode>{});
      bins.insert(bins.end(), booting.begin(), booting.end());
      if (!tasks.empty()) take(bins);
      if (!tasks.empty()) take_with({});
      if (!within && tasks.size() == wanted) failed[part.v].add(j, wanted, spare_whole, urgent);
    }
    // Room that others leave soon is cheaper than a machine that has yet to boot.
    if (tasks.empty()) continue;
    leaves -= static_cast<double>(tasks.size()) * j.share;
    // Its owner may be placing it at this moment, and what is being written does not show yet.
    if (j.writing || clock.now - j.first_seen < being_placed_s) continue;
    bool patient = clock.now - j.first_seen >= model_.settings.op.rent_patience_s;
    if (!patient && leaves >= 0 && !spare_whole && !pressing) continue;
    if (!may_rent(part, ji, within, clock.now)) continue;
    auto lacking = static_cast<std::uint32_t>(tasks.size());
    if (source_ != nullptr) {
      note_need(ji, lacking, within, clock);
    } else {
      rent_for(j, lacking, clock, bins);
      failed[part.v] = {};
    }
  }
  if (source_ != nullptr) serve_needs(own, clock, out);
  // Their owners stop what runs there, with time to save, and hand them over.
  for (MachineIndex mi : unwanted_) {
    const Machine& m = model_.machine(mi);
    if (m.stamp != 0 && m.rec.part != pool_part && m.rec.wanted_by != pool_part && !m.writing &&
        m.state != MachineState::deleting)
      move_machine(mi, pool_part, true);
  }
  if (may_rent(pool_part, {}, false, clock.now)) stand_by(pool, clock);
  if (gate_ != nullptr) replace_suspects(pool.size(), clock);
  for (RentOrder& order : asking_) {
    order.request = model_.settings.node + "-" + std::to_string(model_.claim(pool_part).stamp) + "-" +
                    std::to_string(++requests_);
    rents_[order.request] = {order, RentState::asked, 0};
    out.rents.push_back(std::move(order));
  }
  asking_.clear();
}

}  // namespace oxbowmill
