// Agents of the simulated cluster: reports, execution of commands, and the progress and end of tasks.
#include "cluster_simulation_impl.h"

namespace oxbowmill::simulation {

std::pair<std::string, TaskNumber> ClusterSimulation::Impl::split(const std::string& id) {
  std::size_t slash = id.rfind('/');
  return {id.substr(0, slash), static_cast<TaskNumber>(std::stoul(id.substr(slash + 1)))};
}

bool ClusterSimulation::Impl::reachable(const SimulatedMachine& h) const {
  return h.alive && now >= h.up_at && now >= h.hung_until &&
         !(cut_zone == zone_names[h.zone] && now < cut_until);
}

void ClusterSimulation::Impl::deliver(std::size_t node, const DirectCommands& commands) {
  auto machine_it =
      machines.find(controllers[node].controller->cluster_state.names.machines.name(commands.machine));
  if (machine_it == machines.end() || !reachable(machine_it->second) ||
      now < machine_it->second.receives_nothing_until || !linked(node, machine_it->second))
    return;
  if (now < delayed_responses_until && chance(delayed_responses_fraction)) {
    delayed_commands.push_back({now + draw(0.5, max_response_delay), machine_it->first, commands});
    return;
  }
  command(machine_it, commands);
}

void ClusterSimulation::Impl::command(std::map<std::string, SimulatedMachine>::iterator machine_it,
                                      const DirectCommands& commands) {
  for (const AgentCommand& o : commands.commands)
    current_sample().kills += o.kind == CommandKind::kill ? 1 : 0;
  machine_it->second.worker->command(commands);
  after_commands(machine_it->first, machine_it->second);
  machine_it->second.next_report = std::min(machine_it->second.next_report, now + 0.5);
}

void ClusterSimulation::Impl::report(const std::string& name, SimulatedMachine& machine) {
  ControllerProcess& process = controllers[machine.controller];
  if (now < machine.sends_nothing_until || !linked(machine.controller, machine) || !acts(process) ||
      !process.state_loaded) {
    bool hangs = process.controller && now < process.frozen_until;
    machine.controller = (machine.controller + 1) % controllers.size();
    machine.next_report = now + (hangs ? 5 : 1);
    return;
  }
  AgentReport report = machine.worker->report(now);
  if (reports_to_delay > 0) {
    --reports_to_delay;
    delayed_reports.push_back(report);
  }
  if (now < replay_until && chance(replay_fraction)) retained_reports.push_back(report);
  if (now < report_copies_until && chance(report_copies_fraction))
    report_copies.push_back({now + draw(2, 1.3 * scenario.lease_s), machine.controller, report});
  ReportAnswer answer = process.controller->handle_report(report, now);
  bool delayed = now < delayed_responses_until && chance(delayed_responses_fraction);
  if (delayed || now < machine.receives_nothing_until) {
    // An agent waits 4 s for the response, sends no other report meanwhile, and ignores a response that is
    // later.
    double at_s = now < machine.receives_nothing_until ? now + 9 : now + draw(0.5, max_response_delay);
    if (at_s < now + 4) delayed_answers.push_back({at_s, name, answer});
    machine.waits_until = std::min(at_s, now + 4);
    machine.next_report = at_s < now + 4 ? at_s + step_s : now + 5;
    if (at_s >= now + 4) machine.controller = (machine.controller + 1) % controllers.size();
    return;
  }
  take_answer(name, machine, answer);
}

void ClusterSimulation::Impl::take_answer(const std::string& name, SimulatedMachine& machine,
                                          const ReportAnswer& answer) {
  machine.worker->answer(answer, now);
  for (const AgentCommand& o : answer.commands) current_sample().kills += o.kind == CommandKind::kill ? 1 : 0;
  after_commands(name, machine);
  if (answer.kind == ReportAnswer::Kind::ok) {
    machine.next_report = now + scenario.report_interval_s * uniform(0.75, 1.25);
  } else if (answer.kind == ReportAnswer::Kind::redirect) {
    for (std::size_t k = 0; k < controllers.size(); ++k) {
      if (controller_name(k) == answer.owner) machine.controller = k;
    }
    machine.next_report = now + uniform(0, 0.5);
  } else {
    machine.controller = (machine.controller + 1) % controllers.size();
    machine.next_report = now + 1;
  }
}

void ClusterSimulation::Impl::after_commands(const std::string& name, SimulatedMachine& machine) {
  for (const auto& [id, task_report] : machine.worker->tasks()) {
    SimulatedJob& job = jobs[task_report.job];
    auto run = job.runs.find(task_report.task);
    bool mine = run != job.runs.end() && run->second.machine_name == name;
    if (task_report.phase == TaskPhase::ended) {
      if (mine) on_task_stopped(job, task_report.task, task_report.checkpoint_saved);
      continue;
    }
    if (mine) continue;
    machine.used = true;
    double& fetched =
        machine.images
            .try_emplace(job.image, now + image_gb[job.image] / scenario.fetch_gb_per_s * uniform(0.8, 1.2))
            .first->second;
    job.runs[task_report.task] = {name, id, &machine, std::max(now, fetched), -1, -1};
  }
}

double ClusterSimulation::Impl::progress(const SimulatedJob& job, const TaskRun& r) const {
  if (job.class_index == 0) return job.gang_started < 0 ? 0 : now - job.gang_started;
  return r.started_at < 0 ? 0 : now - r.started_at;
}

void ClusterSimulation::Impl::on_task_stopped(SimulatedJob& job, TaskNumber task, bool saved) {
  TaskRun run = job.runs[task];
  job.runs.erase(task);
  double elapsed_s = progress(job, run);
  if (elapsed_s <= 0) return;
  double before = job.class_index == 0 ? job.gang_saved : job.saved_s[task];
  double kept = saved ? elapsed_s : std::floor((before + elapsed_s) / save_every_s) * save_every_s - before;
  kept = std::max(0.0, kept);
  result.lost_run_time_s += std::max(0.0, elapsed_s - kept) * job.gpus;
  if (job.class_index != 0) {
    job.saved_s[task] = before + kept;
    return;
  }
  if (job.gang_lost_at >= 0) return;
  job.gang_saved = before + kept;
  result.lost_run_time_s += std::max(0.0, elapsed_s - kept) * job.gpus * static_cast<double>(job.runs.size());
  job.gang_started = -1;
  job.gang_lost_at = now;
}

void ClusterSimulation::Impl::lose_all_tasks(const std::string& name, SimulatedMachine& machine) {
  for (const auto& [id, t] : machine.worker->tasks()) {
    SimulatedJob& j = jobs[t.job];
    auto run = j.runs.find(t.task);
    if (run != j.runs.end() && run->second.machine_name == name) on_task_stopped(j, t.task, false);
  }
}

void ClusterSimulation::Impl::tick_workers() {
  for (auto& [name, machine] : machines) {
    if (!machine.alive || now < machine.up_at) continue;
    machine.worker->tick(now);
    if (machine.worker->agent_epoch() != machine.agent_epoch) {
      machine.agent_epoch = machine.worker->agent_epoch();
      // The agent's lease has expired, so all tasks on the machine have ended.
      for (auto& [ref, job] : jobs) {
        for (auto it = job.runs.begin(); it != job.runs.end();) {
          TaskNumber t = it->first;
          bool here = it->second.machine_name == name;
          ++it;
          if (here) on_task_stopped(job, t, false);
        }
      }
    }
    if (now >= machine.next_report && now >= machine.waits_until && reachable(machine)) report(name, machine);
  }
}

void ClusterSimulation::Impl::tick_tasks() {
  for (auto& [ref, job] : jobs) {
    if (job.runs.empty()) {
      job.gang_lost_at = -1;
      continue;
    }
    std::vector<TaskNumber> ended, gave_up;
    bool all_ready = job.runs.size() == job.tasks;
    for (auto& [task, run] : job.runs) {
      if (!is_ready(run)) {
        all_ready = false;
        continue;
      }
      if (job.class_index == 1) {
        if (advance_array_task(job, task, run)) ended.push_back(task);
      } else if (gives_up_waiting(job, run)) {
        gave_up.push_back(task);
      }
    }
    if (job.class_index == 0) tick_gang(job, all_ready, ended);
    for (TaskNumber task : ended) finish(job, task, EndCause::done);
    for (TaskNumber task : gave_up) {
      if (job.gang_started < 0 && job.runs.count(task) != 0) finish(job, task, EndCause::gang_incomplete);
    }
  }
}

bool ClusterSimulation::Impl::is_ready(TaskRun& run) const {
  if (now < run.machine->hung_until) {
    run.started_at = run.started_at < 0 ? -1 : run.started_at + step_s;
    return false;
  }
  return now >= run.ready_at && run.machine->worker->has(run.task_id);
}

bool ClusterSimulation::Impl::advance_array_task(SimulatedJob& job, TaskNumber task, TaskRun& run) {
  if (run.started_at < 0) {
    run.started_at = now;
    run.machine->worker->set_phase(run.task_id, TaskPhase::running);
  }
  if (now - run.started_at >= counts_as_started_after_s) job.record_start(task, run.started_at);
  bool ends = now - run.started_at >= std::max(1.0, job.run_time_s(task) - job.saved_s[task]);
  count_gpus(job, 1);
  return ends;
}

bool ClusterSimulation::Impl::gives_up_waiting(const SimulatedJob& job, TaskRun& run) const {
  if (job.gang_started >= 0) return false;
  if (run.machine->worker->phase(run.task_id) == TaskPhase::fetching) {
    run.machine->worker->set_phase(run.task_id, TaskPhase::gathering);
    run.waiting_for_gang_since = now;
    return false;
  }
  return run.waiting_for_gang_since >= 0 && now - run.waiting_for_gang_since > scenario.gang_wait_s;
}

void ClusterSimulation::Impl::tick_gang(SimulatedJob& job, bool all_ready, std::vector<TaskNumber>& ended) {
  if (job.gang_lost_at >= 0) {
    if (now - job.gang_lost_at < 5) return;
    std::vector<TaskNumber> rest;
    for (auto& [t, r] : job.runs) {
      if (r.machine->alive && now >= r.machine->hung_until && r.machine->worker->has(r.task_id))
        rest.push_back(t);
    }
    for (TaskNumber t : rest) finish(job, t, EndCause::peers_lost);
    return;
  }
  if (job.gang_started < 0) {
    if (!all_ready) return;
    job.gang_started = now;
    for (auto& [t, r] : job.runs) r.machine->worker->set_phase(r.task_id, TaskPhase::running);
  }
  count_gpus(job, job.runs.size());
  if (now - job.gang_started >= counts_as_started_after_s) {
    for (auto& [t, r] : job.runs) job.record_start(t, job.gang_started);
  }
  bool hangs = std::any_of(job.runs.begin(), job.runs.end(),
                           [&](const auto& r) { return now < r.second.machine->hung_until; });
  if (hangs) {
    result.lost_run_time_s +=
        std::fmod(job.gang_saved + now - job.gang_started, save_every_s) * job.gpus * job.tasks;
    job.gang_saved = std::floor((job.gang_saved + now - job.gang_started) / save_every_s) * save_every_s;
    job.gang_started = -1;
    job.gang_lost_at = now;
  } else if (now - job.gang_started >= std::max(1.0, job.run_s - job.gang_saved)) {
    for (auto& [t, r] : job.runs) ended.push_back(t);
  }
}

void ClusterSimulation::Impl::finish(SimulatedJob& job, TaskNumber task, EndCause cause) {
  SimulatedMachine& h = *job.runs.at(task).machine;
  h.worker->finish(job.runs.at(task).task_id, cause);
  h.next_report = std::min(h.next_report, now + 0.3);
  if (cause == EndCause::done) invariants.on_task_complete(split(job.runs.at(task).task_id).first, task);
  if (cause == EndCause::done)
    job.record_start(task, job.class_index == 0 ? job.gang_started : job.runs.at(task).started_at);
  if (cause == EndCause::done && job.done.insert(task).second) {
    ++result.done_by_class[job.class_index];
    ++result.tasks_by_team[job.team];
    User* u = job.done.size() == job.tasks
                  ? user_of(job.runs.at(task).task_id.substr(0, job.runs.at(task).task_id.rfind('/')))
                  : nullptr;
    if (u != nullptr && now < end_cancels_until && chance(end_cancels_fraction))
      u->withdraws_at = u->next_request_at = now;
    if (u != nullptr && now < repeated_queries_until) u->queries_until = now + 1.5;
  }
  job.runs.erase(task);
  if (job.runs.empty()) {
    job.gang_started = -1;
    job.gang_lost_at = -1;
  }
}

void ClusterSimulation::Impl::count_gpus(const SimulatedJob& job, std::size_t tasks) {
  current_sample().gpus_in_use += job.gpus * static_cast<double>(tasks) * step_s;
}

}  // namespace oxbowmill::simulation
