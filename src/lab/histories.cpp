#include "oxbowmill/lab/histories.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace oxbowmill::lab {

namespace {
constexpr double left_s = 90;  // the longest that a rule waits for: a job that could begin, and does not
}  // namespace

FleetScenario meeting_place() {
  FleetScenario s;
  s.name = "meeting";
  s.fleet = "tiny";
  s.warm_s = 20;
  s.controllers = 3;
  s.zones = 2;
  s.up = 16;
  s.capacity = 24;
  s.spot = 8;
  s.report_s = 2;
  s.lease_s = 12;
  s.cancel_s = 36;
  s.boot_s = 8;
  s.write_rps = 60;
  s.txn_ops = 12;
  s.gangs = 4;
  s.arrays = 6;
  s.gangs_a_s = 0.05;
  s.arrays_a_s = 0.2;
  s.gang_s = 25;
  s.array_s = 25;
  s.guaranteed_gpus = 20;
  s.most_gpus = 48;
  s.few = 0.7;
  s.bound = 0.3;
  s.withdrawn = 0.3;
  s.gang_wait_s = 3;  // shorter than images differ in their fetch: members give up and come back
  s.length_s = s.warm_s;
  return s;
}

void leave_time(FleetScenario& s) {
  double end = s.warm_s;
  for (const Fault& f : s.faults)
    end = std::max(end, f.at_s + f.for_s + f.stagger_s * static_cast<double>(s.controllers));
  s.length_s = end + std::max(left_s, s.cancel_s) + 10;
}

FleetScenario random_history(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  auto draw = [&](double a, double b) { return std::uniform_real_distribution<double>(a, b)(random); };
  // Each with its longest time and largest share.
  struct Kind {
    FaultKind kind;
    double for_s, share;
  };
  static constexpr Kind kinds[] = {{FaultKind::all_down, 4, 0},         {FaultKind::owner_down, 6, 0},
                                   {FaultKind::owner_down, 1, 0},       {FaultKind::owner_cut, 30, 0},
                                   {FaultKind::owner_refused, 25, 0},   {FaultKind::owner_alone, 30, 0},
                                   {FaultKind::state_outage, 60, 0},    {FaultKind::state_delay, 20, 0},
                                   {FaultKind::freeze, 12, 0},          {FaultKind::machines_hang, 14, 0.3},
                                   {FaultKind::machines_deaf, 40, 0.4}, {FaultKind::machines_die, 0, 0.2},
                                   {FaultKind::late_copies, 60, 0.5},   {FaultKind::late_writes, 60, 0.4},
                                   {FaultKind::held_up, 40, 0.4},       {FaultKind::cancel, 0, 0.6},
                                   {FaultKind::lost_answers, 40, 0.4},  {FaultKind::kept_copies, 50, 0.6},
                                   {FaultKind::machines_mute, 30, 0.4}, {FaultKind::zone_apart, 30, 0},
                                   {FaultKind::cancel_hang, 11, 0.6},   {FaultKind::cancel_at_end, 60, 0.5},
                                   {FaultKind::close_looks, 60, 0},     {FaultKind::odd_requests, 60, 0},
                                   {FaultKind::quick_boots, 60, 0}};
  FleetScenario s = meeting_place();
  s.controllers = draw(0, 1) < 0.6 ? 3 : draw(0, 1) < 0.5 ? 2 : 5;
  struct Times {
    double lease_s, cancel_s, hold_life_s;
  };
  static constexpr Times times[] = {{12, 36, 4}, {12, 24, 4}, {12, 16.1, 4}, {12, 19.1, 4}, {6, 60, 20}};
  if (draw(0, 1) < 0.4) {
    const Times& t = times[static_cast<std::size_t>(draw(0, std::size(times) - 0.001))];
    s.lease_s = t.lease_s;
    s.cancel_s = t.cancel_s;
    s.hold_life_s = t.hold_life_s;
  }
  if (draw(0, 1) < 0.3) s.most_gpus = draw(12, 24);
  if (draw(0, 1) < 0.2) s.up = 6;
  if (draw(0, 1) < 0.2) s.bound = 1;
  if (draw(0, 1) < 0.2) s.arrays_a_s *= draw(2, 5);
  if (draw(0, 1) < 0.2) s.few_tasks = 1;
  if (draw(0, 1) < 0.2) s.write_rps = draw(20, 40);
  auto n = 3 + static_cast<int>(draw(0, 4.99));
  for (int i = 0; i < n; ++i) {
    const Kind& k = kinds[static_cast<std::size_t>(draw(0, std::size(kinds) - 0.001))];
    Fault f;
    f.kind = k.kind;
    f.at_s = s.warm_s + draw(0, 40);
    f.for_s = k.for_s * draw(0.1, 1);
    f.share = k.share * draw(0.2, 1);
    if (k.kind == FaultKind::cancel_hang) f.count = 8;
    if (k.kind == FaultKind::all_down) f.stagger_s = draw(0, 1);
    if (k.kind == FaultKind::state_delay) f.stagger_s = draw(0.1, 3);
    s.faults.push_back(f);
  }
  std::sort(s.faults.begin(), s.faults.end(), [](const Fault& a, const Fault& b) { return a.at_s < b.at_s; });
  leave_time(s);
  return s;
}

FleetScenario shrunk(FleetScenario s, std::uint64_t seed) {
  auto breaks = [seed](const FleetScenario& x) {
    return !FleetWorld(x, Way::now, seed).run().broken.empty();
  };
  if (!breaks(s)) return s;
  for (std::size_t i = s.faults.size(); i-- > 0;) {
    FleetScenario less = s;
    less.faults.erase(less.faults.begin() + static_cast<std::ptrdiff_t>(i));
    if (breaks(less)) s = std::move(less);
  }
  return s;
}

std::string script(const FleetScenario& s) {
  std::string out;
  for (const Fault& f : s.faults)
    out += fmt::format(
        "  - {{at_s: {:.3f}, kind: {}, for_s: {:.3f}, stagger_s: {:.3f}, share: {:.3f}, count: {}}}\n",
        f.at_s - s.warm_s, name_of(f.kind), f.for_s, f.stagger_s, f.share, f.count);
  return out;
}

}  // namespace oxbowmill::lab
