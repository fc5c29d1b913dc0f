#include "oxbowmill/scheduling/machine_selection.h"

#include <algorithm>

#include "oxbowmill/scheduling/single_zone.h"

namespace oxbowmill {

bool is_allowed_on(const JobSpec& spec, TypeIndex type, ZoneIndex zone, bool spot) {
  if (spot && !spec.spot) return false;
  if (spec.zone.valid() && spec.zone != zone) return false;
  return spec.allows(type);
}

bool can_ever_run(const JobSpec& spec, const std::vector<MachineType>& catalog) {
  std::set<ZoneIndex> zones;
  for (std::uint32_t type = 0; type < catalog.size(); ++type) {
    for (ZoneIndex zone : catalog[type].zones) {
      if (is_allowed_on(spec, TypeIndex{type}, zone, false) &&
          fits(spec.task_resources, catalog[type].capacity))
        zones.insert(zone);
    }
  }
  // At most half of the tasks, rounded up, may run in one zone. With two or more tasks, a job that is limited
  // to a single zone or fits in one zone only would wait for ever.
  bool needs_two_zones = spec.spread_zones && spec.tasks > 1;
  return needs_two_zones ? !spec.single_zone && zones.size() > 1 : !zones.empty();
}

std::vector<std::uint32_t> tasks_by_zone(const ClusterState& state, const Job& job) {
  std::vector<std::uint32_t> counts(state.names.zones.size(), 0);
  for (const auto& [task, placement] : job.placements) {
    ZoneIndex zone = state.machine(placement.machine).record.zone;
    if (zone.valid()) ++counts[zone.value];
  }
  return counts;
}

Seconds fetch_time(const JobSpec& spec, const MachineType& type) {
  return type.fetch_gb_per_s > 0 ? spec.image_gb / type.fetch_gb_per_s : 0;
}

bool is_whole_machine_free(const CandidateMachine& candidate, const MachineType& type) {
  // Ended tasks that are still listed do not count.
  return fits(without_message_bytes(type.capacity), without_message_bytes(candidate.free_capacity));
}

bool packs_with_others(const JobSpec& spec, const MachineType& type) {
  return spec.shape == JobShape::array && spec.spot && how_many_fit(spec.task_resources, type.capacity) > 1;
}

namespace {

// Opportunity costs. A machine shared by short and long-running tasks never becomes empty, so that no gang
// can use it and it cannot be deleted; and gangs wait for whole on-demand machines. Each cost is less than
// the fetch time of a medium-sized image, so that a task is still placed where its image is cached.
constexpr Seconds long_running_on_whole_s = 6, long_running_on_mixed_s = 3;
constexpr Seconds short_on_whole_s = 8, short_on_long_running_s = 4, short_on_mixed_s = 2,
                  short_on_cheap_whole_s = 1;

}  // namespace

Seconds opportunity_cost(const JobSpec& spec, const MachineType& type, const CandidateMachine& candidate) {
  if (how_many_fit(spec.task_resources, type.capacity) <= 1) return 0;
  bool whole = is_whole_machine_free(candidate, type);
  if (spec.shape == JobShape::service)
    return candidate.long_running ? 0 : whole ? long_running_on_whole_s : long_running_on_mixed_s;
  if (candidate.spot) return whole ? short_on_cheap_whole_s : 0;
  return candidate.long_running ? short_on_long_running_s : whole ? short_on_whole_s : short_on_mixed_s;
}

void evaluate_for_job(const JobSpec& spec, const ClusterState& state,
                      std::vector<CandidateMachine>& candidates, bool has_start_deadline) {
  for (CandidateMachine& candidate : candidates) {
    bool has_image =
        candidate.machine.valid() && ClusterState::has_image(state.machine(candidate.machine), spec.image);
    const MachineType& type = state.catalog[candidate.type.value];
    candidate.start_s =
        candidate.available_in_s +
        (has_image ? 0 : fetch_time(spec, type) + (has_start_deadline ? candidate.fetch_backlog_s : 0));
    candidate.opportunity_cost_s = opportunity_cost(spec, type, candidate);
  }
}

Seconds last_start_s(const std::vector<TaskAssignment>& choices,
                     const std::vector<CandidateMachine>& candidates) {
  Seconds last = 0;
  for (const TaskAssignment& choice : choices) last = std::max(last, candidates[choice.candidate].start_s);
  return last;
}

namespace {

/// Indices of the candidates on which a task fits, best first: earliest start including the opportunity cost,
/// lowest acquisition cost, spot machines, least free capacity.
std::vector<std::size_t> ranked_candidates(const JobSpec& spec,
                                           const std::vector<CandidateMachine>& candidates,
                                           ZoneIndex only_zone) {
  std::vector<std::size_t> ranked;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const CandidateMachine& candidate = candidates[i];
    if (candidate.excluded || (only_zone.valid() && candidate.zone != only_zone)) continue;
    if (is_allowed_on(spec, candidate.type, candidate.zone, candidate.spot) &&
        fits(spec.task_resources, candidate.free_capacity))
      ranked.push_back(i);
  }
  std::stable_sort(
      ranked.begin(), ranked.end(), [&candidates](std::size_t left_position, std::size_t right_position) {
        const CandidateMachine &left = candidates[left_position], &right = candidates[right_position];
        Seconds left_start = left.start_s + left.opportunity_cost_s,
                right_start = right.start_s + right.opportunity_cost_s;
        if (left_start != right_start) return left_start < right_start;
        if (left.acquisition_cost != right.acquisition_cost)
          return left.acquisition_cost < right.acquisition_cost;
        if (left.spot != right.spot) return left.spot;
        if (left.free_capacity.gpus != right.free_capacity.gpus)
          return left.free_capacity.gpus < right.free_capacity.gpus;
        return left.free_capacity.cpus < right.free_capacity.cpus;
      });
  return ranked;
}

std::vector<TaskAssignment> assign_greedily(const JobSpec& spec, const std::vector<TaskNumber>& tasks,
                                            std::vector<CandidateMachine>& candidates,
                                            std::vector<std::uint32_t>& tasks_per_zone, ZoneIndex only_zone) {
  std::vector<TaskAssignment> out;
  std::uint32_t max_per_zone = spec.spread_zones ? (spec.tasks + 1) / 2 : spec.tasks;
  std::size_t next = 0;
  for (std::size_t i : ranked_candidates(spec, candidates, only_zone)) {
    CandidateMachine& candidate = candidates[i];
    while (next < tasks.size() && fits(spec.task_resources, candidate.free_capacity) &&
           tasks_per_zone[candidate.zone.value] < max_per_zone) {
      out.push_back({tasks[next++], i});
      candidate.free_capacity -= spec.task_resources;
      ++tasks_per_zone[candidate.zone.value];
    }
    if (next == tasks.size()) break;
  }
  return out;
}

void undo_assignments(const JobSpec& spec, const std::vector<TaskAssignment>& choices,
                      std::vector<CandidateMachine>& candidates, std::vector<std::uint32_t>& tasks_per_zone) {
  for (const TaskAssignment& choice : choices) {
    candidates[choice.candidate].free_capacity += spec.task_resources;
    --tasks_per_zone[candidates[choice.candidate].zone.value];
  }
}

}  // namespace

