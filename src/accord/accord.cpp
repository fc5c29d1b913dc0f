#include "oxbowmill/accord/accord.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace oxbowmill::accord {

bool Kind::allows(const std::string& from, const std::string& to) const {
  return std::any_of(steps.begin(), steps.end(), [&](const Step& s) { return s.from == from && s.to == to; });
}

Desk::Desk(Model& model, Scheduler& scheduler, double share)
    : model_(model),
      scheduler_(scheduler),
      budget_(share * model.settings.state_write_rps, std::max(4.0, share * model.settings.state_write_rps)),
      in_doubt_(std::make_shared<std::set<std::string>>()) {}

const Agreed* Desk::find(const Kind& kind, const std::string& name) const {
  auto it = model_.agreed.find(kind.key(name));
  return it == model_.agreed.end() ? nullptr : &it->second;
}

Asked Desk::change(const Kind& kind, const std::string& name, AgreedRecord next, PartIndex by, Clock clock,
                   Effects& out, bool urgent, std::vector<Guard> also) {
  std::string key = kind.key(name);
  // While the outcome of an earlier change is open nobody knows what the next would be made from. A second
  // one beside it could be the late copy that is carried out.
  if (open(kind, name)) return Asked::busy;
  if (by.valid() && !scheduler_.owns(by)) return Asked::not_ours;
  const Agreed* now = find(kind, name);
  std::string from = now == nullptr ? "" : now->rec.state;
  bool falls = now != nullptr && (next.epoch < now->rec.epoch || next.version < now->rec.version);
  if (!kind.allows(from, next.state) || falls) {
    SPDLOG_ERROR("decision {}: {} -> {} in epoch {} is no step of it", key, from, next.state, next.epoch);
    return Asked::refused;
  }
  // The budget is taken from even by what is urgent, so that the rest gives way to it.
  if (!budget_.take(1, clock.now) && !urgent) return Asked::later;
  next.serial = now == nullptr ? 1 : now->rec.serial + 1;
  if (from != next.state || (now != nullptr && next.epoch != now->rec.epoch)) next.at = clock.wall;
  Transaction txn;
  if (by.valid()) txn.guards.push_back(scheduler_.claim_guard(by));
  txn.guards.push_back({AgreedKey{key}, now == nullptr ? 0 : now->stamp});
  for (Guard& g : also) txn.guards.push_back(std::move(g));
  if (from != next.state) {
    SPDLOG_INFO("decision {}: {} -> {}, epoch {}{}{}", key, from.empty() ? "none" : from, next.state,
                next.epoch, next.why.empty() ? "" : ": ", next.why);
  } else {
    SPDLOG_DEBUG("decision {}: {} goes on, change {}: {}", key, from, next.serial, next.why);
  }
  txn.changes = {{AgreedKey{key}, std::move(next)}};
  in_doubt_->insert(key);
  ++sent_;
  scheduler_.queue(out, urgent ? Urgency::placement : Urgency::rest, std::move(txn), {}, {},
                   [in_doubt = in_doubt_, key] { in_doubt->erase(key); });
  return Asked::sent;
}

void Council::advise(JobIndex job, Advice& advice) const {
  for (const Counsel* c : members_) c->advise(job, advice);
}

std::vector<TaskId> Council::unwanted(PartIndex part) const {
  std::vector<TaskId> out;
  for (const Counsel* c : members_) {
    auto more = c->unwanted(part);
    out.insert(out.end(), more.begin(), more.end());
  }
  return out;
}

double CarefulClock::earliest(Clock clock) {
  double ahead = clock.wall - clock.now;
  while (!offsets_.empty() && offsets_.back().ahead >= ahead) offsets_.pop_back();
  offsets_.push_back({clock.now, ahead});
  while (clock.now - offsets_.front().at > memory_s_) offsets_.pop_front();
  return clock.now + offsets_.front().ahead - skew_s_;
}

}  // namespace oxbowmill::accord
