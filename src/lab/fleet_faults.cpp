// Troubles of the fleet's world.
#include "fleet_world_impl.h"

namespace oxbowmill::lab {

std::size_t FleetWorld::Impl::busiest() const {
  std::size_t best = 0, most = 0;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (!nodes[i].core) continue;
    std::size_t n = 0;
    for (std::uint32_t p = 0; p < nodes[i].core->model.parts(); ++p) {
      if (nodes[i].core->scheduler.owns(PartIndex{p}))
        n += 1 + nodes[i].core->model.machines_of(PartIndex{p}).size();
    }
    if (n > most) best = i, most = n;
  }
  return best;
}

std::vector<std::string> FleetWorld::Impl::some_hosts(std::uint32_t count) {
  std::vector<std::string> up;
  for (auto& [name, h] : hosts) {
    if (h.alive && now >= h.up_at) up.push_back(name);
  }
  std::shuffle(up.begin(), up.end(), random);
  up.resize(std::min<std::size_t>(up.size(), count));
  return up;
}

void FleetWorld::Impl::die(const std::string& name) {
  Host& h = hosts.at(name);
  lose_all(name, h);
  h.worker->power_off();
  h.alive = false;
  h.died = now;
}

void FleetWorld::Impl::apply(const Fault& f) {
  auto count = f.count != 0 ? f.count : static_cast<std::uint32_t>(f.share * rented);
  switch (f.kind) {
    case FaultKind::all_down:
      for (std::size_t i = 0; i < nodes.size(); ++i)
        down(i, now + f.for_s + f.stagger_s * static_cast<double>(i));
      break;
    case FaultKind::owner_down:
      down(busiest(), now + f.for_s);
      break;
    case FaultKind::owner_cut:
      nodes[busiest()].cut_until = now + f.for_s;
      break;
    case FaultKind::state_outage:
      state.set_outage(true, now);
      outage_until = now + f.for_s;
      break;
    case FaultKind::state_slow:
      writes.set_rate(f.share * s.write_rps, f.share * s.write_rps);
      slow_until = now + f.for_s;
      break;
    case FaultKind::cloud_outage:
      cloud_down_until = now + f.for_s;
      break;
    case FaultKind::machines_die:
      for (const std::string& m : some_hosts(count)) die(m);
      break;
    case FaultKind::machines_hang:
      for (const std::string& m : some_hosts(count)) hosts.at(m).hung_until = now + f.for_s;
      break;
    case FaultKind::zone_cut:
      cut_zone = f.zone;
      cut_until = now + f.for_s;
      break;
    case FaultKind::freeze:
      nodes[busiest()].frozen_until = now + f.for_s;
      break;
    case FaultKind::finish_all:
      for (auto& [ref, j] : jobs) {
        if (j.cls == 0 && j.gang_started < 0) continue;
        std::vector<TaskNo> all;
        for (auto& [t, r] : j.runs) {
          if (r.at->worker->has(r.id)) all.push_back(t);
        }
        for (TaskNo t : all) finish(j, t, EndCause::done);
      }
      break;
    case FaultKind::cancel:
      for (auto& [ref, j] : jobs) {
        if (j.runs.empty() || uniform(0, 1) >= f.share) continue;
        for (User& u : users) {
          if (u.ref == ref && !u.over) u.withdraws_at = u.next = now;
        }
      }
      break;
    case FaultKind::gang_member: {
      std::uint32_t left = f.count;
      for (auto& [ref, j] : jobs) {
        if (left == 0 || j.cls != 0 || j.gang_started < 0 || j.runs.size() < 2) continue;
        std::string victim = j.runs.begin()->second.host;
        if (!hosts.at(victim).alive) continue;
        die(victim);
        --left;
      }
      break;
    }
    case FaultKind::late_copies:
      copies_share = f.share;
      copies_until = now + f.for_s;
      break;
    case FaultKind::late_writes:
      late_write_share = f.share;
      late_writes_until = now + f.for_s;
      break;
    case FaultKind::held_up:
      held_up_share = f.share;
      held_up_until = now + f.for_s;
      longest_held_up = f.stagger_s > 0 ? f.stagger_s : 6;
      break;
    case FaultKind::machines_deaf:
      for (const std::string& m : some_hosts(count)) hosts.at(m).deaf_until = now + f.for_s;
      break;
    case FaultKind::owner_refused:
      nodes[busiest()].refused_until = now + f.for_s;
      break;
    case FaultKind::owner_alone:
      nodes[busiest()].alone_until = now + f.for_s;
      break;
    case FaultKind::state_delay:
      state_delay = f.stagger_s;
      delay_until = now + f.for_s;
      break;
    case FaultKind::lost_answers:
      lost_answers_share = f.share;
      lost_answers_until = now + f.for_s;
      break;
    case FaultKind::kept_copies:
      kept_share = f.share;
      kept_until = now + f.for_s;
      break;
    case FaultKind::machines_mute:
      for (const std::string& m : some_hosts(count)) hosts.at(m).mute_until = now + f.for_s;
      break;
    case FaultKind::zone_apart:
      apart_zone = f.zone.empty() ? zone_names[pick(s.zones)] : f.zone;
      apart_until = now + f.for_s;
      break;
    case FaultKind::cancel_hang: {
      std::uint32_t left = f.count;
      for (auto& [ref, j] : jobs) {
        if (j.runs.empty() || !lucky(f.share)) continue;
        User* u = user_of(ref);
        if (u == nullptr || u->over) continue;
        u->withdraws_at = u->next = now;
        Host& h = *j.runs.begin()->second.at;
        if (left == 0 || now < h.hung_until) continue;
        h.hung_until = now + f.for_s;
        --left;
      }
      break;
    }
    case FaultKind::cancel_at_end:
      end_cancel_share = f.share;
      end_cancels_until = now + f.for_s;
      break;
    case FaultKind::close_looks:
      looks_until = now + f.for_s;
      break;
    case FaultKind::odd_requests:
      odd_until = now + f.for_s;
      break;
    case FaultKind::quick_boots:
      quick_until = now + f.for_s;
      break;
    case FaultKind::late_reports:
      hold_late = count;
      late_at = now + f.for_s;
      break;
  }
}

