#include "oxbowmill/core/fleet.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace oxbowmill {

namespace {
constexpr std::uint32_t most_per_request = 50;  // the cloud's limit
constexpr double drain_s = 4;  // until a machine whose work of lower rank is stopped has been handed over
constexpr double demand_interval_s = 0.25;
constexpr double being_placed_s = 1;  // from a job's acceptance until its owner's first placement shows
constexpr double turnover_memory_s = 30;
constexpr double standby_share = 0.1;  // of the machines of a kind, at most
constexpr double freed_memory_s = 30;  // how far back room that came free speaks for what will
}  // namespace

Fleet::Fleet(Model& model, Scheduler& scheduler) : model_(model), scheduler_(scheduler) {
  scheduler_.on_unrecorded = [this](const WorkerReport& r) {
    MachineRecord rec;
    rec.part = pool_part;
    rec.type = model_.names.types.find(r.type);
    rec.zone = model_.names.zones.find(r.zone);
    rec.spot = r.spot;
    rec.up = true;
    // Machines of a market are named after it; what it delivered without a bid that is known here is of use,
    // or goes back.
    if (std::size_t dot = r.machine.find('.'); dot != std::string::npos)
      rec.market = model_.names.markets.find(r.machine.substr(0, dot));
    if (!rec.type.valid() || !rec.zone.valid()) return;
    model_.edit_machine(model_.intern_machine(r.machine)).address = r.address;
    adopt(r.machine, rec, r.tenure);
  };
}

void Fleet::adopt(const std::string& name, const MachineRecord& rec, std::uint64_t tenure) {
  MachineIndex m = model_.intern_machine(name);
  // A machine whose deletion was confirmed is gone, whatever a late list or report says.
  if (deleted_.count(m) != 0 || model_.machine(m).stamp != 0) return;
  Adoption& a = adopt_.try_emplace(name, Adoption{rec, 0}).first->second;
  if (tenure == 0) return;
  a.rec.up = true;
  a.tenure = tenure;
}

void Fleet::take_in(const std::string& name, const std::string& address, const MachineRecord& rec) {
  MachineIndex m = model_.intern_machine(name);
  if (model_.machine(m).address.empty()) model_.edit_machine(m).address = address;
  adopt(name, rec);
}

void Fleet::drain(const std::vector<MachineIndex>& machines) {
  unwanted_.insert(machines.begin(), machines.end());
}

void Fleet::on_rented(const std::string& request, bool answered, const std::vector<std::string>& machines,
                      Seconds now) {
  auto it = rents_.find(request);
  if (it == rents_.end()) return;
  Rent& rent = it->second;
  if (!answered) {
    // In doubt: the same name is asked again until it is answered; it rents at most once.
    rent.state = RentState::in_doubt;
    rent.retry_at = now + 3;
    return;
  }
  Refusal& refusal = refusals_[{rent.order.type, rent.order.zone, rent.order.spot}];
  if (machines.size() < rent.order.count) {
    // Asked again and again, a cloud that has nothing to give would leave no calls for anything else.
    refusal.in_a_row = machines.empty() ? std::min(refusal.in_a_row + 1, 3) : 1;
    refusal.until = now + model_.settings.op.refusal_pause_s * (1 << (refusal.in_a_row - 1));
  } else {
    refusal = {};
  }
  SPDLOG_INFO("rental {}: {} of {} machines in {}{}", request, machines.size(), rent.order.count,
              model_.names.zones.name(rent.order.zone), rent.order.spot ? ", spot" : "");
  for (std::size_t i = 0; i < machines.size(); ++i) {
    const std::string& name = machines[i];
    PartIndex part = i < rent.order.parts.size() ? rent.order.parts[i] : pool_part;
    adopt(name, {part, rent.order.type, rent.order.zone, rent.order.spot, MachineMark::none, {}});
  }
  rents_.erase(it);
}

