// Faults of the simulated cluster: injection, duration and end of each.
#include "cluster_simulation_impl.h"

namespace oxbowmill::simulation {

std::size_t ClusterSimulation::Impl::busiest_owner() const {
  std::size_t best = 0, most = 0;
  for (std::size_t i = 0; i < controllers.size(); ++i) {
    if (!controllers[i].controller) continue;
    std::size_t n = 0;
    for (std::uint32_t p = 0; p < controllers[i].controller->cluster_state.partition_count(); ++p) {
      if (controllers[i].controller->scheduler.owns(PartitionIndex{p}))
        n += 1 + controllers[i].controller->cluster_state.machines_of(PartitionIndex{p}).size();
    }
    if (n > most) best = i, most = n;
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
  machine.worker->power_off();
  machine.alive = false;
  machine.died_at = now;
}

void ClusterSimulation::Impl::apply(const Fault& fault_spec) {
  if (apply_to_controllers(fault_spec) || apply_to_services(fault_spec) || apply_to_machines(fault_spec) ||
      apply_to_jobs(fault_spec))
    return;
  apply_to_messages(fault_spec);
}

bool ClusterSimulation::Impl::apply_to_controllers(const Fault& fault_spec) {
  double until = now + fault_spec.duration_s;
  switch (fault_spec.kind) {
    case FaultKind::all_controllers_down:
      for (std::size_t i = 0; i < controllers.size(); ++i)
        stop_controller(i, until + fault_spec.stagger_s * static_cast<double>(i));
      return true;
    case FaultKind::owner_down:
      stop_controller(busiest_owner(), until);
      return true;
    case FaultKind::owner_without_state:
      controllers[busiest_owner()].without_state_until = until;
      return true;
    case FaultKind::owner_frozen:
      controllers[busiest_owner()].frozen_until = until;
      return true;
    case FaultKind::owner_refused_by_state:
      controllers[busiest_owner()].refused_until = until;
      return true;
    case FaultKind::owner_isolated:
      controllers[busiest_owner()].isolated_until = until;
      return true;
    default:
      return false;
  }
}

bool ClusterSimulation::Impl::apply_to_services(const Fault& fault_spec) {
  double until = now + fault_spec.duration_s;
  switch (fault_spec.kind) {
    case FaultKind::state_outage:
      store.set_outage(true, now);
      outage_until = until;
      return true;
    case FaultKind::state_slow:
      write_budget.set_rate(fault_spec.fraction * scenario.write_rps,
                            fault_spec.fraction * scenario.write_rps);
      slow_until = until;
      return true;
    case FaultKind::state_delay:
      state_delay = fault_spec.stagger_s;
      delay_until = until;
      return true;
    case FaultKind::cloud_outage:
      cloud_down_until = until;
      return true;
    case FaultKind::fast_boots:
      fast_boots_until = until;
      return true;
    default:
      return false;
  }
}

bool ClusterSimulation::Impl::apply_to_machines(const Fault& fault_spec) {
  double until = now + fault_spec.duration_s;
  auto count = machine_count(fault_spec);
  switch (fault_spec.kind) {
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
    case FaultKind::zone_workers_cut_off:
      cut_zone = fault_spec.zone;
      cut_until = until;
      return true;
    case FaultKind::zone_isolated:
      isolated_zone = fault_spec.zone.empty() ? zone_names[pick(scenario.zones)] : fault_spec.zone;
      isolated_until = until;
      return true;
    case FaultKind::gang_member_dies:
      kill_gang_members(fault_spec.count);
      return true;
    default:
      return false;
  }
}

bool ClusterSimulation::Impl::apply_to_jobs(const Fault& fault_spec) {
  switch (fault_spec.kind) {
    case FaultKind::all_tasks_finish:
      finish_all_tasks();
      return true;
    case FaultKind::jobs_cancelled:
      cancel_jobs(fault_spec.fraction);
      return true;
    case FaultKind::jobs_cancelled_and_machines_hang:
      cancel_jobs_and_hang_machines(fault_spec);
      return true;
    case FaultKind::jobs_cancelled_at_end:
      end_cancels_fraction = fault_spec.fraction;
      end_cancels_until = now + fault_spec.duration_s;
      return true;
    case FaultKind::repeated_queries:
      repeated_queries_until = now + fault_spec.duration_s;
      return true;
    case FaultKind::invalid_requests:
      invalid_requests_until = now + fault_spec.duration_s;
      return true;
    default:
      return false;
  }
}

void ClusterSimulation::Impl::apply_to_messages(const Fault& fault_spec) {
  constexpr double default_response_delay_s = 6;
  double until = now + fault_spec.duration_s;
  switch (fault_spec.kind) {
    case FaultKind::duplicate_reports:
      report_copies_fraction = fault_spec.fraction;
      report_copies_until = until;
      break;
    case FaultKind::delayed_writes:
      delayed_writes_fraction = fault_spec.fraction;
      delayed_writes_until = until;
      break;
    case FaultKind::delayed_responses:
      delayed_responses_fraction = fault_spec.fraction;
      delayed_responses_until = until;
      max_response_delay = fault_spec.stagger_s > 0 ? fault_spec.stagger_s : default_response_delay_s;
      break;
    case FaultKind::lost_write_responses:
      lost_answers_fraction = fault_spec.fraction;
      lost_answers_until = until;
      break;
    case FaultKind::replayed_reports:
      replay_fraction = fault_spec.fraction;
      replay_until = until;
      break;
    case FaultKind::delayed_reports:
      reports_to_delay = machine_count(fault_spec);
      delayed_reports_due_at = until;
      break;
    default:
      break;
  }
}

std::uint32_t ClusterSimulation::Impl::machine_count(const Fault& fault_spec) const {
  return fault_spec.count != 0 ? fault_spec.count : static_cast<std::uint32_t>(fault_spec.fraction * created);
}

void ClusterSimulation::Impl::finish_all_tasks() {
  for (auto& [ref, job] : jobs) {
    if (job.class_index == 0 && job.gang_started < 0) continue;
    std::vector<TaskNumber> running;
    for (auto& [task, run] : job.runs) {
      if (run.machine->worker->has(run.task_id)) running.push_back(task);
    }
    for (TaskNumber task : running) finish(job, task, EndCause::done);
  }
}

void ClusterSimulation::Impl::cancel_jobs(double fraction) {
  for (auto& [ref, job] : jobs) {
    if (job.runs.empty() || uniform(0, 1) >= fraction) continue;
    for (User& user : users) {
      if (user.ref == ref && !user.finished) user.withdraws_at = user.next_request_at = now;
    }
  }
}

void ClusterSimulation::Impl::cancel_jobs_and_hang_machines(const Fault& fault_spec) {
  std::uint32_t machines_left = fault_spec.count;
  for (auto& [ref, job] : jobs) {
    if (job.runs.empty() || !chance(fault_spec.fraction)) continue;
    User* user = user_of(ref);
    if (user == nullptr || user->finished) continue;
    user->withdraws_at = user->next_request_at = now;
    SimulatedMachine& machine = *job.runs.begin()->second.machine;
    if (machines_left == 0 || now < machine.hung_until) continue;
    machine.hung_until = now + fault_spec.duration_s;
    --machines_left;
  }
}

void ClusterSimulation::Impl::kill_gang_members(std::uint32_t count) {
  for (auto& [ref, job] : jobs) {
    if (count == 0 || job.class_index != 0 || job.gang_started < 0 || job.runs.size() < 2) continue;
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
  if (store.outage() && now >= outage_until) store.set_outage(false, now);
  if (slow_until > 0 && now >= slow_until) {
    slow_until = 0;
    write_budget.set_rate(scenario.write_rps, scenario.write_rps);
  }
  each_due(delayed_writes, [this](const Delayed<Json>& w) {
    if (store.outage()) return false;  // try again after the outage
    store.txn(w.value);
    return true;
  });
  each_due(report_copies, [this](const ReportCopy& c) {
    ControllerProcess& n = controllers[c.controller];
    if (acts(n) && n.state_loaded) n.controller->handle_report(c.report, now);
    return true;
  });
  each_due(delayed_commands, [this](const DelayedMessage<DirectCommands>& c) {
    auto h = machines.find(c.machine_name);
    if (reachable(h->second)) command(h, c.message);
    return true;
  });
  each_due(delayed_answers, [this](const DelayedMessage<ReportAnswer>& a) {
    SimulatedMachine& h = machines.at(a.machine_name);
    if (reachable(h)) take_answer(a.machine_name, h, a.message);
    return true;
  });
  replay_reports();
  if (delayed_reports_due_at > 0 && now >= delayed_reports_due_at) {
    for (const AgentReport& r : delayed_reports) {
      for (ControllerProcess& n : controllers) {
        // The agent stopped waiting for a response long ago, so none is delivered to it.
        if (acts(n) && n.state_loaded) n.controller->handle_report(r, now);
      }
    }
    delayed_reports.clear();
    delayed_reports_due_at = 0;
  }
}

void ClusterSimulation::Impl::replay_reports() {
  bool begins = false;
  for (const ControllerProcess& process : controllers) {
    if (!acts(process) || !process.state_loaded) continue;
    for (std::uint32_t partition_number = 0;
         partition_number < process.controller->cluster_state.partition_count(); ++partition_number) {
      Revision ownership_revision =
          process.controller->cluster_state.ownership(PartitionIndex{partition_number}).revision;
      if (!process.controller->scheduler.owns(PartitionIndex{partition_number}) ||
          ownership_revision <= ownership_revisions[partition_number])
        continue;
      begins = begins || ownership_revisions[partition_number] != 0;
      ownership_revisions[partition_number] = ownership_revision;
    }
  }
  if (!begins) return;
  for (const AgentReport& r : retained_reports) {
    for (ControllerProcess& n : controllers) {
      if (acts(n) && n.state_loaded) n.controller->handle_report(r, now);
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
