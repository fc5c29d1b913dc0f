// What is rented, of which kind, for whom and ahead of whom.
#include <algorithm>
#include <cmath>

#include "oxbowmill/core/fleet.h"

namespace oxbowmill {

namespace {
constexpr std::uint32_t most_per_request = 50;  // the cloud's limit
constexpr double turnover_memory_s = 30;
constexpr double standby_share = 0.1;  // of the machines of a kind, at most
}  // namespace

void Fleet::note_need(JobIndex ji, std::uint32_t tasks, bool guaranteed, Clock clock) {
  const Job& j = model_.job(ji);
  const JobSpec& spec = j.spec;
  Need n;
  n.job = ji;
  n.part = spec.part;
  n.rank = spec.rank;
  n.guaranteed = guaranteed;
  n.spot = spec.spot && model_.settings.op.use_spot;
  n.tasks = tasks;
  n.zone = spec.zone;
  n.run_s = spec.estimate_s;
  n.waited_s = clock.now - j.first_seen;
  if (spec.deadline_s >= 0) {
    double fetch = model_.catalog.empty() ? 0 : fetch_time(spec, model_.catalog.front());
    n.slack_s = spec.submitted_at + spec.deadline_s - spec.estimate_s - fetch - clock.wall;
  }
  for (std::uint32_t t = 0; t < model_.catalog.size(); ++t) {
    n.per_machine.push_back(spec.allows(TypeIndex{t})
                                ? static_cast<std::uint32_t>(how_many_fit(spec.need, model_.catalog[t].room))
                                : 0);
  }
  needs_.push_back(std::move(n));
}

void Fleet::serve_needs(std::vector<std::vector<CandidateNode>>& own, Clock clock, Effects& out) {
  std::vector<CloudOffer> cloud;
  for (std::uint32_t t = 0; t < model_.catalog.size(); ++t) {
    const MachineType& type = model_.catalog[t];
    for (ZoneIndex z : type.zones) {
      for (bool spot : {true, false}) {
        Kind k{TypeIndex{t}, z, spot};
        if (scheduler_.dark(z, clock.now) || refused(k, clock.now) || asked_for(k)) continue;
        if (spot && !model_.settings.op.use_spot) continue;
        cloud.push_back(
            {k.type, z, spot, spot ? type.spot_price : type.price, type.boot_s, most_per_request});
      }
    }
  }
  std::vector<std::uint32_t> rest = source_->plan(needs_, cloud, clock, out);
  for (std::size_t i = 0; i < needs_.size(); ++i) {
    if (rest[i] > 0) rent_for(model_.job(needs_[i].job), rest[i], clock, own[needs_[i].part.v]);
  }
  needs_.clear();
}

void Fleet::note_turnover(const Job& j, const CandidateNode& b, std::uint32_t count, Seconds now) {
  if (j.spec.shape == Shape::gang && j.share > 0.5 && !b.spot)
    turnover_.push_back({now, {b.type, b.zone, false}, count});
}

void Fleet::stand_by(const std::vector<CandidateNode>& idle, Clock clock) {
  // A gang that finds no whole machines waits for a boot. So as many stand idle as gangs take, at the pace of
  // late, while one boots. The share keeps the first minutes, when everything is asked for at once, from
  // filling the fleet with machines nobody will need.
  while (!turnover_.empty() && clock.now - turnover_.front().at > turnover_memory_s) turnover_.pop_front();
  standby_.clear();
  for (const Turnover& t : turnover_) standby_[t.kind] += t.count / turnover_memory_s;
  if (standby_.empty()) return;
  double up = 0, all = 0;
  std::map<Kind, double> stock;
  for (std::uint32_t i = 0; i < model_.machine_count(); ++i) {
    const Machine& m = model_.machine(MachineIndex{i});
    if (m.stamp == 0 || m.rec.spot || m.rec.mark == MachineMark::deleting || m.failed_listed) continue;
    Kind k{m.rec.type, m.rec.zone, false};
    if (m.up) {
      ++up;
    } else if (m.rec.part == pool_part) {
      ++stock[k];  // boots
    }
  }
  for (const CandidateNode& b : idle) stock[{b.type, b.zone, b.spot}] += 1;
  for (const auto& [name, a] : adopt_) {
    if (a.rec.part == pool_part && !a.rec.up) stock[{a.rec.type, a.rec.zone, a.rec.spot}] += 1;
  }
  for (auto& [kind, wanted] : standby_) {
    wanted *= model_.catalog[kind.type.v].boot_s;
    all += wanted;
  }
  double scale = std::min(1.0, standby_share * up / all);
  for (auto& [kind, wanted] : standby_) {
    wanted = std::ceil(wanted * scale);
    double missing = std::floor(wanted - stock[kind]);
    if (missing < 1 || refused(kind, clock.now) || asked_for(kind)) continue;
    RentOrder& order = asking(kind);
    auto count = std::min(static_cast<std::uint32_t>(missing), most_per_request - order.count);
    order.count += count;
    order.parts.insert(order.parts.end(), count, pool_part);
  }
}

void Fleet::replace_suspects(std::size_t idle, Clock clock) {
  for (const Replacement& r : gate_->replacements(clock.now)) {
    if (idle > 0) {  // it stands ready already
      --idle;
      continue;
    }
    // Of the suspect's kind where the cloud has it, else of its type elsewhere; a wave of losses must not
    // leave the rest of a zone's work without machines only because the zone has no more.
    std::vector<Kind> kinds = {r.kind};
    for (ZoneIndex z : model_.catalog.at(r.kind.type.v).zones) kinds.push_back({r.kind.type, z, r.kind.spot});
    auto kind = std::find_if(kinds.begin(), kinds.end(), [&](const Kind& k) {
      return !refused(k, clock.now) && !asked_for(k) && !scheduler_.dark(k.zone, clock.now) &&
             (!k.spot || model_.settings.op.use_spot) && asking(k).count < most_per_request;
    });
    if (kind == kinds.end()) continue;
    RentOrder& order = asking(*kind);
    ++order.count;
    order.parts.push_back(r.part);
    gate_->under_way(r.suspect);
  }
  asking_.erase(
      std::remove_if(asking_.begin(), asking_.end(), [](const RentOrder& o) { return o.count == 0; }),
      asking_.end());
}

RentOrder& Fleet::asking(const Kind& k) {
  auto same = std::find_if(asking_.begin(), asking_.end(), [&](const RentOrder& r) {
    return r.type == k.type && r.zone == k.zone && r.spot == k.spot;
  });
  if (same != asking_.end()) return *same;
  asking_.push_back({"", k.type, k.zone, k.spot, 0, {}});
  return asking_.back();
}

void Fleet::rent_for(const Job& j, std::uint32_t tasks, Clock clock, std::vector<CandidateNode>& bins) {
  const JobSpec& spec = j.spec;
  struct Offer {
    double price;
    std::size_t have;  // machines in the zone already, to spread the risk
    Kind kind;
    int per_machine;
  };
  std::vector<Offer> offers;
  for (std::uint32_t t = 0; t < model_.catalog.size(); ++t) {
    const MachineType& type = model_.catalog[t];
    int per = how_many_fit(spec.need, type.room);
    if (per == 0) continue;
    for (ZoneIndex z : type.zones) {
      if (scheduler_.dark(z, clock.now)) continue;  // what boots there cannot report
      auto have = static_cast<std::size_t>(
          std::count_if(bins.begin(), bins.end(), [z](const CandidateNode& b) { return b.zone == z; }));
      for (bool spot : {true, false}) {
        Kind kind{TypeIndex{t}, z, spot};
        if (spot && !model_.settings.op.use_spot) continue;
        bool full = std::any_of(asking_.begin(), asking_.end(), [&](const RentOrder& r) {
          return r.type == kind.type && r.zone == z && r.spot == spot && r.count >= most_per_request;
        });
        if (full) continue;
        if (!allowed_on(spec, kind.type, z, spot) || refused(kind, clock.now)) continue;
        double price = (spot ? type.spot_price : type.price) / std::min<double>(per, tasks);
        offers.push_back({price, have, kind, per});
      }
    }
  }
  std::sort(offers.begin(), offers.end(), [](const Offer& a, const Offer& b) {
    return std::tie(a.price, a.have) < std::tie(b.price, b.have);
  });
  if (offers.empty()) return;
  const Offer& o = offers.front();
  // A dearer kind is not taken only because a request for the cheapest is under way.
  if (asked_for(o.kind)) return;
  std::uint32_t count =
      (tasks + static_cast<std::uint32_t>(o.per_machine) - 1) / static_cast<std::uint32_t>(o.per_machine);
  RentOrder& order = asking(o.kind);
  count = std::min(count, most_per_request - order.count);
  order.count += count;
  order.parts.insert(order.parts.end(), count, spec.part);
  for (std::uint32_t i = 0; i < count; ++i) {
    Amounts room = model_.catalog[order.type.v].room;
    for (int k = 0; k < o.per_machine && tasks > 0; ++k, --tasks) room -= spec.need;
    bins.push_back(
        {MachineIndex{}, order.type, order.zone, order.spot, model_.catalog[order.type.v].boot_s, room});
  }
  if (count > 0) note_turnover(j, bins.back(), count, clock.now);
}

}  // namespace oxbowmill
