// Scenarios of the fleet's world as files describe them.
#include <algorithm>

#include "oxbowmill/lab/fleet_world.h"
#include "oxbowmill/yaml/map.h"

namespace oxbowmill::lab {

namespace {

const std::map<std::string, FaultKind>& fault_names() {
  static const std::map<std::string, FaultKind> names = {{"all_down", FaultKind::all_down},
                                                         {"owner_down", FaultKind::owner_down},
                                                         {"owner_cut", FaultKind::owner_cut},
                                                         {"state_outage", FaultKind::state_outage},
                                                         {"state_slow", FaultKind::state_slow},
                                                         {"cloud_outage", FaultKind::cloud_outage},
                                                         {"machines_die", FaultKind::machines_die},
                                                         {"machines_hang", FaultKind::machines_hang},
                                                         {"zone_cut", FaultKind::zone_cut},
                                                         {"freeze", FaultKind::freeze},
                                                         {"finish_all", FaultKind::finish_all},
                                                         {"cancel", FaultKind::cancel},
                                                         {"gang_member", FaultKind::gang_member},
                                                         {"late_reports", FaultKind::late_reports},
                                                         {"late_copies", FaultKind::late_copies},
                                                         {"late_writes", FaultKind::late_writes},
                                                         {"held_up", FaultKind::held_up},
                                                         {"machines_deaf", FaultKind::machines_deaf},
                                                         {"owner_refused", FaultKind::owner_refused},
                                                         {"owner_alone", FaultKind::owner_alone},
                                                         {"state_delay", FaultKind::state_delay},
                                                         {"lost_answers", FaultKind::lost_answers},
                                                         {"kept_copies", FaultKind::kept_copies},
                                                         {"machines_mute", FaultKind::machines_mute},
                                                         {"zone_apart", FaultKind::zone_apart},
                                                         {"cancel_hang", FaultKind::cancel_hang},
                                                         {"cancel_at_end", FaultKind::cancel_at_end},
                                                         {"close_looks", FaultKind::close_looks},
                                                         {"odd_requests", FaultKind::odd_requests},
                                                         {"quick_boots", FaultKind::quick_boots}};
  return names;
}

}  // namespace

const char* name_of(Way w) {
  static constexpr const char* names[] = {"twin", "before", "now", "bound"};
  return names[static_cast<int>(w)];
}

const char* name_of(FaultKind k) {
  auto it =
      std::find_if(fault_names().begin(), fault_names().end(), [k](const auto& f) { return f.second == k; });
  return it->first.c_str();
}

void load_fleet(const std::string& file, FleetScenario& s) {
  yaml::Map r(file, "", yaml::load(file));
  r.get("fleet", s.fleet)
      .get("warm_s", s.warm_s)
      .get("length_s", s.length_s)
      .get("controllers", s.controllers)
      .get("zones", s.zones);
  r.get("up", s.up).get("capacity", s.capacity).get("spot", s.spot).get("report_s", s.report_s);
  r.get("lease_s", s.lease_s).get("cancel_s", s.cancel_s).get("boot_s", s.boot_s);
  r.get("fetch_gb_per_s", s.fetch_gb_per_s).get("write_rps", s.write_rps).get("cloud_rps", s.cloud_rps);
  r.get("txn_ops", s.txn_ops).get("gangs", s.gangs).get("arrays", s.arrays).get("gangs_a_s", s.gangs_a_s);
  r.get("arrays_a_s", s.arrays_a_s).get("gang_s", s.gang_s).get("array_s", s.array_s);
  r.get("guaranteed_gpus", s.guaranteed_gpus).get("most_gpus", s.most_gpus);
  r.get("gang_wait_s", s.gang_wait_s);
  r.get("few", s.few)
      .get("few_tasks", s.few_tasks)
      .get("bound", s.bound)
      .get("withdrawn", s.withdrawn)
      .get("hold_life_s", s.hold_life_s);
  r.done();
}

FleetScenario load_fleet_scenario(const std::string& file, const std::string& fleet) {
  FleetScenario s;
  load_fleet(fleet, s);
  yaml::Map r(file, "", yaml::load(file));
  r.get("name", s.name);
  YAML::Node faults = r.take("faults").value_or(YAML::Node(YAML::NodeType::Undefined));
  r.done();
  for (std::size_t i = 0; faults && i < faults.size(); ++i) {
    Fault f;
    yaml::Map m = r.sub("faults[" + std::to_string(i) + "]", faults[i]);
    auto kind = fault_names().find(m.text("kind"));
    if (kind == fault_names().end()) m.fail("kind", "no such fault");
    f.kind = kind->second;
    m.get("at_s", f.at_s).get("for_s", f.for_s).get("stagger_s", f.stagger_s).get("share", f.share);
    m.get("count", f.count).get("zone", f.zone);
    m.done();
    f.at_s += s.warm_s;
    s.faults.push_back(f);
  }
  return s;
}

void Served::count(double wait_s, bool has_begun) {
  ++jobs;
  begun += has_begun ? 1 : 0;
  longest_wait_s = std::max(longest_wait_s, wait_s);
}

}  // namespace oxbowmill::lab
