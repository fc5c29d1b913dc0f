#include "oxbowmill/autoscaling/scale_out_planner.h"

#include <algorithm>
#include <tuple>

namespace oxbowmill::autoscaling {

bool ScaleOutPlanner::is_spot_available_for(const JobSpec& spec, Seconds now) const {
  const ClusterState& state = environment_.state;
  if (!spec.spot || !may_use_spot()) return false;
  for (std::uint32_t i = 0; i < state.catalog.size(); ++i) {
    if (!packs_with_others(spec, state.catalog[i])) continue;
    for (ZoneIndex zone : state.catalog[i].zones) {
      MachineKind kind{TypeIndex{i}, zone, true};
      if (is_allowed_on(spec, kind.type, zone, true) && !environment_.scheduler.is_unreachable(zone, now) &&
          !requests_.is_refused(kind, now))
        return true;
    }
  }
  return false;
}

std::vector<CloudOffer> ScaleOutPlanner::cloud_offers(Seconds now) const {
  const ClusterState& state = environment_.state;
  std::vector<CloudOffer> offers;
  for (std::uint32_t i = 0; i < state.catalog.size(); ++i) {
    const MachineType& type = state.catalog[i];
    for (ZoneIndex zone : type.zones) {
      for (bool spot : {true, false}) {
        MachineKind kind{TypeIndex{i}, zone, spot};
        if (environment_.scheduler.is_unreachable(zone, now) || requests_.is_refused(kind, now) ||
            requests_.is_requested(kind))
          continue;
        if (spot && !may_use_spot()) continue;
        offers.push_back({kind.type, zone, spot, spot ? type.spot_price : type.price, type.boot_s,
                          max_machines_per_request});
      }
    }
  }
  return offers;
}

std::vector<ScaleOutPlanner::Offer> ScaleOutPlanner::offers_for(
    const JobSpec& spec, std::uint32_t tasks, Seconds now,
    const std::vector<CandidateMachine>& candidates) const {
  const ClusterState& state = environment_.state;
  std::vector<Offer> offers;
  for (std::uint32_t i = 0; i < state.catalog.size(); ++i) {
    const MachineType& type = state.catalog[i];
    int tasks_per_machine = how_many_fit(spec.task_resources, type.capacity);
    if (tasks_per_machine == 0) continue;
    for (ZoneIndex zone : type.zones) {
      // A machine that boots in an unreachable zone cannot report.
      if (environment_.scheduler.is_unreachable(zone, now)) continue;
      auto machines_in_zone = static_cast<std::size_t>(
          std::count_if(candidates.begin(), candidates.end(),
                        [zone](const CandidateMachine& candidate) { return candidate.zone == zone; }));
      for (bool spot : {true, false}) {
        MachineKind kind{TypeIndex{i}, zone, spot};
        if ((spot && !may_use_spot()) || requests_.remaining_in_request(kind) == 0 ||
            !is_allowed_on(spec, kind.type, zone, spot) || requests_.is_refused(kind, now))
          continue;
        double price = (spot ? type.spot_price : type.price) / std::min<double>(tasks_per_machine, tasks);
        offers.push_back({price, machines_in_zone, kind, tasks_per_machine});
      }
    }
  }
  std::sort(offers.begin(), offers.end(), [](const Offer& a, const Offer& b) {
    return std::tie(a.price, a.machines_in_zone) < std::tie(b.price, b.machines_in_zone);
  });
  return offers;
}

void ScaleOutPlanner::request_machines(const Job& job, std::uint32_t tasks, Seconds now,
                                       std::vector<CandidateMachine>& candidates) {
  const JobSpec& spec = job.spec;
  std::vector<Offer> offers = offers_for(spec, tasks, now, candidates);
  if (offers.empty()) return;
  const Offer& offer = offers.front();
  // While a request for the cheapest kind is unanswered, no more expensive kind is requested in its place.
  if (requests_.is_requested(offer.kind)) return;
  auto tasks_per_machine = static_cast<std::uint32_t>(offer.tasks_per_machine);
  std::uint32_t count =
      requests_.add(offer.kind, (tasks + tasks_per_machine - 1) / tasks_per_machine, spec.partition);
  const MachineType& type = environment_.state.catalog[offer.kind.type.value];
  for (std::uint32_t i = 0; i < count; ++i) {
    Resources free_capacity = type.capacity;
    for (int k = 0; k < offer.tasks_per_machine && tasks > 0; ++k, --tasks)
      free_capacity -= spec.task_resources;
    candidates.push_back(
        {MachineIndex{}, offer.kind.type, offer.kind.zone, offer.kind.spot, type.boot_s, free_capacity});
  }
  if (count > 0) warm_machines_.record_gang_acquisition(job, candidates.back(), count, now);
}

void ScaleOutPlanner::replace_suspected(std::size_t idle_machines, Seconds now) {
  RecoveryAdmission& recovery_admission = *environment_.recovery_admission;
  for (const Replacement& replacement : recovery_admission.replacements(now)) {
    if (idle_machines > 0) {  // an idle machine can replace this one
      --idle_machines;
      continue;
    }
    // Prefers the wanted kind and falls back to the same type in another zone, because the zone that lost
    // machines may have no capacity left to replace them.
    const MachineKind& wanted_kind = replacement.kind;
    std::vector<MachineKind> kinds = {wanted_kind};
    for (ZoneIndex zone : environment_.state.catalog.at(wanted_kind.type.value).zones)
      kinds.push_back({wanted_kind.type, zone, wanted_kind.spot});
    auto kind = std::find_if(kinds.begin(), kinds.end(), [&](const MachineKind& candidate) {
      return !requests_.is_refused(candidate, now) && !requests_.is_requested(candidate) &&
             !environment_.scheduler.is_unreachable(candidate.zone, now) &&
             (!candidate.spot || may_use_spot()) && requests_.remaining_in_request(candidate) > 0;
    });
    if (kind == kinds.end()) continue;
    requests_.add(*kind, 1, replacement.partition);
    recovery_admission.replacement_started(replacement.suspected_machine);
  }
}

}  // namespace oxbowmill::autoscaling
