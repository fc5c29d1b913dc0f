#include "oxbowmill/core/placement.h"

#include <algorithm>

namespace oxbowmill {

bool allowed_on(const JobSpec& spec, TypeIndex type, ZoneIndex zone, bool spot) {
  if (spot && !spec.spot) return false;
  if (spec.zone.valid() && spec.zone != zone) return false;
  return spec.allows(type);
}

bool can_ever_run(const JobSpec& spec, const std::vector<MachineType>& catalog) {
  std::set<ZoneIndex> zones;
  for (std::uint32_t t = 0; t < catalog.size(); ++t) {
    for (ZoneIndex z : catalog[t].zones) {
      if (allowed_on(spec, TypeIndex{t}, z, false) && fits(spec.need, catalog[t].room)) zones.insert(z);
    }
  }
  // Half of two tasks or more is to be in another zone: one that must not be, or cannot, would wait for ever.
  bool halves = spec.scatter && spec.tasks > 1;
  return halves ? !spec.one_zone && zones.size() > 1 : !zones.empty();
}

std::vector<std::uint32_t> tasks_by_zone(const Model& model, const Job& job) {
  std::vector<std::uint32_t> n(model.names.zones.size(), 0);
  for (const auto& [t, p] : job.placed) {
    ZoneIndex z = model.machine(p.machine).rec.zone;
    if (z.valid()) ++n[z.v];
  }
  return n;
}

Seconds fetch_time(const JobSpec& spec, const MachineType& type) {
  return type.fetch_gb_per_s > 0 ? spec.image_gb / type.fetch_gb_per_s : 0;
}

bool is_whole(const CandidateNode& b, const MachineType& type) {
  return fits(type.room, b.room);
}

bool fills_cheaply(const JobSpec& spec, const MachineType& type) {
  return spec.shape == Shape::array && spec.spot && how_many_fit(spec.need, type.room) > 1;
}

namespace {

// Machines shared by short and lasting work are never empty again for a gang or for the cloud, and whole
// ordinary ones are what gangs wait for. Below a fetch of a middling image, so that a task still goes where
// its image is.
constexpr Seconds lasting_on_whole_s = 6, lasting_on_mixed_s = 3;
constexpr Seconds short_on_whole_s = 8, short_on_lasting_s = 4, short_on_mixed_s = 2,
                  short_on_cheap_whole_s = 1;

}  // namespace

Seconds spoils(const JobSpec& spec, const MachineType& type, const CandidateNode& node) {
  if (how_many_fit(spec.need, type.room) <= 1) return 0;
  bool whole = is_whole(node, type);
  if (spec.shape == Shape::service) return node.lasting ? 0 : whole ? lasting_on_whole_s : lasting_on_mixed_s;
  if (node.spot) return whole ? short_on_cheap_whole_s : 0;
  return node.lasting ? short_on_lasting_s : whole ? short_on_whole_s : short_on_mixed_s;
}

void see_as(const JobSpec& spec, const Model& model, std::vector<CandidateNode>& bins, bool pressed) {
  for (CandidateNode& b : bins) {
    bool there = b.machine.valid() && Model::has_image(model.machine(b.machine), spec.image);
    const MachineType& type = model.catalog[b.type.v];
    b.start_s = b.wait_s + (there ? 0 : fetch_time(spec, type) + (pressed ? b.fetching_s : 0));
    b.spoils_s = spoils(spec, type, b);
  }
}

Seconds last_start(const std::vector<Choice>& choices, const std::vector<CandidateNode>& bins) {
  Seconds last = 0;
  for (const Choice& c : choices) last = std::max(last, bins[c.node].start_s);
  return last;
}

namespace {

/// Bins that can take a task, best first: soonest start, with what it spoils, then cheap kind, then least
/// room.
std::vector<std::size_t> candidates(const JobSpec& spec, const std::vector<CandidateNode>& bins,
                                    ZoneIndex only) {
  std::vector<std::size_t> out;
  for (std::size_t i = 0; i < bins.size(); ++i) {
    const CandidateNode& b = bins[i];
    if (b.shut || (only.valid() && b.zone != only)) continue;
    if (allowed_on(spec, b.type, b.zone, b.spot) && fits(spec.need, b.room)) out.push_back(i);
  }
  std::stable_sort(out.begin(), out.end(), [&bins](std::size_t x, std::size_t y) {
    const CandidateNode &a = bins[x], &b = bins[y];
    Seconds start_a = a.start_s + a.spoils_s, start_b = b.start_s + b.spoils_s;
    if (start_a != start_b) return start_a < start_b;
    if (a.cost != b.cost) return a.cost < b.cost;
    if (a.spot != b.spot) return a.spot;
    if (a.room.gpus != b.room.gpus) return a.room.gpus < b.room.gpus;
    return a.room.cpus < b.room.cpus;
  });
  return out;
}

std::vector<Choice> fill(const JobSpec& spec, const std::vector<TaskNo>& tasks,
                         std::vector<CandidateNode>& bins, std::vector<std::uint32_t>& by_zone,
                         ZoneIndex only) {
  std::vector<Choice> out;
  std::uint32_t zone_most = spec.scatter ? (spec.tasks + 1) / 2 : spec.tasks;
  std::size_t next = 0;
  for (std::size_t i : candidates(spec, bins, only)) {
    CandidateNode& b = bins[i];
    while (next < tasks.size() && fits(spec.need, b.room) && by_zone[b.zone.v] < zone_most) {
      out.push_back({tasks[next++], i});
      b.room -= spec.need;
      ++by_zone[b.zone.v];
    }
    if (next == tasks.size()) break;
  }
  return out;
}

void undo(const JobSpec& spec, const std::vector<Choice>& choices, std::vector<CandidateNode>& bins,
          std::vector<std::uint32_t>& by_zone) {
  for (const Choice& c : choices) {
    bins[c.node].room += spec.need;
    --by_zone[bins[c.node].zone.v];
  }
}

}  // namespace

std::vector<Choice> choose(const JobSpec& spec, const std::vector<TaskNo>& tasks,
                           std::vector<CandidateNode>& bins, std::vector<std::uint32_t> by_zone) {
  std::vector<Choice> best;
  if (tasks.empty()) return best;
  if (!spec.one_zone) {
    best = fill(spec, tasks, bins, by_zone, spec.zone);
    if (spec.shape == Shape::gang && best.size() < tasks.size()) {
      undo(spec, best, bins, by_zone);
      best.clear();
    }
    return best;
  }
  // One zone for all: where some tasks are already, else the zone that takes most and where they start
  // soonest.
  ZoneIndex fixed;
  for (std::uint32_t z = 0; z < by_zone.size(); ++z) {
    if (by_zone[z] == 0) continue;
    if (fixed.valid()) return best;  // two zones still hold old attempts: wait
    fixed = ZoneIndex{z};
  }
  ZoneIndex best_zone;
  std::size_t best_count = 0;
  Seconds best_start = 0;
  for (std::uint32_t z = 0; z < by_zone.size(); ++z) {
    if (fixed.valid() && fixed.v != z) continue;
    auto tried = fill(spec, tasks, bins, by_zone, ZoneIndex{z});
    undo(spec, tried, bins, by_zone);
    Seconds start = last_start(tried, bins);
    if (tried.size() > best_count || (tried.size() == best_count && start < best_start)) {
      best_zone = ZoneIndex{z};
      best_count = tried.size();
      best_start = start;
    }
  }
  if (best_count == 0 || (spec.shape == Shape::gang && best_count < tasks.size())) return best;
  return fill(spec, tasks, bins, by_zone, best_zone);
}

}  // namespace oxbowmill
