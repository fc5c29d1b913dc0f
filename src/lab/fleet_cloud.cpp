// The cloud of the fleet's world.
#include "fleet_world_impl.h"

namespace oxbowmill::lab {

void FleetWorld::Impl::add_host(std::uint32_t zone, bool spot, bool at_start) {
  std::string name = "host-" + std::to_string(100000 + hosts.size());
  Host& h = hosts[name];
  if (at_start) zone = static_cast<std::uint32_t>(hosts.size()) % s.zones;
  h.zone = zone;
  h.spot = spot;
  h.born = now;
  h.up_at = at_start ? now : now + s.boot_s * uniform(0.6, 1.5);
  if (!at_start && now < quick_until) h.up_at = now + drawn(0.1, 2);
  h.worker = std::make_unique<Worker>(name, zone_names[zone], log, spot);
  h.worker->lease_s = s.lease_s;
  h.worker->first_phase = TaskPhase::fetching;
  h.next_report = h.up_at + uniform(0, s.report_s);
  h.node = pick(s.controllers);
  ++rented;
  if (spot) ++rented_spot;
  h.known = true;
  if (!at_start) return;
  Json value = {{"part", state::pool_name},
                {"type", "std"},
                {"zone", zone_names[zone]},
                {"spot", spot},
                {"del", false},
                {"up", true}};
  state.txn({{"guards", Json::array()}, {"apply", {{{"put", "o/m/" + name}, {"value", value}}}}});
}

void FleetWorld::Impl::serve_calls() {
  while (!calls.empty() && now - calls.front().at >= 2 * step_s && cloud.take(1, now)) {
    Call call = std::move(calls.front());
    calls.pop_front();
    Node& n = nodes[call.node];
    if (!n.core) {
      // The request was on its way already.
      if (now < quick_until && !call.list && call.deletes.empty() && now >= cloud_down_until)
        new_hosts(call.rent);
      continue;
    }
    Fleet& fleet = n.core->fleet;
    bool up = now >= cloud_down_until;
    if (call.list) {
      up ? fleet.on_listed(listed(), now) : fleet.on_list_failed();
    } else if (!call.deletes.empty()) {
      for (MachineIndex m : call.deletes) {
        if (up) remove(n.core->model.names.machines.name(m));
      }
      fleet.on_deleted(call.deletes, up);
    } else if (!up) {
      fleet.on_rented(call.rent.request, false, {}, now);
    } else {
      rent(call.rent, fleet);
    }
  }
}

void FleetWorld::Impl::rent(const RentOrder& r, Fleet& fleet) {
  fleet.on_rented(r.request, true, new_hosts(r), now);
}

std::vector<std::string> FleetWorld::Impl::new_hosts(const RentOrder& r) {
  auto of_zone = static_cast<std::uint32_t>(std::count_if(hosts.begin(), hosts.end(), [&](const auto& h) {
    return h.second.known && h.second.zone == r.zone.v;
  }));
  std::uint32_t room = s.capacity / s.zones > of_zone ? s.capacity / s.zones - of_zone : 0;
  if (r.spot) room = std::min(room, s.spot > rented_spot ? s.spot - rented_spot : 0);
  std::vector<std::string> got;
  while (got.size() < std::min(r.count, room)) {
    std::size_t before = hosts.size();
    add_host(r.zone.v, r.spot, false);
    got.push_back("host-" + std::to_string(100000 + before));
    ++second().rentals;
    // A return undone.
    if (!returned_at.empty() && now > s.warm_s / 2) {
      if (now - returned_at.back() < undone_s) ++result.undone;
      returned_at.pop_back();
    }
  }
  return got;
}

void FleetWorld::Impl::remove(const std::string& name) {
  auto it = hosts.find(name);
  if (it == hosts.end() || !it->second.known) return;
  Host& h = it->second;
  if (h.alive && now > s.warm_s / 2) {
    ++second().returns;
    bool working = std::any_of(h.worker->tasks().begin(), h.worker->tasks().end(),
                               [](const auto& t) { return t.second.phase != TaskPhase::ended; });
    if (working) ++result.condemned_alive;
    if (!h.used)
      ++result.undone;  // rented for nothing
    else if (!working)
      returned_at.push_back(now);
  }
  lose_all(name, h);
  h.worker->power_off();
  h.alive = h.known = false;
  h.died = now;
  --rented;
  if (h.spot) --rented_spot;
}

std::vector<ListedMachine> FleetWorld::Impl::listed() {
  std::vector<ListedMachine> out;
  for (auto& [name, h] : hosts) {
    if (!h.known || now - h.born < list_lag_s) continue;
    ListedMachine l;
    l.name = name;
    l.address = "127.0.0.1:1";
    l.type = "std";
    l.zone = zone_names[h.zone];
    l.spot = h.spot;
    bool shown_dead = !h.alive && now - h.died > listed_dead_s + list_lag_s;
    l.phase = shown_dead      ? ListedMachine::Phase::failed
              : now < h.up_at ? ListedMachine::Phase::starting
                              : ListedMachine::Phase::running;
    out.push_back(std::move(l));
  }
  return out;
}

}  // namespace oxbowmill::lab