void Fleet::on_deleted(const std::vector<MachineIndex>& machines, bool confirmed) {
  for (MachineIndex m : machines) {
    deleting_.erase(m);
    if (!confirmed) continue;
    deleted_.insert(m);
    // What was deleted can be rented again: a refusal from before tells nothing any more. A fleet at the
    // cloud's limit that loses many machines would wait out the pause without them.
    const MachineRecord& rec = model_.machine(m).rec;
    if (rec.mark == MachineMark::deleting && rec.type.valid())
      refusals_.erase({rec.type, rec.zone, rec.spot});
  }
}

void Fleet::on_listed(const std::vector<ListedMachine>& machines, Seconds now) {
  listing_ = false;
  std::map<std::string, Seconds> unknown;
  std::set<MachineIndex> listed;
  for (const ListedMachine& l : machines) {
    MachineIndex m = model_.intern_machine(l.name);
    listed.insert(m);
    const Machine& known = model_.machine(m);
    if (known.stamp != 0) {
      if (known.address.empty()) model_.edit_machine(m).address = l.address;
      if (l.phase == ListedMachine::Phase::failed) model_.edit_machine(m).failed_listed = true;
      continue;
    }
    if (deleted_.count(m) != 0) continue;
    // Without a record: rented by a request whose answer was lost, or there from the start. It may also be a
    // machine that an earlier leader has deleted, which a late list still shows: wait until that is over.
    auto seen = unknown_listed_.find(l.name);
    Seconds since = seen == unknown_listed_.end() ? now : seen->second;
    unknown[l.name] = since;
    if (now - since < 3 * model_.settings.list_lag_s) continue;
    MachineRecord rec;
    rec.part = pool_part;
    rec.type = model_.names.types.find(l.type);
    rec.zone = model_.names.zones.find(l.zone);
    rec.spot = l.spot;
    if (rec.type.valid() && rec.zone.valid()) adopt(l.name, rec);
  }
  unknown_listed_ = std::move(unknown);
  // A machine known for much longer than any list lags, and not listed, was taken. The list is no proof of
  // that: the machine is deleted, and the answer to the deletion is.
  for (std::uint32_t i = 0; i < model_.machine_count(); ++i) {
    const Machine& m = model_.machine(MachineIndex{i});
    // The cloud's list says nothing of a market's machines.
    if (m.stamp != 0 && m.up && !m.rec.market.valid() && listed.count(MachineIndex{i}) == 0 &&
        now - m.known_since > 6 * model_.settings.list_lag_s) {
      model_.edit_machine(MachineIndex{i}).failed_listed = true;
    }
  }
}

void Fleet::write_adoptions(Effects& out) {
  // Machines that have reported can work at once; records of those that still boot are not urgent.
  for (bool up : {true, false}) {
    Transaction txn;
    std::vector<MachineIndex> machines;
    std::vector<Ring> rings;
    for (auto it = adopt_.begin(); it != adopt_.end();) {
      MachineIndex m = model_.intern_machine(it->first);
      if (model_.machine(m).stamp != 0 || deleted_.count(m) != 0) {
        it = adopt_.erase(it);
        continue;
      }
      const Adoption& a = it->second;
      if (a.rec.up == up && !model_.machine(m).writing && machines.size() < model_.settings.txn_ops) {
        txn.guards.push_back({MachineKey{m}, 0});
        txn.changes.push_back({MachineKey{m}, a.rec});
        machines.push_back(m);
        if (a.tenure != 0) rings.push_back({m, a.tenure});
      }
      ++it;
    }
    if (machines.empty()) continue;
    txn.guards.push_back(scheduler_.claim_guard(pool_part));
    scheduler_.queue(out, up ? Urgency::placement : Urgency::rest, std::move(txn), machines,
                     std::move(rings));
  }
}

bool Fleet::refused(const Kind& k, Seconds now) const {
  auto it = refusals_.find(k);
  return it != refusals_.end() && it->second.until > now;
}

