#include "oxbowmill/autoscaling/autoscaler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace oxbowmill {

namespace {
constexpr std::size_t max_deletions_per_request = 100;  // the cloud's limit for one request
}  // namespace

Autoscaler::Autoscaler(ClusterState& model, Scheduler& scheduler) : state_(model), scheduler_(scheduler) {
  scheduler_.on_unregistered = [this](const WorkerReport& report) {
    MachineRecord record;
    record.partition = idle_pool;
    record.type = state_.names.types.find(report.type);
    record.zone = state_.names.zones.find(report.zone);
    record.spot = report.spot;
    record.has_booted = true;
    // Machines of a market are named after it; what it delivered without a bid that is known here is of use,
    // or goes back.
    if (std::size_t dot = report.machine.find('.'); dot != std::string::npos)
      record.market = state_.names.markets.find(report.machine.substr(0, dot));
    if (!record.type.valid() || !record.zone.valid()) return;
    state_.edit_machine(state_.intern_machine(report.machine)).address = report.address;
    queue_adoption(report.machine, record, report.agent_epoch);
  };
}

void Autoscaler::queue_adoption(const std::string& name, const MachineRecord& record,
                                std::uint64_t agent_epoch) {
  MachineIndex m = state_.intern_machine(name);
  // A machine whose deletion was confirmed is gone, whatever a late list or report says.
  if (deleted_.count(m) != 0 || state_.machine(m).revision != 0) return;
  Adoption& a = adoptions_.try_emplace(name, Adoption{record, 0}).first->second;
  if (agent_epoch == 0) return;
  a.record.has_booted = true;
  a.agent_epoch = agent_epoch;
}

void Autoscaler::adopt(const std::string& name, const std::string& address, const MachineRecord& record) {
  MachineIndex m = state_.intern_machine(name);
  if (state_.machine(m).address.empty()) state_.edit_machine(m).address = address;
  queue_adoption(name, record);
}

void Autoscaler::drain(const std::vector<MachineIndex>& machines) {
  draining_.insert(machines.begin(), machines.end());
}

void Autoscaler::on_scale_out_result(const std::string& request, bool answered,
                                     const std::vector<std::string>& machines, Seconds now) {
  auto it = scale_outs_.find(request);
  if (it == scale_outs_.end()) return;
  ScaleOut& rent = it->second;
  if (!answered) {
    // In doubt: the same name is asked again until it is answered; it rents at most once.
    rent.state = ScaleOutState::unconfirmed;
    rent.retry_at = now + 3;
    return;
  }
  Refusal& refusal = refusals_[{rent.request.type, rent.request.zone, rent.request.spot}];
  if (machines.size() < rent.request.count) {
    // Asked again and again, a cloud that has nothing to give would leave no calls for anything else.
    refusal.consecutive = machines.empty() ? std::min(refusal.consecutive + 1, 3) : 1;
    refusal.until =
        now + state_.settings.operator_settings.refusal_backoff_s * (1 << (refusal.consecutive - 1));
  } else {
    refusal = {};
  }
  SPDLOG_INFO("rental {}: {} of {} machines in {}{}", request, machines.size(), rent.request.count,
              state_.names.zones.name(rent.request.zone), rent.request.spot ? ", spot" : "");
  for (std::size_t i = 0; i < machines.size(); ++i) {
    const std::string& name = machines[i];
    PartitionIndex partition = i < rent.request.partitions.size() ? rent.request.partitions[i] : idle_pool;
    queue_adoption(
        name, {partition, rent.request.type, rent.request.zone, rent.request.spot, MachineMark::none, {}});
  }
  scale_outs_.erase(it);
}

void Autoscaler::on_deleted(const std::vector<MachineIndex>& machines, bool confirmed) {
  for (MachineIndex machine_index : machines) {
    deleting_.erase(machine_index);
    if (!confirmed) continue;
    deleted_.insert(machine_index);
    // What was deleted can be rented again: a refusal from before tells nothing any more. A fleet at the
    // cloud's limit that loses many machines would wait out the pause without them.
    const MachineRecord& rec = state_.machine(machine_index).record;
    if (rec.mark == MachineMark::deleting && rec.type.valid())
      refusals_.erase({rec.type, rec.zone, rec.spot});
  }
}

