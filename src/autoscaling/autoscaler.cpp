#include "oxbowmill/autoscaling/autoscaler.h"

#include "oxbowmill/autoscaling/machine_kind.h"

namespace oxbowmill {

Autoscaler::Autoscaler(ClusterState& state, Scheduler& scheduler)
    : environment_{state, scheduler},
      requests_(environment_),
      adoption_(environment_, deletions_),
      inventory_(environment_, deletions_, adoption_),
      moves_(environment_, adoption_),
      warm_machines_(environment_, adoption_, requests_),
      returns_(environment_, deletions_, warm_machines_),
      candidates_(environment_, adoption_, requests_, moves_, returns_),
      planner_(environment_, requests_, warm_machines_),
      demand_(environment_, candidates_, moves_, planner_, warm_machines_) {
  scheduler.on_unregistered = [this](const AgentReport& report) { adoption_.on_unregistered(report); };
}

void Autoscaler::run_cycle(Clock clock, Effects& out) {
  if (!environment_.scheduler.is_leader() || !environment_.state.catalog_known()) {
    adoption_.clear();
    requests_.clear_pending();
    returns_.clear_draining();
    return;
  }
  if (clock.now < next_cycle_at_) return;
  next_cycle_at_ = clock.now + demand_interval_s;
  requests_.resend_unconfirmed(clock.now, out);
  inventory_.request_list(clock.now, out);
  // Demand is reconciled before records are written, so that a new machine is recorded in the partition that
  // waits for it.
  std::vector<CandidateMachine> idle_machines = demand_.reconcile(clock, out);
  returns_.request_handovers(moves_);
  if (environment_.may_scale_out(idle_pool, {}, false, clock.now))
    warm_machines_.replenish(idle_machines, clock.now);
  if (environment_.recovery_admission != nullptr) planner_.replace_suspected(idle_machines.size(), clock.now);
  requests_.submit(out);
  adoption_.write(out);
  moves_.write(out);
  returns_.run_cycle(clock.now, out);
}

void Autoscaler::adopt(const std::string& name, const std::string& address, const MachineRecord& record) {
  ClusterState& state = environment_.state;
  MachineIndex machine_index = state.intern_machine(name);
  if (state.machine(machine_index).address.empty()) state.edit_machine(machine_index).address = address;
  adoption_.queue(name, record);
}

void Autoscaler::on_scale_out_result(const std::string& request, bool answered,
                                     const std::vector<std::string>& machines, Seconds now) {
  std::optional<ScaleOutRequest> finished = requests_.on_result(request, answered, machines.size(), now);
  if (!finished) return;
  for (std::size_t i = 0; i < machines.size(); ++i) {
    MachineRecord record;
    record.partition = i < finished->partitions.size() ? finished->partitions[i] : idle_pool;
    record.type = finished->type;
    record.zone = finished->zone;
    record.spot = finished->spot;
    adoption_.queue(machines[i], record);
  }
}

void Autoscaler::on_deleted(const std::vector<MachineIndex>& machines, bool confirmed) {
  for (MachineIndex machine_index : machines) {
    deletions_.finish(machine_index, confirmed);
    if (!confirmed) continue;
    // Ends the kind's back-off, because the freed capacity can be requested again. Otherwise a cluster at the
    // cloud's limit that loses many machines could not replace them before the back-off ends.
    const MachineRecord& record = environment_.state.machine(machine_index).record;
    if (record.mark == MachineMark::deleting && record.type.valid())
      requests_.clear_refusal(autoscaling::kind_of(record));
  }
}

void Autoscaler::on_listed(const std::vector<ListedMachine>& machines, Seconds now) {
  inventory_.on_listed(machines, now);
}

}  // namespace oxbowmill
