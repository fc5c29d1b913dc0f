// Workers of the fleet's world: reports, orders and what tasks come to.
#include "fleet_world_impl.h"

namespace oxbowmill::lab {

std::pair<std::string, TaskNo> FleetWorld::Impl::split(const std::string& id) {
  std::size_t slash = id.rfind('/');
  return {id.substr(0, slash), static_cast<TaskNo>(std::stoul(id.substr(slash + 1)))};
}

bool FleetWorld::Impl::reachable(const Host& h) const {
  return h.alive && now >= h.up_at && now >= h.hung_until &&
         !(cut_zone == zone_names[h.zone] && now < cut_until);
}

void FleetWorld::Impl::deliver(std::size_t node, const DirectOrders& d) {
  auto h = hosts.find(nodes[node].core->model.names.machines.name(d.machine));
  if (h == hosts.end() || !reachable(h->second) || now < h->second.deaf_until || !linked(node, h->second))
    return;
  if (now < held_up_until && lucky(held_up_share)) {
    held_commands.push_back({now + drawn(0.5, longest_held_up), h->first, d});
    return;
  }
  command(h, d);
}

void FleetWorld::Impl::command(std::map<std::string, Host>::iterator h, const DirectOrders& d) {
  for (const Order& o : d.orders) second().kills += o.verb == OrderVerb::kill ? 1 : 0;
  h->second.worker->command(d);
  after_orders(h->first, h->second);
  h->second.next_report = std::min(h->second.next_report, now + 0.5);
}

void FleetWorld::Impl::report(const std::string& name, Host& h) {
  Node& n = nodes[h.node];
  if (now < h.mute_until || !linked(h.node, h) || !acts(n) || !n.listed) {
    bool hangs = n.core && now < n.frozen_until;
    h.node = (h.node + 1) % nodes.size();
    h.next_report = now + (hangs ? 5 : 1);
    return;
  }
  WorkerReport r = h.worker->report(now);
  if (hold_late > 0) {
    --hold_late;
    late.push_back(r);
  }
  if (now < kept_until && lucky(kept_share)) kept.push_back(r);
  if (now < copies_until && lucky(copies_share))
    copies.push_back({now + drawn(2, 1.3 * s.lease_s), h.node, r});
  ReportAnswer a = n.core->hear(r, now);
  bool held = now < held_up_until && lucky(held_up_share);
  if (held || now < h.deaf_until) {
    // A worker waits for 4 s, has one report under way, and drops what comes later.
    double at = now < h.deaf_until ? now + 9 : now + drawn(0.5, longest_held_up);
    if (at < now + 4) held_answers.push_back({at, name, a});
    h.waits_until = std::min(at, now + 4);
    h.next_report = at < now + 4 ? at + step_s : now + 5;
    if (at >= now + 4) h.node = (h.node + 1) % nodes.size();
    return;
  }
  take_answer(name, h, a);
}

void FleetWorld::Impl::take_answer(const std::string& name, Host& h, const ReportAnswer& a) {
  h.worker->answer(a, now);
  for (const Order& o : a.orders) second().kills += o.verb == OrderVerb::kill ? 1 : 0;
  after_orders(name, h);
  if (a.kind == ReportAnswer::Kind::ok) {
    h.next_report = now + s.report_s * uniform(0.75, 1.25);
  } else if (a.kind == ReportAnswer::Kind::redirect) {
    for (std::size_t k = 0; k < nodes.size(); ++k) {
      if (node_name(k) == a.owner) h.node = k;
    }
    h.next_report = now + uniform(0, 0.5);
  } else {
    h.node = (h.node + 1) % nodes.size();
    h.next_report = now + 1;
  }
}

void FleetWorld::Impl::after_orders(const std::string& name, Host& h) {
  for (const auto& [id, t] : h.worker->tasks()) {
    JobInfo& j = jobs[t.job];
    auto run = j.runs.find(t.task);
    bool mine = run != j.runs.end() && run->second.host == name;
    if (t.phase == TaskPhase::ended) {
      if (mine) stopped(j, t.task, t.saved);
      continue;
    }
    if (mine) continue;
    h.used = true;
    double& fetched =
        h.images.try_emplace(j.image, now + image_gb[j.image] / s.fetch_gb_per_s * uniform(0.8, 1.2))
            .first->second;
    j.runs[t.task] = {name, id, &h, std::max(now, fetched), -1, -1};
  }
}

double FleetWorld::Impl::progress(const JobInfo& j, const Run& r) const {
  if (j.cls == 0) return j.gang_started < 0 ? 0 : now - j.gang_started;
  return r.started < 0 ? 0 : now - r.started;
}

void FleetWorld::Impl::stopped(JobInfo& j, TaskNo task, bool saved) {
  Run run = j.runs[task];
  j.runs.erase(task);
  double ran = progress(j, run);
  if (ran <= 0) return;
  double before = j.cls == 0 ? j.gang_saved : j.saved[task];
  double kept = saved ? ran : std::floor((before + ran) / save_every_s) * save_every_s - before;
  kept = std::max(0.0, kept);
  result.lost_s += std::max(0.0, ran - kept) * j.gpus;
  if (j.cls != 0) {
    j.saved[task] = before + kept;
    return;
  }
  if (j.gang_lost_at >= 0) return;
  j.gang_saved = before + kept;
  result.lost_s += std::max(0.0, ran - kept) * j.gpus * static_cast<double>(j.runs.size());
  j.gang_started = -1;
  j.gang_lost_at = now;
}

void FleetWorld::Impl::lose_all(const std::string& name, Host& h) {
  for (const auto& [id, t] : h.worker->tasks()) {
    JobInfo& j = jobs[t.job];
    auto run = j.runs.find(t.task);
    if (run != j.runs.end() && run->second.host == name) stopped(j, t.task, false);
  }
}

void FleetWorld::Impl::tick_workers() {
  for (auto& [name, h] : hosts) {
    if (!h.alive || now < h.up_at) continue;
    h.worker->tick(now);
    if (h.worker->tenure() != h.tenure) {
      h.tenure = h.worker->tenure();
      // Its lease was over: everything on it is gone.
      for (auto& [ref, j] : jobs) {
        for (auto it = j.runs.begin(); it != j.runs.end();) {
          TaskNo t = it->first;
          bool here = it->second.host == name;
          ++it;
          if (here) stopped(j, t, false);
        }
      }
    }
    if (now >= h.next_report && now >= h.waits_until && reachable(h)) report(name, h);
  }
}

void FleetWorld::Impl::tick_tasks() {
  for (auto& [ref, j] : jobs) {
    if (j.runs.empty()) {
      j.gang_lost_at = -1;
      continue;
    }
    std::vector<TaskNo> ended, gave_up;
    bool all_ready = j.runs.size() == j.tasks;
    for (auto& [t, r] : j.runs) {
      Host& h = *r.at;
      if (now < h.hung_until) {
        r.started = r.started < 0 ? -1 : r.started + step_s;
        all_ready = false;
        continue;
      }
      const std::string& id = r.id;
      if (now < r.ready_at || !h.worker->has(id)) {
        all_ready = false;
        continue;
      }
      if (j.cls == 1) {
        if (r.started < 0) {
          r.started = now;
          h.worker->set_phase(id, TaskPhase::running);
        }
        if (now - r.started >= begun_after_s) j.note_begun(t, r.started);
        if (now - r.started >= std::max(1.0, j.run_of(t) - j.saved[t])) ended.push_back(t);
        count_gpus(j, 1);
      } else if (j.gang_started < 0 && h.worker->phase(id) == TaskPhase::fetching) {
        h.worker->set_phase(id, TaskPhase::gathering);
        r.gathers_since = now;
      } else if (j.gang_started < 0 && r.gathers_since >= 0 && now - r.gathers_since > s.gang_wait_s) {
        gave_up.push_back(t);
      }
    }
    if (j.cls == 0) tick_gang(j, all_ready, ended);
    for (TaskNo t : ended) finish(j, t, EndCause::done);
    for (TaskNo t : gave_up) {
      if (j.gang_started < 0 && j.runs.count(t) != 0) finish(j, t, EndCause::incomplete);
    }
  }
}

void FleetWorld::Impl::tick_gang(JobInfo& j, bool all_ready, std::vector<TaskNo>& ended) {
  if (j.gang_lost_at >= 0) {
    if (now - j.gang_lost_at < 5) return;
    std::vector<TaskNo> rest;
    for (auto& [t, r] : j.runs) {
      if (r.at->alive && now >= r.at->hung_until && r.at->worker->has(r.id)) rest.push_back(t);
    }
    for (TaskNo t : rest) finish(j, t, EndCause::peers);
    return;
  }
  if (j.gang_started < 0) {
    if (!all_ready) return;
    j.gang_started = now;
    for (auto& [t, r] : j.runs) r.at->worker->set_phase(r.id, TaskPhase::running);
  }
  count_gpus(j, j.runs.size());
  if (now - j.gang_started >= begun_after_s) {
    for (auto& [t, r] : j.runs) j.note_begun(t, j.gang_started);
  }
  bool hangs =
      std::any_of(j.runs.begin(), j.runs.end(), [&](const auto& r) { return now < r.second.at->hung_until; });
  if (hangs) {
    result.lost_s += std::fmod(j.gang_saved + now - j.gang_started, save_every_s) * j.gpus * j.tasks;
    j.gang_saved = std::floor((j.gang_saved + now - j.gang_started) / save_every_s) * save_every_s;
    j.gang_started = -1;
    j.gang_lost_at = now;
  } else if (now - j.gang_started >= std::max(1.0, j.run_s - j.gang_saved)) {
    for (auto& [t, r] : j.runs) ended.push_back(t);
  }
}

void FleetWorld::Impl::finish(JobInfo& j, TaskNo t, EndCause cause) {
  Host& h = *j.runs.at(t).at;
  h.worker->finish(j.runs.at(t).id, cause);
  h.next_report = std::min(h.next_report, now + 0.3);
  if (cause == EndCause::done) rules.completes(split(j.runs.at(t).id).first, t);
  if (cause == EndCause::done) j.note_begun(t, j.cls == 0 ? j.gang_started : j.runs.at(t).started);
  if (cause == EndCause::done && j.done.insert(t).second) {
    ++result.done[j.cls];
    ++result.of_team[j.team];
    User* u =
        j.done.size() == j.tasks ? user_of(j.runs.at(t).id.substr(0, j.runs.at(t).id.rfind('/'))) : nullptr;
    if (u != nullptr && now < end_cancels_until && lucky(end_cancel_share)) u->withdraws_at = u->next = now;
    if (u != nullptr && now < looks_until) u->looks_until = now + 1.5;
  }
  j.runs.erase(t);
  if (j.runs.empty()) {
    j.gang_started = -1;
    j.gang_lost_at = -1;
  }
}

void FleetWorld::Impl::count_gpus(const JobInfo& j, std::size_t tasks) {
  second().gpus += j.gpus * static_cast<double>(tasks) * step_s;
}

}  // namespace oxbowmill::lab