void Autoscaler::on_listed(const std::vector<ListedMachine>& machines, Seconds now) {
  listing_ = false;
  std::map<std::string, Seconds> unknown;
  std::set<MachineIndex> listed;
  for (const ListedMachine& listed_machine : machines) {
    MachineIndex machine_index = state_.intern_machine(listed_machine.name);
    listed.insert(machine_index);
    const Machine& known = state_.machine(machine_index);
    if (known.revision != 0) {
      if (known.address.empty()) state_.edit_machine(machine_index).address = listed_machine.address;
      if (listed_machine.phase == ListedMachine::Phase::failed)
        state_.edit_machine(machine_index).reported_failed = true;
      continue;
    }
    if (deleted_.count(machine_index) != 0) continue;
    // Without a record: rented by a request whose answer was lost, or there from the start. It may also be a
    // machine that an earlier leader has deleted, which a late list still shows: wait until that is over.
    auto seen = unknown_listed_.find(listed_machine.name);
    Seconds since = seen == unknown_listed_.end() ? now : seen->second;
    unknown[listed_machine.name] = since;
    if (now - since < 3 * state_.settings.cloud_list_lag_s) continue;
    MachineRecord record;
    record.partition = idle_pool;
    record.type = state_.names.types.find(listed_machine.type);
    record.zone = state_.names.zones.find(listed_machine.zone);
    record.spot = listed_machine.spot;
    if (record.type.valid() && record.zone.valid()) queue_adoption(listed_machine.name, record);
  }
  unknown_listed_ = std::move(unknown);
  // A machine known for much longer than any list lags, and not listed, was taken. The list is no proof of
  // that: the machine is deleted, and the answer to the deletion is.
  for (std::uint32_t i = 0; i < state_.machine_count(); ++i) {
    const Machine& m = state_.machine(MachineIndex{i});
    // The cloud's list says nothing of a market's machines.
    if (m.revision != 0 && m.has_booted && !m.record.market.valid() && listed.count(MachineIndex{i}) == 0 &&
        now - m.known_since > 6 * state_.settings.cloud_list_lag_s) {
      state_.edit_machine(MachineIndex{i}).reported_failed = true;
    }
  }
}

void Autoscaler::write_adoptions(Effects& out) {
  // Machines that have reported can work at once; records of those that still boot are not urgent.
  for (bool booted : {true, false}) {
    Transaction txn;
    std::vector<MachineIndex> machines;
    std::vector<WakeUp> wake_ups;
    for (auto it = adoptions_.begin(); it != adoptions_.end();) {
      MachineIndex machine_index = state_.intern_machine(it->first);
      if (state_.machine(machine_index).revision != 0 || deleted_.count(machine_index) != 0) {
        it = adoptions_.erase(it);
        continue;
      }
      const Adoption& adoption = it->second;
      if (adoption.record.has_booted == booted && !state_.machine(machine_index).writing &&
          machines.size() < state_.settings.max_transaction_ops) {
        txn.guards.push_back({MachineKey{machine_index}, 0});
        txn.changes.push_back({MachineKey{machine_index}, adoption.record});
        machines.push_back(machine_index);
        if (adoption.agent_epoch != 0) wake_ups.push_back({machine_index, adoption.agent_epoch});
      }
      ++it;
    }
    if (machines.empty()) continue;
    txn.guards.push_back(scheduler_.ownership_guard(idle_pool));
    scheduler_.queue_transaction(out, booted ? Urgency::placement : Urgency::other, std::move(txn), machines,
                                 std::move(wake_ups));
  }
}

bool Autoscaler::is_refused(const MachineKind& kind, Seconds now) const {
  auto it = refusals_.find(kind);
  return it != refusals_.end() && it->second.until > now;
}

