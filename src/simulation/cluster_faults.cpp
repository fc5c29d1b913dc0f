// Faults of the simulated cluster: injection, duration and end of each.
#include "cluster_simulation_impl.h"

namespace oxbowmill::simulation {

std::size_t ClusterSimulation::Impl::owner_of_most_machines() const {
  std::size_t best = 0, most = 0;
  for (std::size_t i = 0; i < controllers.size(); ++i) {
    if (!controllers[i].controller) continue;
    std::size_t owned_machines = 0;
    for (std::uint32_t p = 0; p < controllers[i].controller->cluster_state.partition_count(); ++p) {
      if (controllers[i].controller->scheduler.owns(PartitionIndex{p}))
        owned_machines += 1 + controllers[i].controller->cluster_state.machines_of(PartitionIndex{p}).size();
    }
    if (owned_machines > most) best = i, most = owned_machines;
  }
  return best;
}

std::vector<std::string> ClusterSimulation::Impl::pick_machines(std::uint32_t count) {
  std::vector<std::string> alive_machines;
  for (auto& [name, h] : machines) {
    if (h.alive && now >= h.up_at) alive_machines.push_back(name);
  }
  std::shuffle(alive_machines.begin(), alive_machines.end(), random);
  alive_machines.resize(std::min<std::size_t>(alive_machines.size(), count));
  return alive_machines;
}

void ClusterSimulation::Impl::kill_machine(const std::string& name) {
  SimulatedMachine& machine = machines.at(name);
  lose_all_tasks(name, machine);
  machine.agent->power_off();
  machine.alive = false;
  machine.died_at = now;
}

void ClusterSimulation::Impl::apply(const Fault& fault) {
  if (apply_to_controllers(fault) || apply_to_services(fault) || apply_to_machines(fault) ||
      apply_to_jobs(fault))
    return;
  apply_to_messages(fault);
}

bool ClusterSimulation::Impl::apply_to_controllers(const Fault& fault) {
  double until = now + fault.duration_s;
  switch (fault.kind) {
    case FaultKind::all_controllers_down:
      for (std::size_t i = 0; i < controllers.size(); ++i)
        stop_controller(i, until + fault.stagger_s * static_cast<double>(i));
      return true;
    case FaultKind::owner_down:
      stop_controller(owner_of_most_machines(), until);
      return true;
    case FaultKind::owner_without_state:
      controllers[owner_of_most_machines()].without_state_until = until;
      return true;
    case FaultKind::owner_frozen:
      controllers[owner_of_most_machines()].frozen_until = until;
      return true;
    case FaultKind::owner_refused_by_state:
      controllers[owner_of_most_machines()].refused_until = until;
      return true;
    case FaultKind::owner_isolated:
      controllers[owner_of_most_machines()].isolated_until = until;
      return true;
    default:
      return false;
  }
}

bool ClusterSimulation::Impl::apply_to_services(const Fault& fault) {
  double until = now + fault.duration_s;
  switch (fault.kind) {
    case FaultKind::state_outage:
      store.set_outage(true, now);
      state_outage_until = until;
      return true;
    case FaultKind::state_slow:
      write_budget.set_rate(fault.fraction * scenario.write_rps, fault.fraction * scenario.write_rps);
      state_slow_until = until;
      return true;
    case FaultKind::state_delay:
      state_delay_s = fault.stagger_s;
      state_delay_until = until;
      return true;
    case FaultKind::cloud_outage:
      cloud_outage_until = until;
      return true;
    case FaultKind::fast_boots:
      fast_boots_until = until;
      return true;
    default:
      return false;
  }
}

bool ClusterSimulation::Impl::apply_to_machines(const Fault& fault) {
  double until = now + fault.duration_s;
  auto count = machine_count(fault);
  switch (fault.kind) {
    case FaultKind::machines_die:
      for (const std::string& name : pick_machines(count)) kill_machine(name);
      return true;
    case FaultKind::machines_hang:
      for (const std::string& name : pick_machines(count)) machines.at(name).hung_until = until;
      return true;
    case FaultKind::machines_receive_nothing:
      for (const std::string& name : pick_machines(count)) machines.at(name).receives_nothing_until = until;
      return true;
    case FaultKind::machines_send_nothing:
      for (const std::string& name : pick_machines(count)) machines.at(name).sends_nothing_until = until;
      return true;
    case FaultKind::zone_agents_cut_off:
      cut_off_zone = fault.zone;
      cut_off_until = until;
      return true;
    case FaultKind::zone_isolated:
      isolated_zone = fault.zone.empty() ? zone_names[pick(scenario.zones)] : fault.zone;
      isolated_until = until;
      return true;
    case FaultKind::gang_member_dies:
      kill_gang_members(fault.count);
      return true;
    default:
      return false;
  }
}

bool ClusterSimulation::Impl::apply_to_jobs(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::all_tasks_finish:
      finish_all_tasks();
      return true;
    case FaultKind::jobs_cancelled:
      cancel_jobs(fault.fraction);
      return true;
    case FaultKind::jobs_cancelled_and_machines_hang:
      cancel_jobs_and_hang_machines(fault);
      return true;
    case FaultKind::jobs_cancelled_at_end:
      end_cancels_fraction = fault.fraction;
      end_cancels_until = now + fault.duration_s;
      return true;
    case FaultKind::repeated_queries:
      repeated_queries_until = now + fault.duration_s;
      return true;
    case FaultKind::invalid_requests:
      invalid_requests_until = now + fault.duration_s;
      return true;
    default:
      return false;
  }
}

