// The fleet's world step by step, and what came of it.
#include <spdlog/spdlog.h>

#include <utility>

#include "fleet_world_impl.h"

namespace oxbowmill::lab {

FleetWorld::Impl::Impl(FleetScenario scenario, Way way_, std::uint64_t seed)
    : s(std::move(scenario)),
      way(way_),
      random(seed),
      luck(seed * 7919 + 1),
      writes(s.write_rps, s.write_rps),
      cloud(s.cloud_rps, 2 * s.cloud_rps),
      rules(s.cancel_s, {s.most_gpus, s.most_gpus}) {
  log.watcher = [this](const std::string& id, const std::string& machine, bool on) {
    auto [ref, task] = split(id);
    const Host& h = hosts.at(machine);
    on ? rules.starts(ref, task, machine, {zone_names[h.zone], h.spot}, now)
       : rules.leaves(ref, task, machine, now);
  };
  state.txn_ops = s.txn_ops;
  state.value_bytes = 8192;
  for (std::uint32_t z = 0; z < s.zones; ++z) zone_names.emplace_back(1, static_cast<char>('a' + z));
  nodes.resize(s.controllers);
  for (std::uint32_t i = 0; i < s.up; ++i) add_host(0, false, true);
  for (std::uint32_t i = 0; i < s.gangs; ++i) submit(0);
  for (std::uint32_t i = 0; i < s.arrays; ++i) submit(1);
  for (std::size_t i = 0; i < nodes.size(); ++i) boot(i);
  // What users cancel is no trouble: the undisturbed twin's do the same.
  for (const Fault& f : s.faults) {
    if (way != Way::twin || f.kind == FaultKind::cancel) faults.push_back(f);
  }
  std::sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) { return a.at_s < b.at_s; });
  if (!s.faults.empty()) first_fault = s.faults.front().at_s;
  // An owner that is cut off learns of nothing for its hold's life, and its last answer takes up to 4 s.
  rules.starts_end_within(s.faults.empty() ? 1
                                           : settings(0).op.hold_life_s * 1.01 + Settings::report_timeout_s);
  rules.quiet_from(way == Way::twin ? s.warm_s : troubles_end());
  for (const Fault& f : s.faults) first_fault = std::min(first_fault, f.at_s);
}

std::uint32_t FleetWorld::Impl::pick(std::uint32_t n) {
  return std::uniform_int_distribution<std::uint32_t>(0, n - 1)(random);
}

Settings FleetWorld::Impl::settings(std::size_t i) const {
  Settings x;
  x.node = node_name(i);
  x.nodes = s.controllers;
  if (way != Way::before) {
    for (std::size_t k = 0; k < s.controllers; ++k) x.all_nodes.push_back(node_name(k));
  }
  Team team{{0, s.guaranteed_gpus, 0}, {0, s.most_gpus, 0}};
  x.teams = {{}, team, team};
  x.report_s = s.report_s;
  x.lease_s = s.lease_s;
  x.cancel_s = s.cancel_s;
  x.gang_wait_s = s.gang_wait_s;
  if (s.hold_life_s > 0) x.op.hold_life_s = s.hold_life_s;
  x.op.hold_life_s = std::min(x.op.hold_life_s, x.cancel_s - x.lease_over_s() - 2 * Settings::margin_s);
  x.state_rps = 4 * s.write_rps;
  x.state_write_rps = s.write_rps;
  x.txn_ops = s.txn_ops;
  x.value_kb = 8;
  x.cloud_rps = s.cloud_rps;
  x.list_lag_s = list_lag_s;
  return x;
}

Names FleetWorld::Impl::names() const {
  Names n = test_names();
  for (const std::string& z : zone_names) n.zones.intern(z);
  for (std::size_t i = 0; i < std::size(image_gb); ++i) n.images.intern("img-" + std::to_string(i));
  return n;
}

std::vector<MachineType> FleetWorld::Impl::catalog() const {
  MachineType t = test_catalog().front();
  t.cache_gb = 100;
  t.fetch_gb_per_s = s.fetch_gb_per_s;
  t.boot_s = s.boot_s;
  t.zones.clear();
  for (std::uint32_t z = 0; z < s.zones; ++z) t.zones.push_back(ZoneIndex{z});
  return {t};
}

