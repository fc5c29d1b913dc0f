#include "oxbowmill/autoscaling/cloud_inventory.h"

namespace oxbowmill::autoscaling {

namespace {
constexpr Seconds list_timeout_s = 30;  // after which an unanswered list request is repeated
// Both are multiples of the lag of the cloud's list.
constexpr double adopt_after_lags = 3;    // time until a listed machine without a record is adopted
constexpr double missing_after_lags = 6;  // age of a record from which an unlisted machine counts as failed
}  // namespace

void CloudInventory::request_list(Seconds now, Effects& out) {
  if (now < next_list_at_ || (is_list_in_flight_ && now - list_requested_at_ <= list_timeout_s)) return;
  next_list_at_ = now + environment_.state.settings.operator_settings.cloud_list_interval_s;
  is_list_in_flight_ = true;
  list_requested_at_ = now;
  out.list_machines = true;
}

void CloudInventory::on_listed(const std::vector<ListedMachine>& machines, Seconds now) {
  ClusterState& state = environment_.state;
  is_list_in_flight_ = false;
  std::map<std::string, Seconds> unrecorded;
  std::set<MachineIndex> listed;
  for (const ListedMachine& listed_machine : machines) {
    MachineIndex machine_index = state.intern_machine(listed_machine.name);
    listed.insert(machine_index);
    if (state.machine(machine_index).revision != 0) {
      update_recorded(machine_index, listed_machine);
      continue;
    }
    if (deletions_.is_confirmed(machine_index)) continue;
    // The machine was delivered by a scale-out whose answer was lost, existed before the controllers did, or
    // was deleted by an earlier leader and is still on a late list. The wait excludes the last case.
    auto previous = unrecorded_since_.find(listed_machine.name);
    Seconds since = previous == unrecorded_since_.end() ? now : previous->second;
    unrecorded[listed_machine.name] = since;
    if (now - since >= adopt_after_lags * state.settings.cloud_list_lag_s) adopt_unrecorded(listed_machine);
  }
  unrecorded_since_ = std::move(unrecorded);
  mark_missing_as_failed(listed, now);
}

void CloudInventory::update_recorded(MachineIndex machine_index, const ListedMachine& listed_machine) {
  ClusterState& state = environment_.state;
  if (state.machine(machine_index).address.empty())
    state.edit_machine(machine_index).address = listed_machine.address;
  if (listed_machine.phase == ListedMachine::Phase::failed)
    state.edit_machine(machine_index).reported_failed = true;
}

void CloudInventory::adopt_unrecorded(const ListedMachine& listed_machine) {
  const Names& names = environment_.state.names;
  MachineRecord record;
  record.partition = idle_pool;
  record.type = names.types.find(listed_machine.type);
  record.zone = names.zones.find(listed_machine.zone);
  record.spot = listed_machine.spot;
  if (record.type.valid() && record.zone.valid()) adoption_.queue(listed_machine.name, record);
}

void CloudInventory::mark_missing_as_failed(const std::set<MachineIndex>& listed, Seconds now) {
  ClusterState& state = environment_.state;
  // A missing machine may have been taken back by the cloud, but the list does not prove that it is gone. It
  // is marked as failed and therefore deleted, and the answer to the deletion is the proof.
  for (std::uint32_t i = 0; i < state.machine_count(); ++i) {
    MachineIndex machine_index{i};
    const Machine& machine = state.machine(machine_index);
    // The cloud does not list machines of markets.
    if (machine.revision != 0 && machine.has_booted && !machine.record.market.valid() &&
        listed.count(machine_index) == 0 &&
        now - machine.known_since > missing_after_lags * state.settings.cloud_list_lag_s)
      state.edit_machine(machine_index).reported_failed = true;
  }
}

}  // namespace oxbowmill::autoscaling