void ClusterSimulation::Impl::apply_to_messages(const Fault& fault) {
  constexpr double default_response_delay_s = 6;
  double until = now + fault.duration_s;
  switch (fault.kind) {
    case FaultKind::duplicate_reports:
      duplicate_reports_fraction = fault.fraction;
      duplicate_reports_until = until;
      break;
    case FaultKind::delayed_writes:
      delayed_writes_fraction = fault.fraction;
      delayed_writes_until = until;
      break;
    case FaultKind::delayed_responses:
      delayed_responses_fraction = fault.fraction;
      delayed_responses_until = until;
      max_response_delay_s = fault.stagger_s > 0 ? fault.stagger_s : default_response_delay_s;
      break;
    case FaultKind::lost_write_responses:
      lost_write_responses_fraction = fault.fraction;
      lost_write_responses_until = until;
      break;
    case FaultKind::replayed_reports:
      replay_fraction = fault.fraction;
      replay_until = until;
      break;
    case FaultKind::delayed_reports:
      reports_to_delay = machine_count(fault);
      delayed_reports_due_at = until;
      break;
    default:
      break;
  }
}

std::uint32_t ClusterSimulation::Impl::machine_count(const Fault& fault) const {
  return fault.count != 0 ? fault.count : static_cast<std::uint32_t>(fault.fraction * cloud_machine_count);
}

void ClusterSimulation::Impl::finish_all_tasks() {
  for (auto& [ref, job] : jobs) {
    if (job.class_index == 0 && job.gang_started_at < 0) continue;
    std::vector<TaskNumber> running;
    for (auto& [task, run] : job.runs) {
      if (run.machine->agent->has(run.task_id)) running.push_back(task);
    }
    for (TaskNumber task : running) finish(job, task, EndCause::done);
  }
}

void ClusterSimulation::Impl::cancel_jobs(double fraction) {
  for (auto& [ref, job] : jobs) {
    if (job.runs.empty() || uniform(0, 1) >= fraction) continue;
    for (User& user : users) {
      if (user.ref == ref && !user.finished) user.withdraw_at = user.next_request_at = now;
    }
  }
}