void FleetWorld::Impl::tick_faults() {
  while (!faults.empty() && faults.front().at_s <= now) {
    apply(faults.front());
    faults.erase(faults.begin());
  }
  if (state.outage() && now >= outage_until) state.set_outage(false, now);
  if (slow_until > 0 && now >= slow_until) {
    slow_until = 0;
    writes.set_rate(s.write_rps, s.write_rps);
  }
  each_due(late_writes, [this](const Late<Json>& w) {
    if (state.outage()) return false;  // later still
    state.txn(w.what);
    return true;
  });
  each_due(copies, [this](const Copy& c) {
    Node& n = nodes[c.node];
    if (acts(n) && n.listed) n.core->hear(c.what, now);
    return true;
  });
  each_due(held_commands, [this](const Held<DirectOrders>& c) {
    auto h = hosts.find(c.host);
    if (reachable(h->second)) command(h, c.what);
    return true;
  });
  each_due(held_answers, [this](const Held<ReportAnswer>& a) {
    Host& h = hosts.at(a.host);
    if (reachable(h)) take_answer(a.host, h, a.what);
    return true;
  });
  give_kept_copies();
  if (late_at > 0 && now >= late_at) {
    for (const WorkerReport& r : late) {
      for (Node& n : nodes) {
        // The worker has given these up long ago: whatever is answered does not reach it.
        if (acts(n) && n.listed) n.core->hear(r, now);
      }
    }
    late.clear();
    late_at = 0;
  }
}

void FleetWorld::Impl::give_kept_copies() {
  bool begins = false;
  for (const Node& n : nodes) {
    if (!acts(n) || !n.listed) continue;
    for (std::uint32_t p = 0; p < n.core->model.parts(); ++p) {
      Stamp claim = n.core->model.claim(PartIndex{p}).stamp;
      if (!n.core->scheduler.owns(PartIndex{p}) || claim <= terms[p]) continue;
      begins = begins || terms[p] != 0;
      terms[p] = claim;
    }
  }
  if (!begins) return;
  for (const WorkerReport& r : kept) {
    for (Node& n : nodes) {
      if (acts(n) && n.listed) n.core->hear(r, now);
    }
  }
}

double FleetWorld::Impl::troubles_end() const {
  double end = s.warm_s;
  for (const Fault& f : s.faults)
    end = std::max(end, f.at_s + f.for_s + f.stagger_s * static_cast<double>(s.controllers));
  return end;
}

}  // namespace oxbowmill::lab
