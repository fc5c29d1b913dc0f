// Troubles of the fleet's world.
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
  auto count =
      fault_spec.count != 0 ? fault_spec.count : static_cast<std::uint32_t>(fault_spec.fraction * created);
  switch (fault_spec.kind) {
    case FaultKind::all_controllers_down:
      for (std::size_t i = 0; i < controllers.size(); ++i)
        stop_controller(i, now + fault_spec.duration_s + fault_spec.stagger_s * static_cast<double>(i));
      break;
    case FaultKind::owner_down:
      stop_controller(busiest_owner(), now + fault_spec.duration_s);
      break;
    case FaultKind::owner_without_state:
      controllers[busiest_owner()].without_state_until = now + fault_spec.duration_s;
      break;
    case FaultKind::state_outage:
      store.set_outage(true, now);
      outage_until = now + fault_spec.duration_s;
      break;
    case FaultKind::state_slow:
      write_budget.set_rate(fault_spec.fraction * scenario_.write_rps,
                            fault_spec.fraction * scenario_.write_rps);
      slow_until = now + fault_spec.duration_s;
      break;
    case FaultKind::cloud_outage:
      cloud_down_until = now + fault_spec.duration_s;
      break;
    case FaultKind::machines_die:
      for (const std::string& m : pick_machines(count)) kill_machine(m);
      break;
    case FaultKind::machines_hang:
      for (const std::string& m : pick_machines(count))
        machines.at(m).hung_until = now + fault_spec.duration_s;
      break;
    case FaultKind::zone_workers_cut_off:
      cut_zone = fault_spec.zone;
      cut_until = now + fault_spec.duration_s;
      break;
    case FaultKind::owner_frozen:
      controllers[busiest_owner()].frozen_until = now + fault_spec.duration_s;
      break;
    case FaultKind::all_tasks_finish:
      for (auto& [ref, job] : jobs) {
        if (job.class_index == 0 && job.gang_started < 0) continue;
        std::vector<TaskNumber> all;
        for (auto& [t, r] : job.runs) {
          if (r.machine->worker->has(r.task_id)) all.push_back(t);
        }
        for (TaskNumber t : all) finish(job, t, EndCause::done);
      }
      break;
    case FaultKind::jobs_cancelled:
      for (auto& [ref, j] : jobs) {
        if (j.runs.empty() || uniform(0, 1) >= fault_spec.fraction) continue;
        for (User& u : users) {
          if (u.ref == ref && !u.finished) u.withdraws_at = u.next_request_at = now;
        }
      }
      break;
    case FaultKind::gang_member_dies: {
      std::uint32_t left = fault_spec.count;
      for (auto& [ref, j] : jobs) {
        if (left == 0 || j.class_index != 0 || j.gang_started < 0 || j.runs.size() < 2) continue;
        std::string victim = j.runs.begin()->second.machine_name;
        if (!machines.at(victim).alive) continue;
        kill_machine(victim);
        --left;
      }
      break;
    }
    case FaultKind::duplicate_reports:
      report_copies_fraction = fault_spec.fraction;
      report_copies_until = now + fault_spec.duration_s;
      break;
    case FaultKind::delayed_writes:
      delayed_writes_fraction = fault_spec.fraction;
      delayed_writes_until = now + fault_spec.duration_s;
      break;
    case FaultKind::delayed_responses:
      delayed_responses_fraction = fault_spec.fraction;
      delayed_responses_until = now + fault_spec.duration_s;
      max_response_delay = fault_spec.stagger_s > 0 ? fault_spec.stagger_s : 6;
      break;
    case FaultKind::machines_receive_nothing:
      for (const std::string& m : pick_machines(count))
        machines.at(m).receives_nothing_until = now + fault_spec.duration_s;
      break;
    case FaultKind::owner_refused_by_state:
      controllers[busiest_owner()].refused_until = now + fault_spec.duration_s;
      break;
    case FaultKind::owner_isolated:
      controllers[busiest_owner()].isolated_until = now + fault_spec.duration_s;
      break;
    case FaultKind::state_delay:
      state_delay = fault_spec.stagger_s;
      delay_until = now + fault_spec.duration_s;
      break;
    case FaultKind::lost_write_responses:
      lost_answers_fraction = fault_spec.fraction;
      lost_answers_until = now + fault_spec.duration_s;
      break;
    case FaultKind::replayed_reports:
      replay_fraction = fault_spec.fraction;
      replay_until = now + fault_spec.duration_s;
      break;
    case FaultKind::machines_send_nothing:
      for (const std::string& m : pick_machines(count))
        machines.at(m).sends_nothing_until = now + fault_spec.duration_s;
      break;
    case FaultKind::zone_isolated:
      isolated_zone = fault_spec.zone.empty() ? zone_names[pick(scenario_.zones)] : fault_spec.zone;
      isolated_until = now + fault_spec.duration_s;
      break;
    case FaultKind::jobs_cancelled_and_machines_hang: {
      std::uint32_t left = fault_spec.count;
      for (auto& [ref, job] : jobs) {
        if (job.runs.empty() || !chance(fault_spec.fraction)) continue;
        User* u = user_of(ref);
        if (u == nullptr || u->finished) continue;
        u->withdraws_at = u->next_request_at = now;
        SimulatedMachine& h = *job.runs.begin()->second.machine;
        if (left == 0 || now < h.hung_until) continue;
        h.hung_until = now + fault_spec.duration_s;
        --left;
      }
      break;
    }
    case FaultKind::jobs_cancelled_at_end:
      end_cancels_fraction = fault_spec.fraction;
      end_cancels_until = now + fault_spec.duration_s;
      break;
    case FaultKind::repeated_queries:
      repeated_queries_until = now + fault_spec.duration_s;
      break;
    case FaultKind::invalid_requests:
      invalid_requests_until = now + fault_spec.duration_s;
      break;
    case FaultKind::fast_boots:
      fast_boots_until = now + fault_spec.duration_s;
      break;
    case FaultKind::delayed_reports:
      reports_to_delay = count;
      delayed_reports_due_at = now + fault_spec.duration_s;
      break;
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
    write_budget.set_rate(scenario_.write_rps, scenario_.write_rps);
  }
  each_due(delayed_writes, [this](const Delayed<Json>& w) {
    if (store.outage()) return false;  // later still
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
    for (const WorkerReport& r : delayed_reports) {
      for (ControllerProcess& n : controllers) {
        // The worker has given these up long ago: whatever is answered does not reach it.
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
  for (const WorkerReport& r : retained_reports) {
    for (ControllerProcess& n : controllers) {
      if (acts(n) && n.state_loaded) n.controller->handle_report(r, now);
    }
  }
}

double ClusterSimulation::Impl::faults_end() const {
  double end = scenario_.warm_up_s;
  for (const Fault& f : scenario_.faults)
    end = std::max(end, f.at_s + f.duration_s + f.stagger_s * static_cast<double>(scenario_.controllers));
  return end;
}

}  // namespace oxbowmill::simulation