bool Autoscaler::is_spot_available_for(const JobSpec& spec, Seconds now) const {
  if (!spec.spot || !state_.settings.operator_settings.use_spot) return false;
  for (std::uint32_t type_number = 0; type_number < state_.catalog.size(); ++type_number) {
    if (!packs_with_others(spec, state_.catalog[type_number])) continue;
    for (ZoneIndex z : state_.catalog[type_number].zones) {
      if (is_allowed_on(spec, TypeIndex{type_number}, z, true) && !scheduler_.is_unreachable(z, now) &&
          !is_refused({TypeIndex{type_number}, z, true}, now))
        return true;
    }
  }
  return false;
}

bool Autoscaler::is_requested(const MachineKind& kind) const {
  return std::any_of(scale_outs_.begin(), scale_outs_.end(), [&kind](const auto& r) {
    const ScaleOutRequest& o = r.second.request;
    return o.type == kind.type && o.zone == kind.zone && o.spot == kind.spot;
  });
}

void Autoscaler::run_cycle(Clock clock, Effects& out) {
  if (!scheduler_.is_leader() || !state_.catalog_known()) {
    adoptions_.clear();
    scale_outs_.clear();
    draining_.clear();
    return;
  }
  if (clock.now < next_cycle_at_) return;
  next_cycle_at_ = clock.now + demand_interval_s;
  for (auto& [name, rent] : scale_outs_) {
    if (rent.state == ScaleOutState::unconfirmed && clock.now >= rent.retry_at) {
      rent.state = ScaleOutState::requested;
      out.scale_outs.push_back(rent.request);
    }
  }
  if (clock.now >= next_list_at_ && (!listing_ || clock.now - listing_since_ > 30)) {
    next_list_at_ = clock.now + state_.settings.operator_settings.cloud_list_interval_s;
    listing_ = true;
    listing_since_ = clock.now;
    out.list_machines = true;
  }
  // First who needs a machine, then the records: a new machine goes straight to the part that waits for it.
  reconcile_demand(clock, out);
  write_adoptions(out);
  write_moves(out);
  return_machines(clock, out);
}

void Autoscaler::move_machine(MachineIndex machine_index, PartitionIndex target, bool ask_owner) {
  if (state_.machine(machine_index).revision == 0) {
    adoptions_.at(state_.names.machines.name(machine_index)).record.partition = target;
    return;
  }
  MachineRecord rec = state_.machine(machine_index).record;
  (ask_owner ? rec.requested_by : rec.partition) = target;
  moves_.emplace_back(machine_index, rec);
}

void Autoscaler::write_moves(Effects& out) {
  for (std::size_t from = 0; from < moves_.size(); from += state_.settings.max_transaction_ops) {
    Transaction txn;
    txn.guards = {scheduler_.ownership_guard(idle_pool)};
    std::vector<MachineIndex> machines;
    std::vector<WakeUp> wake_ups;
    for (std::size_t i = from; i < std::min(moves_.size(), from + state_.settings.max_transaction_ops); ++i) {
      auto& [machine_index, record] = moves_[i];
      const Machine& machine = state_.machine(machine_index);
      txn.guards.push_back({MachineKey{machine_index}, machine.revision});
      txn.changes.push_back({MachineKey{machine_index}, record});
      machines.push_back(machine_index);
      if (record.partition != machine.record.partition && machine.agent_epoch != 0)
        wake_ups.push_back({machine_index, machine.agent_epoch});
    }
    scheduler_.queue_transaction(out, Urgency::placement, std::move(txn), machines, std::move(wake_ups));
  }
  moves_.clear();
}

