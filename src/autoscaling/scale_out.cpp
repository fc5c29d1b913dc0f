// What is rented, of which kind, for whom and ahead of whom.
#include <algorithm>
#include <cmath>

#include "oxbowmill/autoscaling/autoscaler.h"

namespace oxbowmill {

namespace {
constexpr std::uint32_t max_machines_per_request = 50;  // the cloud's limit
constexpr double turnover_window_s = 30;
constexpr double max_warm_fraction = 0.1;  // of the machines of a kind, at most
}  // namespace

void Autoscaler::note_unmet_demand(JobIndex job_index, std::uint32_t tasks, bool guaranteed, Clock clock) {
  const Job& job = state_.job(job_index);
  const JobSpec& spec = job.spec;
  UnmetDemand demand;
  demand.job = job_index;
  demand.partition = spec.partition;
  demand.priority = spec.priority;
  demand.guaranteed = guaranteed;
  demand.spot = spec.spot && state_.settings.operator_settings.use_spot;
  demand.tasks = tasks;
  demand.zone = spec.zone;
  demand.estimated_run_s = spec.estimate_s;
  demand.waited_s = clock.now - job.first_seen;
  if (spec.deadline_s >= 0) {
    double fetch = state_.catalog.empty() ? 0 : fetch_time(spec, state_.catalog.front());
    demand.slack_s = spec.submitted_at + spec.deadline_s - spec.estimate_s - fetch - clock.wall;
  }
  for (std::uint32_t t = 0; t < state_.catalog.size(); ++t) {
    demand.tasks_per_machine.push_back(
        spec.allows(TypeIndex{t})
            ? static_cast<std::uint32_t>(how_many_fit(spec.task_resources, state_.catalog[t].capacity))
            : 0);
  }
  unmet_demands_.push_back(std::move(demand));
}

void Autoscaler::serve_unmet_demands(std::vector<std::vector<CandidateMachine>>& candidates_by_partition,
                                     Clock clock, Effects& out) {
  std::vector<CloudOffer> cloud;
  for (std::uint32_t type_number = 0; type_number < state_.catalog.size(); ++type_number) {
    const MachineType& type = state_.catalog[type_number];
    for (ZoneIndex zone : type.zones) {
      for (bool spot : {true, false}) {
        MachineKind kind{TypeIndex{type_number}, zone, spot};
        if (scheduler_.is_unreachable(zone, clock.now) || is_refused(kind, clock.now) || is_requested(kind))
          continue;
        if (spot && !state_.settings.operator_settings.use_spot) continue;
        cloud.push_back({kind.type, zone, spot, spot ? type.spot_price : type.price, type.boot_s,
                         max_machines_per_request});
      }
    }
  }
  std::vector<std::uint32_t> rest = source_->plan(unmet_demands_, cloud, clock, out);
  for (std::size_t i = 0; i < unmet_demands_.size(); ++i) {
    if (rest[i] > 0)
      request_machines(state_.job(unmet_demands_[i].job), rest[i], clock,
                       candidates_by_partition[unmet_demands_[i].partition.value]);
  }
  unmet_demands_.clear();
}

void Autoscaler::note_turnover(const Job& job, const CandidateMachine& right, std::uint32_t count,
                               Seconds now) {
  if (job.spec.shape == JobShape::gang && job.machine_fraction > 0.5 && !right.spot)
    turnover_.push_back({now, {right.type, right.zone, false}, count});
}

void Autoscaler::keep_warm_machines(const std::vector<CandidateMachine>& idle, Clock clock) {
  // A gang that finds no whole machines waits for a boot. So as many stand idle as gangs take, at the pace of
  // late, while one boots. The share keeps the first minutes, when everything is asked for at once, from
  // filling the fleet with machines nobody will need.
  while (!turnover_.empty() && clock.now - turnover_.front().at > turnover_window_s) turnover_.pop_front();
  warm_targets_.clear();
  for (const Turnover& t : turnover_) warm_targets_[t.kind] += t.count / turnover_window_s;
  if (warm_targets_.empty()) return;
  double booted_count = 0, all = 0;
  std::map<MachineKind, double> stock;
  for (std::uint32_t i = 0; i < state_.machine_count(); ++i) {
    const Machine& machine = state_.machine(MachineIndex{i});
    if (machine.revision == 0 || machine.record.spot || machine.record.mark == MachineMark::deleting ||
        machine.reported_failed)
      continue;
    MachineKind kind{machine.record.type, machine.record.zone, false};
    if (machine.has_booted) {
      ++booted_count;
    } else if (machine.record.partition == idle_pool) {
      ++stock[kind];  // boots
    }
  }
  for (const CandidateMachine& b : idle) stock[{b.type, b.zone, b.spot}] += 1;
  for (const auto& [name, a] : adoptions_) {
    if (a.record.partition == idle_pool && !a.record.has_booted)
      stock[{a.record.type, a.record.zone, a.record.spot}] += 1;
  }
  for (auto& [kind, wanted] : warm_targets_) {
    wanted *= state_.catalog[kind.type.value].boot_s;
    all += wanted;
  }
  double scale = std::min(1.0, max_warm_fraction * booted_count / all);
  for (auto& [kind, wanted] : warm_targets_) {
    wanted = std::ceil(wanted * scale);
    double missing = std::floor(wanted - stock[kind]);
    if (missing < 1 || is_refused(kind, clock.now) || is_requested(kind)) continue;
    ScaleOutRequest& order = new_request_for(kind);
    auto count = std::min(static_cast<std::uint32_t>(missing), max_machines_per_request - order.count);
    order.count += count;
    order.partitions.insert(order.partitions.end(), count, idle_pool);
  }
}

void Autoscaler::replace_suspected_machines(std::size_t idle, Clock clock) {
  for (const Replacement& replacement : recovery_admission_->replacements(clock.now)) {
    if (idle > 0) {  // it stands ready already
      --idle;
      continue;
    }
    // Of the suspect's kind where the cloud has it, else of its type elsewhere; a wave of losses must not
    // leave the rest of a zone's work without machines only because the zone has no more.
    std::vector<MachineKind> kinds = {replacement.kind};
    for (ZoneIndex z : state_.catalog.at(replacement.kind.type.value).zones)
      kinds.push_back({replacement.kind.type, z, replacement.kind.spot});
    auto kind = std::find_if(kinds.begin(), kinds.end(), [&](const MachineKind& k) {
      return !is_refused(k, clock.now) && !is_requested(k) && !scheduler_.is_unreachable(k.zone, clock.now) &&
             (!k.spot || state_.settings.operator_settings.use_spot) &&
             new_request_for(k).count < max_machines_per_request;
    });
    if (kind == kinds.end()) continue;
    ScaleOutRequest& order = new_request_for(*kind);
    ++order.count;
    order.partitions.push_back(replacement.partition);
    recovery_admission_->replacement_started(replacement.suspected_machine);
  }
  new_requests_.erase(std::remove_if(new_requests_.begin(), new_requests_.end(),
                                     [](const ScaleOutRequest& o) { return o.count == 0; }),
                      new_requests_.end());
}

ScaleOutRequest& Autoscaler::new_request_for(const MachineKind& kind) {
  auto same = std::find_if(new_requests_.begin(), new_requests_.end(), [&](const ScaleOutRequest& request) {
    return request.type == kind.type && request.zone == kind.zone && request.spot == kind.spot;
  });
  if (same != new_requests_.end()) return *same;
  new_requests_.push_back({"", kind.type, kind.zone, kind.spot, 0, {}});
  return new_requests_.back();
}

void Autoscaler::request_machines(const Job& job, std::uint32_t tasks, Clock clock,
                                  std::vector<CandidateMachine>& bins) {
  const JobSpec& spec = job.spec;
  struct Offer {
    double price;
    std::size_t machines_in_zone;  // machines in the zone already, to spread the risk
    MachineKind kind;
    int tasks_per_machine;
  };
  std::vector<Offer> offers;
  for (std::uint32_t type_number = 0; type_number < state_.catalog.size(); ++type_number) {
    const MachineType& type = state_.catalog[type_number];
    int tasks_per_machine = how_many_fit(spec.task_resources, type.capacity);
    if (tasks_per_machine == 0) continue;
    for (ZoneIndex zone : type.zones) {
      if (scheduler_.is_unreachable(zone, clock.now)) continue;  // what boots there cannot report
      auto have = static_cast<std::size_t>(std::count_if(
          bins.begin(), bins.end(), [zone](const CandidateMachine& right) { return right.zone == zone; }));
      for (bool spot : {true, false}) {
        MachineKind kind{TypeIndex{type_number}, zone, spot};
        if (spot && !state_.settings.operator_settings.use_spot) continue;
        bool full =
            std::any_of(new_requests_.begin(), new_requests_.end(), [&](const ScaleOutRequest& request) {
              return request.type == kind.type && request.zone == zone && request.spot == spot &&
                     request.count >= max_machines_per_request;
            });
        if (full) continue;
        if (!is_allowed_on(spec, kind.type, zone, spot) || is_refused(kind, clock.now)) continue;
        double price = (spot ? type.spot_price : type.price) / std::min<double>(tasks_per_machine, tasks);
        offers.push_back({price, have, kind, tasks_per_machine});
      }
    }
  }
  std::sort(offers.begin(), offers.end(), [](const Offer& a, const Offer& b) {
    return std::tie(a.price, a.machines_in_zone) < std::tie(b.price, b.machines_in_zone);
  });
  if (offers.empty()) return;
  const Offer& offer = offers.front();
  // A dearer kind is not taken only because a request for the cheapest is under way.
  if (is_requested(offer.kind)) return;
  std::uint32_t count = (tasks + static_cast<std::uint32_t>(offer.tasks_per_machine) - 1) /
                        static_cast<std::uint32_t>(offer.tasks_per_machine);
  ScaleOutRequest& order = new_request_for(offer.kind);
  count = std::min(count, max_machines_per_request - order.count);
  order.count += count;
  order.partitions.insert(order.partitions.end(), count, spec.partition);
  for (std::uint32_t i = 0; i < count; ++i) {
    Resources room = state_.catalog[order.type.value].capacity;
    for (int k = 0; k < offer.tasks_per_machine && tasks > 0; ++k, --tasks) room -= spec.task_resources;
    bins.push_back(
        {MachineIndex{}, order.type, order.zone, order.spot, state_.catalog[order.type.value].boot_s, room});
  }
  if (count > 0) note_turnover(job, bins.back(), count, clock.now);
}

}  // namespace oxbowmill