std::vector<TaskAssignment> choose_machines(const JobSpec& spec, const std::vector<TaskNumber>& tasks,
                                            std::vector<CandidateMachine>& candidates,
                                            std::vector<std::uint32_t> tasks_per_zone) {
  std::vector<TaskAssignment> best;
  if (tasks.empty()) return best;
  if (!spec.single_zone) {
    best = assign_greedily(spec, tasks, candidates, tasks_per_zone, spec.zone);
    if (spec.shape == JobShape::gang && best.size() < tasks.size()) {
      undo_assignments(spec, best, candidates, tasks_per_zone);
      best.clear();
    }
    return best;
  }
  ZoneIndex best_zone;
  ZoneOutcome best_outcome;
  for (ZoneIndex zone : single_zones_to_try(tasks_per_zone)) {
    auto tried = assign_greedily(spec, tasks, candidates, tasks_per_zone, zone);
    undo_assignments(spec, tried, candidates, tasks_per_zone);
    ZoneOutcome outcome{tried.size(), last_start_s(tried, candidates)};
    if (!is_better_zone(outcome, best_outcome)) continue;
    best_zone = zone;
    best_outcome = outcome;
  }
  if (best_outcome.tasks == 0 || (spec.shape == JobShape::gang && best_outcome.tasks < tasks.size()))
    return best;
  return assign_greedily(spec, tasks, candidates, tasks_per_zone, best_zone);
}

}  // namespace oxbowmill