void Autoscaler::return_machines(Clock clock, Effects& out) {
  const Settings& settings = state_.settings;
  Seconds now = clock.now;
  std::vector<MachineIndex> to_delete, to_mark, to_forget, to_market;
  std::size_t busy_writes = 0;
  std::map<MachineKind, double> retained;
  auto standby = [this](const Machine& machine) {
    auto it = warm_targets_.find({machine.record.type, machine.record.zone, machine.record.spot});
    return it == warm_targets_.end() ? 0.0 : it->second;
  };
  for (std::uint32_t i = 0; i < state_.machine_count(); ++i) {
    MachineIndex machine_index{i};
    const Machine& machine = state_.machine(machine_index);
    if (machine.revision == 0 || machine.writing) continue;
    if (machine.record.mark == MachineMark::deleting) {
      bool of_market = machine.record.market.valid();
      if (deleted_.count(machine_index) != 0) {
        // A market's word frees nothing: the record, whose going frees what is on a machine, stays until
        // reports, a later session or the lease have proved it empty.
        if (!of_market || machine.placed_tasks.empty()) to_forget.push_back(machine_index);
      } else if (of_market) {
        if (source_ != nullptr && deleting_.count(machine_index) == 0) to_market.push_back(machine_index);
      } else if (deleting_.count(machine_index) == 0 && to_delete.size() < max_deletions_per_request) {
        to_delete.push_back(machine_index);
      }
      continue;
    }
    bool mark = machine.reported_failed;
    if (machine.record.partition == idle_pool && machine.placed_tasks.empty()) {
      const MachineType& type = state_.catalog[machine.record.type.value];
      bool stuck = !machine.has_booted &&
                   now - machine.known_since >
                       settings.operator_settings.boot_timeout_factor * type.boot_s + settings.lease_s;
      double keep = settings.operator_settings.idle_retention_s *
                    (machine.record.spot ? settings.operator_settings.spot_retention_factor : 1);
      bool idle = machine.state == MachineState::ready && now - machine.idle_since > keep;
      if (idle &&
          retained[{machine.record.type, machine.record.zone, machine.record.spot}]++ < standby(machine))
        idle = false;
      mark = mark || stuck || draining_.count(machine_index) != 0 || machine.preemption_notice ||
             machine.faulty_until > now || machine.state == MachineState::lease_expired;
      // Asked last: what may go back while a start is under way is counted.
      mark =
          mark || (idle && busy_writes < settings.max_transaction_ops &&
                   (recovery_admission_ == nullptr || recovery_admission_->may_return(machine_index, now)));
    }
    if (mark && busy_writes++ < settings.max_transaction_ops) to_mark.push_back(machine_index);
  }
  if (!to_mark.empty()) {
    // The mark is durable before the delete is sent, so that no later owner uses the machine.
    Transaction txn;
    txn.guards = {scheduler_.ownership_guard(idle_pool)};
    for (MachineIndex machine_index : to_mark) {
      MachineRecord rec = state_.machine(machine_index).record;
      rec.mark = MachineMark::deleting;
      txn.guards.push_back({MachineKey{machine_index}, state_.machine(machine_index).revision});
      txn.changes.push_back({MachineKey{machine_index}, rec});
      SPDLOG_INFO("machine {}: to be returned", state_.names.machines.name(machine_index));
    }
    scheduler_.queue_transaction(out, Urgency::other, std::move(txn), to_mark);
  }
  if (!to_forget.empty()) {
    if (to_forget.size() > settings.max_transaction_ops) to_forget.resize(settings.max_transaction_ops);
    Transaction txn;
    txn.guards = {scheduler_.ownership_guard(idle_pool)};
    for (MachineIndex mi : to_forget) {
      txn.guards.push_back({MachineKey{mi}, state_.machine(mi).revision});
      txn.changes.push_back({MachineKey{mi}, {}});
    }
    scheduler_.queue_transaction(out, Urgency::done_mark, std::move(txn), to_forget);
  }
  for (MachineIndex mi : to_delete) {
    deleting_.insert(mi);
    out.deletions.push_back(mi);
  }
  if (!to_market.empty()) {
    deleting_.insert(to_market.begin(), to_market.end());
    source_->release(to_market, now);
  }
}

}  // namespace oxbowmill