bool Fleet::cheap_to_be_had(const JobSpec& spec, Seconds now) const {
  if (!spec.spot || !model_.settings.op.use_spot) return false;
  for (std::uint32_t t = 0; t < model_.catalog.size(); ++t) {
    if (!fills_cheaply(spec, model_.catalog[t])) continue;
    for (ZoneIndex z : model_.catalog[t].zones) {
      if (allowed_on(spec, TypeIndex{t}, z, true) && !scheduler_.dark(z, now) &&
          !refused({TypeIndex{t}, z, true}, now))
        return true;
    }
  }
  return false;
}

bool Fleet::asked_for(const Kind& k) const {
  return std::any_of(rents_.begin(), rents_.end(), [&k](const auto& r) {
    const RentOrder& o = r.second.order;
    return o.type == k.type && o.zone == k.zone && o.spot == k.spot;
  });
}

void Fleet::pass(Clock clock, Effects& out) {
  if (!scheduler_.leads() || !model_.catalog_known()) {
    adopt_.clear();
    rents_.clear();
    unwanted_.clear();
    return;
  }
  if (clock.now < next_) return;
  next_ = clock.now + demand_interval_s;
  for (auto& [name, rent] : rents_) {
    if (rent.state == RentState::in_doubt && clock.now >= rent.retry_at) {
      rent.state = RentState::asked;
      out.rents.push_back(rent.order);
    }
  }
  if (clock.now >= next_list_ && (!listing_ || clock.now - listing_since_ > 30)) {
    next_list_ = clock.now + model_.settings.op.cloud_list_s;
    listing_ = true;
    listing_since_ = clock.now;
    out.list_machines = true;
  }
  // First who needs a machine, then the records: a new machine goes straight to the part that waits for it.
  serve_demand(clock, out);
  write_adoptions(out);
  write_moves(out);
  return_machines(clock, out);
}

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

void Fleet::move_machine(MachineIndex mi, PartIndex to, bool ask_owner) {
  if (model_.machine(mi).stamp == 0) {
    adopt_.at(model_.names.machines.name(mi)).rec.part = to;
    return;
  }
  MachineRecord rec = model_.machine(mi).rec;
  (ask_owner ? rec.wanted_by : rec.part) = to;
  moves_.emplace_back(mi, rec);
}

