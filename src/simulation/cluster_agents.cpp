// Agents of the simulated cluster: reports, execution of commands, and the progress and end of tasks.
#include "cluster_simulation_impl.h"

namespace oxbowmill::simulation {

std::pair<std::string, TaskNumber> ClusterSimulation::Impl::split_task_id(const std::string& id) {
  std::size_t slash = id.rfind('/');
  return {id.substr(0, slash), static_cast<TaskNumber>(std::stoul(id.substr(slash + 1)))};
}

bool ClusterSimulation::Impl::reachable(const SimulatedMachine& machine) const {
  return machine.alive && now >= machine.up_at && now >= machine.hung_until &&
         !(cut_off_zone == zone_names[machine.zone] && now < cut_off_until);
}

void ClusterSimulation::Impl::deliver(std::size_t node, const DirectCommands& commands) {
  auto machine_it =
      machines.find(controllers[node].controller->cluster_state.names.machines.name(commands.machine));
  if (machine_it == machines.end() || !reachable(machine_it->second) ||
      now < machine_it->second.receives_nothing_until || !is_linked(node, machine_it->second))
    return;
  if (now < delayed_responses_until && chance(delayed_responses_fraction)) {
    delayed_commands.push_back({now + draw(0.5, max_response_delay_s), machine_it->first, commands});
    return;
  }
  command(machine_it, commands);
}

void ClusterSimulation::Impl::command(std::map<std::string, SimulatedMachine>::iterator machine_it,
                                      const DirectCommands& commands) {
  for (const AgentCommand& o : commands.commands)
    current_sample().kills += o.kind == CommandKind::kill ? 1 : 0;
  machine_it->second.agent->handle_commands(commands);
  record_task_changes(machine_it->first, machine_it->second);
  machine_it->second.next_report_at = std::min(machine_it->second.next_report_at, now + 0.5);
}

void ClusterSimulation::Impl::report(const std::string& name, SimulatedMachine& machine) {
  ControllerProcess& process = controllers[machine.controller];
  if (now < machine.sends_nothing_until || !is_linked(machine.controller, machine) || !is_running(process) ||
      !process.state_loaded) {
    bool is_frozen = process.controller && now < process.frozen_until;
    machine.controller = (machine.controller + 1) % controllers.size();
    machine.next_report_at = now + (is_frozen ? 5 : 1);
    return;
  }
  AgentReport report = machine.agent->report(now);
  if (reports_to_delay > 0) {
    --reports_to_delay;
    delayed_reports.push_back(report);
  }
  if (now < replay_until && chance(replay_fraction)) retained_reports.push_back(report);
  if (now < duplicate_reports_until && chance(duplicate_reports_fraction))
    report_copies.push_back({now + draw(2, 1.3 * scenario.lease_s), machine.controller, report});
  ReportAnswer response = process.controller->handle_report(report, now);
  bool is_delayed = now < delayed_responses_until && chance(delayed_responses_fraction);
  if (is_delayed || now < machine.receives_nothing_until) {
    // An agent waits 4 s for the response, sends no other report meanwhile, and ignores a response that is
    // later.
    double arrives_at =
        now < machine.receives_nothing_until ? now + 9 : now + draw(0.5, max_response_delay_s);
    if (arrives_at < now + 4) delayed_responses.push_back({arrives_at, name, response});
    machine.waits_for_response_until = std::min(arrives_at, now + 4);
    machine.next_report_at = arrives_at < now + 4 ? arrives_at + step_s : now + 5;
    if (arrives_at >= now + 4) machine.controller = (machine.controller + 1) % controllers.size();
    return;
  }
  handle_response(name, machine, response);
}

void ClusterSimulation::Impl::handle_response(const std::string& name, SimulatedMachine& machine,
                                              const ReportAnswer& response) {
  machine.agent->handle_response(response, now);
  for (const AgentCommand& o : response.commands)
    current_sample().kills += o.kind == CommandKind::kill ? 1 : 0;
  record_task_changes(name, machine);
  if (response.kind == ReportAnswer::Kind::ok) {
    machine.next_report_at = now + scenario.report_interval_s * uniform(0.75, 1.25);
  } else if (response.kind == ReportAnswer::Kind::redirect) {
    for (std::size_t k = 0; k < controllers.size(); ++k) {
      if (controller_name(k) == response.owner) machine.controller = k;
    }
    machine.next_report_at = now + uniform(0, 0.5);
  } else {
    machine.controller = (machine.controller + 1) % controllers.size();
    machine.next_report_at = now + 1;
  }
}

void ClusterSimulation::Impl::record_task_changes(const std::string& name, SimulatedMachine& machine) {
  for (const auto& [id, task_report] : machine.agent->tasks()) {
    SimulatedJob& job = jobs[task_report.job];
    auto run = job.runs.find(task_report.task);
    bool is_here = run != job.runs.end() && run->second.machine_name == name;
    if (task_report.phase == TaskPhase::ended) {
      if (is_here) on_task_stopped(job, task_report.task, task_report.checkpoint_saved);
      continue;
    }
    if (is_here) continue;
    machine.has_received_task = true;
    double& image_ready_at =
        machine.image_ready_at
            .try_emplace(job.image, now + image_gb[job.image] / scenario.fetch_gb_per_s * uniform(0.8, 1.2))
            .first->second;
    job.runs[task_report.task] = {name, id, &machine, std::max(now, image_ready_at), -1, -1};
  }
}

double ClusterSimulation::Impl::run_time_since_start_s(const SimulatedJob& job, const TaskRun& run) const {
  if (job.class_index == 0) return job.gang_started_at < 0 ? 0 : now - job.gang_started_at;
  return run.started_at < 0 ? 0 : now - run.started_at;
}

void ClusterSimulation::Impl::on_task_stopped(SimulatedJob& job, TaskNumber task, bool saved) {
  TaskRun run = job.runs[task];
  job.runs.erase(task);
  double elapsed_s = run_time_since_start_s(job, run);
  if (elapsed_s <= 0) return;
  double saved_before_s = job.class_index == 0 ? job.gang_saved_s : job.saved_s[task];
  double newly_saved_s =
      saved ? elapsed_s
            : std::floor((saved_before_s + elapsed_s) / checkpoint_interval_s) * checkpoint_interval_s -
                  saved_before_s;
  newly_saved_s = std::max(0.0, newly_saved_s);
  result.lost_run_time_s += std::max(0.0, elapsed_s - newly_saved_s) * job.gpus;
  if (job.class_index != 0) {
    job.saved_s[task] = saved_before_s + newly_saved_s;
    return;
  }
  if (job.gang_lost_at >= 0) return;
  job.gang_saved_s = saved_before_s + newly_saved_s;
  result.lost_run_time_s +=
      std::max(0.0, elapsed_s - newly_saved_s) * job.gpus * static_cast<double>(job.runs.size());
  job.gang_started_at = -1;
  job.gang_lost_at = now;
}

void ClusterSimulation::Impl::lose_all_tasks(const std::string& name, SimulatedMachine& machine) {
  for (const auto& [id, task] : machine.agent->tasks()) {
    SimulatedJob& job = jobs[task.job];
    auto run = job.runs.find(task.task);
    if (run != job.runs.end() && run->second.machine_name == name) on_task_stopped(job, task.task, false);
  }
}

void ClusterSimulation::Impl::tick_agents() {
  for (auto& [name, machine] : machines) {
    if (!machine.alive || now < machine.up_at) continue;
    machine.agent->tick(now);
    if (machine.agent->agent_epoch() != machine.agent_epoch) {
      machine.agent_epoch = machine.agent->agent_epoch();
      // The agent's lease has expired, so all tasks on the machine have ended.
      for (auto& [ref, job] : jobs) {
        for (auto it = job.runs.begin(); it != job.runs.end();) {
          TaskNumber task = it->first;
          bool is_here = it->second.machine_name == name;
          ++it;
          if (is_here) on_task_stopped(job, task, false);
        }
      }
    }
    if (now >= machine.next_report_at && now >= machine.waits_for_response_until && reachable(machine))
      report(name, machine);
  }
}

void ClusterSimulation::Impl::tick_tasks() {
  for (auto& [ref, job] : jobs) {
    if (job.runs.empty()) {
      job.gang_lost_at = -1;
      continue;
    }
    std::vector<TaskNumber> ended, timed_out;
    bool all_ready = job.runs.size() == job.tasks;
    for (auto& [task, run] : job.runs) {
      if (!is_ready(run)) {
        all_ready = false;
        continue;
      }
      if (job.class_index == 1) {
        if (advance_array_task(job, task, run)) ended.push_back(task);
      } else if (wait_for_gang(job, run)) {
        timed_out.push_back(task);
      }
    }
    if (job.class_index == 0) tick_gang(job, all_ready, ended);
    for (TaskNumber task : ended) finish(job, task, EndCause::done);
    for (TaskNumber task : timed_out) {
      if (job.gang_started_at < 0 && job.runs.count(task) != 0) finish(job, task, EndCause::gang_incomplete);
    }
  }
}

bool ClusterSimulation::Impl::is_ready(TaskRun& run) const {
  if (now < run.machine->hung_until) {
    run.started_at = run.started_at < 0 ? -1 : run.started_at + step_s;
    return false;
  }
  return now >= run.ready_at && run.machine->agent->has(run.task_id);
}

bool ClusterSimulation::Impl::advance_array_task(SimulatedJob& job, TaskNumber task, TaskRun& run) {
  if (run.started_at < 0) {
    run.started_at = now;
    run.machine->agent->set_phase(run.task_id, TaskPhase::running);
  }
  if (now - run.started_at >= counts_as_started_after_s) job.record_start(task, run.started_at);
  bool ends = now - run.started_at >= std::max(1.0, job.run_time_s(task) - job.saved_s[task]);
  count_gpus(job, 1);
  return ends;
}

bool ClusterSimulation::Impl::wait_for_gang(const SimulatedJob& job, TaskRun& run) const {
  if (job.gang_started_at >= 0) return false;
  if (run.machine->agent->phase(run.task_id) == TaskPhase::fetching) {
    run.machine->agent->set_phase(run.task_id, TaskPhase::gathering);
    run.waiting_for_gang_since = now;
    return false;
  }
  return run.waiting_for_gang_since >= 0 && now - run.waiting_for_gang_since > scenario.gang_wait_s;
}

void ClusterSimulation::Impl::tick_gang(SimulatedJob& job, bool all_ready, std::vector<TaskNumber>& ended) {
  if (job.gang_lost_at >= 0) {
    if (now - job.gang_lost_at < 5) return;
    std::vector<TaskNumber> remaining_tasks;
    for (auto& [t, r] : job.runs) {
      if (r.machine->alive && now >= r.machine->hung_until && r.machine->agent->has(r.task_id))
        remaining_tasks.push_back(t);
    }
    for (TaskNumber t : remaining_tasks) finish(job, t, EndCause::peers_lost);
    return;
  }
  if (job.gang_started_at < 0) {
    if (!all_ready) return;
    job.gang_started_at = now;
    for (auto& [t, r] : job.runs) r.machine->agent->set_phase(r.task_id, TaskPhase::running);
  }
  count_gpus(job, job.runs.size());
  if (now - job.gang_started_at >= counts_as_started_after_s) {
    for (auto& [t, r] : job.runs) job.record_start(t, job.gang_started_at);
  }
  bool any_machine_hangs = std::any_of(job.runs.begin(), job.runs.end(),
                                       [&](const auto& r) { return now < r.second.machine->hung_until; });
  if (any_machine_hangs) {
    result.lost_run_time_s +=
        std::fmod(job.gang_saved_s + now - job.gang_started_at, checkpoint_interval_s) * job.gpus * job.tasks;
    job.gang_saved_s = std::floor((job.gang_saved_s + now - job.gang_started_at) / checkpoint_interval_s) *
                       checkpoint_interval_s;
    job.gang_started_at = -1;
    job.gang_lost_at = now;
  } else if (now - job.gang_started_at >= std::max(1.0, job.base_run_time_s - job.gang_saved_s)) {
    for (auto& [t, r] : job.runs) ended.push_back(t);
  }
}

void ClusterSimulation::Impl::finish(SimulatedJob& job, TaskNumber task, EndCause cause) {
  SimulatedMachine& machine = *job.runs.at(task).machine;
  machine.agent->finish(job.runs.at(task).task_id, cause);
  machine.next_report_at = std::min(machine.next_report_at, now + 0.3);
  if (cause == EndCause::done)
    invariants.on_task_complete(split_task_id(job.runs.at(task).task_id).first, task);
  if (cause == EndCause::done)
    job.record_start(task, job.class_index == 0 ? job.gang_started_at : job.runs.at(task).started_at);
  if (cause == EndCause::done && job.completed_tasks.insert(task).second) {
    ++result.completed_tasks_by_class[job.class_index];
    ++result.completed_tasks_by_team[job.team];
    User* user = job.completed_tasks.size() == job.tasks
                     ? find_user(job.runs.at(task).task_id.substr(0, job.runs.at(task).task_id.rfind('/')))
                     : nullptr;
    if (user != nullptr && now < end_cancels_until && chance(end_cancels_fraction))
      user->withdraw_at = user->next_request_at = now;
    if (user != nullptr && now < repeated_queries_until) user->query_until = now + 1.5;
  }
  job.runs.erase(task);
  if (job.runs.empty()) {
    job.gang_started_at = -1;
    job.gang_lost_at = -1;
  }
}

void ClusterSimulation::Impl::count_gpus(const SimulatedJob& job, std::size_t tasks) {
  current_sample().gpus_in_use += job.gpus * static_cast<double>(tasks) * step_s;
}

}  // namespace oxbowmill::simulation