void ClusterSimulation::Impl::cancel_jobs_and_hang_machines(const Fault& fault) {
  std::uint32_t remaining_machines = fault.count;
  for (auto& [ref, job] : jobs) {
    if (job.runs.empty() || !chance(fault.fraction)) continue;
    User* user = find_user(ref);
    if (user == nullptr || user->finished) continue;
    user->withdraw_at = user->next_request_at = now;
    SimulatedMachine& machine = *job.runs.begin()->second.machine;
    if (remaining_machines == 0 || now < machine.hung_until) continue;
    machine.hung_until = now + fault.duration_s;
    --remaining_machines;
  }
}

void ClusterSimulation::Impl::kill_gang_members(std::uint32_t count) {
  for (auto& [ref, job] : jobs) {
    if (count == 0 || job.class_index != 0 || job.gang_started_at < 0 || job.runs.size() < 2) continue;
    std::string victim = job.runs.begin()->second.machine_name;
    if (!machines.at(victim).alive) continue;
    kill_machine(victim);
    --count;
  }
}

void ClusterSimulation::Impl::tick_faults() {
  while (!faults.empty() && faults.front().at_s <= now) {
    apply(faults.front());
    faults.erase(faults.begin());
  }
  if (store.outage() && now >= state_outage_until) store.set_outage(false, now);
  if (state_slow_until > 0 && now >= state_slow_until) {
    state_slow_until = 0;
    write_budget.set_rate(scenario.write_rps, scenario.write_rps);
  }
  each_due(delayed_writes, [this](const Delayed<Json>& w) {
    if (store.outage()) return false;  // try again after the outage
    store.txn(w.value);
    return true;
  });
  each_due(report_copies, [this](const ReportCopy& c) {
    ControllerProcess& process = controllers[c.controller];
    if (is_running(process) && process.state_loaded) process.controller->handle_report(c.report, now);
    return true;
  });
  each_due(delayed_commands, [this](const DelayedMessage<DirectCommands>& c) {
    auto machine = machines.find(c.machine_name);
    if (reachable(machine->second)) command(machine, c.message);
    return true;
  });
  each_due(delayed_responses, [this](const DelayedMessage<ReportAnswer>& a) {
    SimulatedMachine& machine = machines.at(a.machine_name);
    if (reachable(machine)) handle_response(a.machine_name, machine, a.message);
    return true;
  });
  replay_reports();
  if (delayed_reports_due_at > 0 && now >= delayed_reports_due_at) {
    for (const AgentReport& report : delayed_reports) {
      for (ControllerProcess& process : controllers) {
        // The agent stopped waiting for a response long ago, so none is delivered to it.
        if (is_running(process) && process.state_loaded) process.controller->handle_report(report, now);
      }
    }
    delayed_reports.clear();
    delayed_reports_due_at = 0;
  }
}

void ClusterSimulation::Impl::replay_reports() {
  bool has_new_owner = false;
  for (const ControllerProcess& process : controllers) {
    if (!is_running(process) || !process.state_loaded) continue;
    for (std::uint32_t partition_number = 0;
         partition_number < process.controller->cluster_state.partition_count(); ++partition_number) {
      Revision ownership_revision =
          process.controller->cluster_state.ownership(PartitionIndex{partition_number}).revision;
      if (!process.controller->scheduler.owns(PartitionIndex{partition_number}) ||
          ownership_revision <= ownership_revisions[partition_number])
        continue;
      has_new_owner = has_new_owner || ownership_revisions[partition_number] != 0;
      ownership_revisions[partition_number] = ownership_revision;
    }
  }
  if (!has_new_owner) return;
  for (const AgentReport& report : retained_reports) {
    for (ControllerProcess& process : controllers) {
      if (is_running(process) && process.state_loaded) process.controller->handle_report(report, now);
    }
  }
}

double ClusterSimulation::Impl::faults_end() const {
  double end = scenario.warm_up_s;
  for (const Fault& f : scenario.faults)
    end = std::max(end, f.at_s + f.duration_s + f.stagger_s * static_cast<double>(scenario.controllers));
  return end;
}

}  // namespace oxbowmill::simulation