FleetResult FleetWorld::Impl::play() {
  auto steps = static_cast<std::size_t>(s.length_s / step_s);
  for (std::size_t i = 0; i < steps; ++i) {
    if (i % 10 == 0) {
      result.seconds.push_back({});
      SPDLOG_DEBUG("{} s", i / 10);
      rules.usable(usable(), now);
      rules.check(now);
      for (const User& u : users) {
        const auto& keys = state.keys();
        rules.stored(u.ref, keys.count(state::job_key(u.ref)) + keys.count(state::final_key(u.ref)) != 0,
                     now);
      }
    }
    now = static_cast<double>(i + 1) * step_s;
    tick_faults();
    state.expire(now);
    for (std::uint32_t cls : {0U, 1U}) {
      if (uniform(0, 1) < (cls == 0 ? s.gangs_a_s : s.arrays_a_s) * step_s) submit(cls);
    }
    for (std::size_t k = 0; k < nodes.size(); ++k) tend(k);
    serve_calls();
    tick_workers();
    tick_tasks();
    tick_users();
    if (result.squared_s < 0 && now > first_fault + 1) note_squared();
  }
  for (const auto& [ref, j] : jobs) result.of_class[j.cls] += j.tasks;
  for (Node& n : nodes) collect(n);
  count_served();
  rules.close();
  result.broken = rules.broken();
  result.answers = rules.answers;
  result.late_starts = rules.late_starts;
  result.refusals = rules.refusals;
  return result;
}

void FleetWorld::Impl::count_served() {
  std::array<std::vector<double>, 2> sizes;
  for (const auto& [ref, j] : jobs) sizes[j.cls].push_back(j.tasks * j.gpus);
  std::array<double, 2> large{};
  for (std::size_t c = 0; c < sizes.size(); ++c) {
    std::sort(sizes[c].begin(), sizes[c].end());
    if (!sizes[c].empty()) large[c] = sizes[c][sizes[c].size() * 9 / 10];
  }
  for (const User& u : users) {
    const JobInfo& j = jobs.at(u.ref);
    if (!u.accepted || u.withdrawn || now - j.submitted < s.boot_s + 2 * begun_after_s) continue;
    bool begun = j.begun.size() == j.tasks;
    double last = begun ? 0 : now;
    for (const auto& [t, at] : j.begun) last = std::max(last, at);
    for (Served* x : {&result.class_served[j.cls], &result.team_served[j.team]})
      x->count(last - j.submitted, begun);
    if (j.tasks * j.gpus >= large[j.cls]) result.largest_served[j.cls].count(last - j.submitted, begun);
  }
}

std::map<std::string, Rules::Usable> FleetWorld::Impl::usable() const {
  std::map<std::string, Rules::Usable> out;
  if (now < troubles_end()) return out;  // nothing is judged by it
  const double gpus = catalog().front().room.gpus;
  for (const auto& [name, h] : hosts) {
    bool well = h.known && reachable(h) && now >= h.deaf_until && now >= h.mute_until;
    if (well) out[name] = {{zone_names[h.zone], h.spot, "std"}, gpus};
  }
  return out;
}

void FleetWorld::Impl::note_squared() {
  double at = -1;
  std::uint32_t owned = 0;
  for (const Node& n : nodes) {
    if (!n.core || !n.core->start) continue;
    for (std::uint32_t i = 0; i < n.core->model.parts(); ++i) {
      PartIndex p{i};
      if (!n.core->scheduler.owns(p)) continue;
      ++owned;
      if (n.core->start->state(p) <= recovery::PartState::squaring) return;
      at = std::max(at, n.core->start->squared_at(p));
    }
  }
  if (owned == 3 && at > first_fault) result.squared_s = at - first_fault;
}

FleetWorld::FleetWorld(const FleetScenario& s, Way way, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(s, way, seed)) {}
FleetWorld::~FleetWorld() = default;
FleetResult FleetWorld::run() {
  return impl_->play();
}

}  // namespace oxbowmill::lab
