#include "oxbowmill/core/fleet.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace oxbowmill {

namespace {
constexpr std::size_t most_deletes = 100;  // the cloud's limit for one request
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
    std::vector<WakeUp> wake_ups;
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
        if (a.tenure != 0) wake_ups.push_back({m, a.tenure});
      }
      ++it;
    }
    if (machines.empty()) continue;
    txn.guards.push_back(scheduler_.claim_guard(pool_part));
    scheduler_.queue(out, up ? Urgency::placement : Urgency::rest, std::move(txn), machines,
                     std::move(wake_ups));
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
    std::vector<WakeUp> wake_ups;
    for (std::size_t i = from; i < std::min(moves_.size(), from + model_.settings.txn_ops); ++i) {
      auto& [mi, rec] = moves_[i];
      const Machine& m = model_.machine(mi);
      txn.guards.push_back({MachineKey{mi}, m.stamp});
      txn.changes.push_back({MachineKey{mi}, rec});
      machines.push_back(mi);
      if (rec.part != m.rec.part && m.tenure != 0) wake_ups.push_back({mi, m.tenure});
    }
    scheduler_.queue(out, Urgency::placement, std::move(txn), machines, std::move(wake_ups));
  }
  moves_.clear();
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
      } else if (deleting_.count(mi) == 0 && to_delete.size() < most_deletes) {
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