void Fleet::write_moves(Effects& out) {
  for (std::size_t from = 0; from < moves_.size(); from += model_.settings.txn_ops) {
    Transaction txn;
    txn.guards = {scheduler_.claim_guard(pool_part)};
    std::vector<MachineIndex> machines;
    std::vector<Ring> rings;
    for (std::size_t i = from; i < std::min(moves_.size(), from + model_.settings.txn_ops); ++i) {
      auto& [mi, rec] = moves_[i];
      const Machine& m = model_.machine(mi);
      txn.guards.push_back({MachineKey{mi}, m.stamp});
      txn.changes.push_back({MachineKey{mi}, rec});
      machines.push_back(mi);
      if (rec.part != m.rec.part && m.tenure != 0) rings.push_back({mi, m.tenure});
    }
    scheduler_.queue(out, Urgency::placement, std::move(txn), machines, std::move(rings));
  }
  moves_.clear();
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

void Fleet::note_need(JobIndex ji, std::uint32_t tasks, bool guaranteed, Clock clock) {
  const Job& j = model_.job(ji);
  const JobSpec& spec = j.spec;
  Need n;
  n.job = ji;
  n.part = spec.part;
  n.rank = spec.rank;
  n.guaranteed = guaranteed;
  n.spot = spec.spot && model_.settings.op.use_spot;
  n.tasks = tasks;
  n.zone = spec.zone;
  n.run_s = spec.estimate_s;
  n.waited_s = clock.now - j.first_seen;
  if (spec.deadline_s >= 0) {
    double fetch = model_.catalog.empty() ? 0 : fetch_time(spec, model_.catalog.front());
    n.slack_s = spec.submitted_at + spec.deadline_s - spec.estimate_s - fetch - clock.wall;
  }
  for (std::uint32_t t = 0; t < model_.catalog.size(); ++t) {
    n.per_machine.push_back(spec.allows(TypeIndex{t})
                                ? static_cast<std::uint32_t>(how_many_fit(spec.need, model_.catalog[t].room))
                                : 0);
  }
  needs_.push_back(std::move(n));
}

void Fleet::serve_needs(std::vector<std::vector<CandidateNode>>& own, Clock clock, Effects& out) {
  std::vector<CloudOffer> cloud;
  for (std::uint32_t t = 0; t < model_.catalog.size(); ++t) {
    const MachineType& type = model_.catalog[t];
    for (ZoneIndex z : type.zones) {
      for (bool spot : {true, false}) {
        Kind k{TypeIndex{t}, z, spot};
        if (scheduler_.dark(z, clock.now) || refused(k, clock.now) || asked_for(k)) continue;
        if (spot && !model_.settings.op.use_spot) continue;
        cloud.push_back(
            {k.type, z, spot, spot ? type.spot_price : type.price, type.boot_s, most_per_request});
      }
    }
  }
  std::vector<std::uint32_t> rest = source_->plan(needs_, cloud, clock, out);
  for (std::size_t i = 0; i < needs_.size(); ++i) {
    if (rest[i] > 0) rent_for(model_.job(needs_[i].job), rest[i], clock, own[needs_[i].part.v]);
  }
  needs_.clear();
}

void Fleet::note_turnover(const Job& j, const CandidateNode& b, std::uint32_t count, Seconds now) {
  if (j.spec.shape == Shape::gang && j.share > 0.5 && !b.spot)
    turnover_.push_back({now, {b.type, b.zone, false}, count});
}

void Fleet::stand_by(const std::vector<CandidateNode>& idle, Clock clock) {
  // A gang that finds no whole machines waits for a boot. So as many stand idle as gangs take, at the pace of
  // late, while one boots. The share keeps the first minutes, when everything is asked for at once, from
  // filling the fleet with machines nobody will need.
  while (!turnover_.empty() && clock.now - turnover_.front().at > turnover_memory_s) turnover_.pop_front();
  standby_.clear();
  for (const Turnover& t : turnover_) standby_[t.kind] += t.count / turnover_memory_s;
  if (standby_.empty()) return;
  double up = 0, all = 0;
  std::map<Kind, double> stock;
  for (std::uint32_t i = 0; i < model_.machine_count(); ++i) {
    const Machine& m = model_.machine(MachineIndex{i});
    if (m.stamp == 0 || m.rec.spot || m.rec.mark == MachineMark::deleting || m.failed_listed) continue;
    Kind k{m.rec.type, m.rec.zone, false};
    if (m.up) {
      ++up;
    } else if (m.rec.part == pool_part) {
      ++stock[k];  // boots
    }
  }
  for (const CandidateNode& b : idle) stock[{b.type, b.zone, b.spot}] += 1;
  for (const auto& [name, a] : adopt_) {
    if (a.rec.part == pool_part && !a.rec.up) stock[{a.rec.type, a.rec.zone, a.rec.spot}] += 1;
  }
  for (auto& [kind, wanted] : standby_) {
    wanted *= model_.catalog[kind.type.v].boot_s;
    all += wanted;
  }
  double scale = std::min(1.0, standby_share * up / all);
  for (auto& [kind, wanted] : standby_) {
    wanted = std::ceil(wanted * scale);
    double missing = std::floor(wanted - stock[kind]);
    if (missing < 1 || refused(kind, clock.now) || asked_for(kind)) continue;
    RentOrder& order = asking(kind);
    auto count = std::min(static_cast<std::uint32_t>(missing), most_per_request - order.count);
    order.count += count;
    order.parts.insert(order.parts.end(), count, pool_part);
  }
}

void Fleet::replace_suspects(std::size_t idle, Clock clock) {
  for (const Replacement& r : gate_->replacements(clock.now)) {
    if (idle > 0) {  // it stands ready already
      --idle;
      continue;
    }
    // Of the suspect's kind where the cloud has it, else of its type elsewhere; a wave of losses must not
    // leave the rest of a zone's work without machines only because the zone has no more.
    std::vector<Kind> kinds = {r.kind};
    for (ZoneIndex z : model_.catalog.at(r.kind.type.v).zones) kinds.push_back({r.kind.type, z, r.kind.spot});
    auto kind = std::find_if(kinds.begin(), kinds.end(), [&](const Kind& k) {
      return !refused(k, clock.now) && !asked_for(k) && !scheduler_.dark(k.zone, clock.now) &&
             (!k.spot || model_.settings.op.use_spot) && asking(k).count < most_per_request;
    });
    if (kind == kinds.end()) continue;
    RentOrder& order = asking(*kind);
    ++order.count;
    order.parts.push_back(r.part);
    gate_->under_way(r.suspect);
  }
  asking_.erase(
      std::remove_if(asking_.begin(), asking_.end(), [](const RentOrder& o) { return o.count == 0; }),
      asking_.end());
}

RentOrder& Fleet::asking(const Kind& k) {
  auto same = std::find_if(asking_.begin(), asking_.end(), [&](const RentOrder& r) {
    return r.type == k.type && r.zone == k.zone && r.spot == k.spot;
  });
  if (same != asking_.end()) return *same;
  asking_.push_back({"", k.type, k.zone, k.spot, 0, {}});
  return asking_.back();
}

void Fleet::rent_for(const Job& j, std::uint32_t tasks, Clock clock, std::vector<CandidateNode>& bins) {
  const JobSpec& spec = j.spec;
  struct Offer {
    double price;
    std::size_t have;  // machines in the zone already, to spread the risk
    Kind kind;
    int per_machine;
  };
  std::vector<Offer> offers;
  for (std::uint32_t t = 0; t < model_.catalog.size(); ++t) {
    const MachineType& type = model_.catalog[t];
    int per = how_many_fit(spec.need, type.room);
    if (per == 0) continue;
    for (ZoneIndex z : type.zones) {
      if (scheduler_.dark(z, clock.now)) continue;  // what boots there cannot report
      auto have = static_cast<std::size_t>(
          std::count_if(bins.begin(), bins.end(), [z](const CandidateNode& b) { return b.zone == z; }));
      for (bool spot : {true, false}) {
        Kind kind{TypeIndex{t}, z, spot};
        if (spot && !model_.settings.op.use_spot) continue;
        bool full = std::any_of(asking_.begin(), asking_.end(), [&](const RentOrder& r) {
          return r.type == kind.type && r.zone == z && r.spot == spot && r.count >= most_per_request;
        });
        if (full) continue;
        if (!allowed_on(spec, kind.type, z, spot) || refused(kind, clock.now)) continue;
        double price = (spot ? type.spot_price : type.price) / std::min<double>(per, tasks);
        offers.push_back({price, have, kind, per});
      }
    }
  }
  std::sort(offers.begin(), offers.end(), [](const Offer& a, const Offer& b) {
    return std::tie(a.price, a.have) < std::tie(b.price, b.have);
  });
  if (offers.empty()) return;
  const Offer& o = offers.front();
  // A dearer kind is not taken only because a request for the cheapest is under way.
  if (asked_for(o.kind)) return;
  std::uint32_t count =
      (tasks + static_cast<std::uint32_t>(o.per_machine) - 1) / static_cast<std::uint32_t>(o.per_machine);
  RentOrder& order = asking(o.kind);
  count = std::min(count, most_per_request - order.count);
  order.count += count;
  order.parts.insert(order.parts.end(), count, spec.part);
  for (std::uint32_t i = 0; i < count; ++i) {
    Amounts room = model_.catalog[order.type.v].room;
    for (int k = 0; k < o.per_machine && tasks > 0; ++k, --tasks) room -= spec.need;
    bins.push_back(
        {MachineIndex{}, order.type, order.zone, order.spot, model_.catalog[order.type.v].boot_s, room});
  }
  if (count > 0) note_turnover(j, bins.back(), count, clock.now);
}

void Fleet::return_machines(Clock clock, Effects& out) {
  const Settings& s = model_.settings;
  Seconds now = clock.now;
  std::vector<MachineIndex> to_delete, to_mark, to_forget, to_market;
  std::size_t busy_writes = 0;
  std::map<Kind, double> kept;
  auto standby = [this](const Machine& m) {
    auto it = standby_.find({m.rec.type, m.rec.zone, m.rec.spot});
    return it == standby_.end() ? 0.0 : it->second;
  };
  for (std::uint32_t i = 0; i < model_.machine_count(); ++i) {
    MachineIndex mi{i};
    const Machine& m = model_.machine(mi);
    if (m.stamp == 0 || m.writing) continue;
    if (m.rec.mark == MachineMark::deleting) {
      bool of_market = m.rec.market.valid();
      if (deleted_.count(mi) != 0) {
        // A market's word frees nothing: the record, whose going frees what is on a machine, stays until
        // reports, a later session or the lease have proved it empty.
        if (!of_market || m.on.empty()) to_forget.push_back(mi);
      } else if (of_market) {
        if (source_ != nullptr && deleting_.count(mi) == 0) to_market.push_back(mi);
      } else if (deleting_.count(mi) == 0 && to_delete.size() < 100) {
        to_delete.push_back(mi);
      }
      continue;
    }
    bool mark = m.failed_listed;
    if (m.rec.part == pool_part && m.on.empty()) {
      const MachineType& type = model_.catalog[m.rec.type.v];
      bool stuck = !m.up && now - m.known_since > s.op.boot_patience * type.boot_s + s.lease_s;
      double keep = s.op.idle_keep_s * (m.rec.spot ? s.op.spot_keep_factor : 1);
      bool idle = m.state == MachineState::ready && now - m.idle_since > keep;
      if (idle && kept[{m.rec.type, m.rec.zone, m.rec.spot}]++ < standby(m)) idle = false;
      mark = mark || stuck || unwanted_.count(mi) != 0 || m.recalled || m.faulty_until > now ||
             m.state == MachineState::silent;
      // Asked last: what may go back while a start is under way is counted.
      mark = mark || (idle && busy_writes < s.txn_ops && (gate_ == nullptr || gate_->may_return(mi, now)));
    }
    if (mark && busy_writes++ < s.txn_ops) to_mark.push_back(mi);
  }
  if (!to_mark.empty()) {
    // The mark is durable before the delete is sent, so that no later owner uses the machine.
    Transaction txn;
    txn.guards = {scheduler_.claim_guard(pool_part)};
    for (MachineIndex mi : to_mark) {
      MachineRecord rec = model_.machine(mi).rec;
      rec.mark = MachineMark::deleting;
      txn.guards.push_back({MachineKey{mi}, model_.machine(mi).stamp});
      txn.changes.push_back({MachineKey{mi}, rec});
      SPDLOG_INFO("machine {}: to be returned", model_.names.machines.name(mi));
    }
    scheduler_.queue(out, Urgency::rest, std::move(txn), to_mark);
  }
  if (!to_forget.empty()) {
    if (to_forget.size() > s.txn_ops) to_forget.resize(s.txn_ops);
    Transaction txn;
    txn.guards = {scheduler_.claim_guard(pool_part)};
    for (MachineIndex mi : to_forget) {
      txn.guards.push_back({MachineKey{mi}, model_.machine(mi).stamp});
      txn.changes.push_back({MachineKey{mi}, {}});
    }
    scheduler_.queue(out, Urgency::done_mark, std::move(txn), to_forget);
  }
  for (MachineIndex mi : to_delete) {
    deleting_.insert(mi);
    out.deletes.push_back(mi);
  }
  if (!to_market.empty()) {
    deleting_.insert(to_market.begin(), to_market.end());
    source_->give_back(to_market, now);
  }
}

}  // namespace oxbowmill
