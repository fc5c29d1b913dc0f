// Controllers of the fleet's world: their links to the state service, claims and transactions.
#include "fleet_world_impl.h"

namespace oxbowmill::lab {

namespace {

/// Start with the truth about machines: who is dead is suspected and condemned at once, and nobody else.
class Oracle : public recovery::Start {
 public:
  Oracle(const Model& model, const Scheduler& scheduler, const recovery::Settings& s,
         std::function<bool(const std::string&)> dead)
      : Start(model, scheduler, s), model_(model), dead_(std::move(dead)) {}
  bool suspected(MachineIndex m) const override { return dead_(model_.names.machines.name(m)); }
  bool condemned(MachineIndex m) const override {
    return suspected(m) && model_.machine(m).rec.mark == MachineMark::none;
  }

 private:
  const Model& model_;
  std::function<bool(const std::string&)> dead_;
};

}  // namespace

void FleetWorld::Impl::boot(std::size_t i) {
  Node& n = nodes[i];
  n = Node();
  n.up_since = now;
  n.core = std::make_unique<Controller>(node_name(i), state, settings(i), names(), catalog());
  n.changes.set_rate(0.7 * s.write_rps, std::max(0.35 * s.write_rps, double(s.txn_ops)));
  if (way != Way::before) n.core->model.wall_ahead = wall_ahead;
  if (way == Way::now || way == Way::twin) {
    recovery::Settings r;
    r.enabled = true;
    n.core->square(r);
  } else if (way == Way::bound) {
    n.core->start = std::make_unique<Oracle>(n.core->model, n.core->scheduler, recovery::Settings(),
                                             [this](const std::string& m) {
                                               auto h = hosts.find(m);
                                               return h != hosts.end() && !h->second.alive;
                                             });
    n.core->scheduler.set_gate(n.core->start.get());
    n.core->fleet.set_gate(n.core->start.get());
  }
}

void FleetWorld::Impl::down(std::size_t i, double back_at) {
  collect(nodes[i]);
  nodes[i] = Node();
  nodes[i].back_at = back_at;
}

void FleetWorld::Impl::collect(const Node& n) {
  if (!n.core || !n.core->start) return;
  for (std::uint32_t p = 0; p < n.core->model.parts(); ++p) {
    const auto& c = n.core->start->counts(PartIndex{p});
    result.suspected += c.suspected;
    result.returned += c.returned;
  }
}

void FleetWorld::Impl::tend(std::size_t i) {
  Node& n = nodes[i];
  if (!n.core) {
    if (n.back_at < 0 || now < n.back_at) return;
    boot(i);
  }
  if (!acts(n)) return;
  Controller& c = *n.core;
  bool state_up = reaches_state(n);
  if (!n.listed) {
    if (!state_up) return;
    c.list(now);
    n.listed = true;
    if (way != Way::before) end_past(n, c);
  }
  if (state_up && now >= n.next_sync) {
    n.next_sync = now + (c.scheduler.owns_any() ? 0.1 : 0.6);
    n.hearings.push_back({now + delay_s(), now, state.events().size(), state.revision()});
  }
  // Of a node that is cut off meanwhile the answer does not come.
  if (!state_up) n.hearings.clear();
  for (; !n.hearings.empty() && n.hearings.front().at <= now; n.hearings.pop_front())
    c.hear_up_to(n.hearings.front().events, n.hearings.front().revision, n.hearings.front().asked, now);
  if (state_up && now >= n.next_renew) {
    n.next_renew = now + c.model.settings.op.hold_life_s / 4;
    if (c.hold.id() == 0) {
      c.hold.opened(state.open_hold(c.model.settings.op.hold_life_s, now), now);
    } else if (state.renew(c.hold.id(), now)) {
      c.hold.renewed(now);
    } else {
      c.hold.lost();
    }
  }
  if (state_up) claim(n, c);
  while (!n.answers.empty() && n.answers.front().at <= now) {
    auto a = std::move(n.answers.front());
    n.answers.pop_front();
    Stamp rev = a.result ? a.result->body.value("ledger_rev", std::uint64_t{0}) : 0;
    c.answered(a.write, outcome_of(a.result), rev, now);
  }
  Effects out = c.decide(now);
  for (Write& w : out.writes) {
    c.keep(w);
    n.queues[static_cast<std::size_t>(w.urgency)].push_back(std::move(w));
  }
  pump(n, c);
  for (const DirectOrders& d : out.direct) deliver(i, d);
  for (RentOrder& r : out.rents) calls.push_back({i, now, std::move(r), {}, false});
  if (!out.deletes.empty()) calls.push_back({i, now, {}, out.deletes, false});
  if (out.list_machines) calls.push_back({i, now, {}, {}, true});
  if (c.start && now >= n.next_news) {
    n.next_news = now + 1;
    for (std::size_t k = 0; k < nodes.size(); ++k) {
      bool cut = now < n.alone_until || now < nodes[k].alone_until || apart(zone_of(i)) != apart(zone_of(k));
      if (k != i && !cut && acts(nodes[k]) && nodes[k].core->start) tell(c, *nodes[k].core);
    }
  }
}

void FleetWorld::Impl::tell(const Controller& from, Controller& to) const {
  for (const auto& w : from.start->part_words()) to.start->heard_of(w, now);
  for (MachineIndex m : from.start->suspects(200))
    to.start->heard_of_suspect(to.model.find_recorded(from.model.names.machines.name(m)), now);
}

void FleetWorld::Impl::put(Controller& c, const Key& key) {
  Change change{key, ClaimRecord{c.name, c.hold.id()}, c.hold.id()};
  std::string k = state::encode_key(key, c.model);
  Json guards = Json::array();
  if (!std::holds_alternative<NodeKey>(key)) guards.push_back({{"k", k}, {"stamp", 0}});
  Json body = {
      {"guards", guards},
      {"apply", {{{"put", k}, {"value", state::encode_value(change, c.model)}, {"grant", c.hold.id()}}}}};
  if (!loses(body)) state.txn(body);
  c.sync(now);
}

bool FleetWorld::Impl::reaches_state(const Node& n) const {
  auto i = static_cast<std::size_t>(&n - nodes.data());
  return !state.outage() && now >= n.cut_until && now >= n.refused_until && now >= n.alone_until &&
         !apart(zone_of(i));
}

bool FleetWorld::Impl::loses(const Json& body) {
  if (!loses_one()) return false;
  late_writes.push_back({now + drawn(2, 12), body});
  return true;
}

void FleetWorld::Impl::end_past(Node& n, Controller& c) {
  std::set<std::uint64_t> holds;
  for (std::uint32_t p = 0; p < c.model.parts(); ++p) {
    const Claim& claim = c.model.claim(PartIndex{p});
    if (claim.stamp == 0 || claim.rec.node != c.name) continue;
    holds.insert(claim.rec.hold);
    n.past_parts.insert(p);
  }
  auto live = c.model.nodes().find(c.name);
  if (live != c.model.nodes().end()) holds.insert(live->second.rec.hold);
  for (std::uint64_t id : holds) state.end_hold(id);
  c.sync(now);
}

void FleetWorld::Impl::claim(Node& n, Controller& c) {
  if (c.hold.id() == 0) return;
  if (now - n.registered_at >= 1 && needs_registration(c.model, c.hold, c.name)) {
    n.registered_at = now;
    put(c, NodeKey{c.name});
  }
  std::vector<std::string> live;
  for (const auto& [name, rec] : c.model.nodes()) live.push_back(name);
  if (std::find(live.begin(), live.end(), c.name) == live.end()) return;
  std::vector<std::string> all;
  for (std::size_t k = 0; k < nodes.size(); ++k) all.push_back(node_name(k));
  for (std::uint32_t p = 0; p < c.model.parts(); ++p) {
    if (c.model.claim(PartIndex{p}).stamp != 0) {
      n.claim_at.erase(p);
      continue;
    }
    bool young = now - n.up_since < 5;
    std::size_t turn =
        n.past_parts.count(p) != 0 ? 0 : claim_turn(c.model, PartIndex{p}, c.name, young ? all : live);
    auto [it, fresh] = n.claim_at.emplace(p, now + 0.6 * static_cast<double>(turn));
    if (now < it->second) continue;
    it->second = now + 3;
    n.past_parts.erase(p);
    put(c, ClaimKey{PartIndex{p}});
  }
}

void FleetWorld::Impl::pump(Node& n, Controller& c) {
  for (auto& q : n.queues) {
    while (!q.empty()) {
      auto changes = static_cast<double>(q.front().txn.changes.size());
      if (!n.changes.take(changes, now)) return;
      Write w = std::move(q.front());
      q.pop_front();
      std::optional<State::Result> r;
      auto here = static_cast<std::size_t>(&n - nodes.data());
      bool unreachable = now < n.cut_until || now < n.alone_until || apart(zone_of(here));
      bool refused = !unreachable && now < n.refused_until;
      if (refused) {
        r = State::Result{503, Json::object()};
      } else if (unreachable || (!state.outage() && loses_next(c, w))) {
        r = std::nullopt;
      } else if (!state.outage() && !writes.take(changes, now)) {
        r = State::Result{429, Json::object()};
      } else {
        r = c.send(w);
        bool lost = loses_answer();
        if (r && r->status == 200) {
          second().changes += static_cast<std::uint32_t>(changes);
          if (w.urgency == Urgency::placement) ++second().starts;
        }
        if (lost) r = std::nullopt;
      }
      for (const Change& ch : w.txn.changes) {
        const auto* fin = std::get_if<FinalKey>(&ch.key);
        if (fin != nullptr && r && r->status == 200)
          n.finals.emplace(c.model.job(fin->job).spec.ref, std::get<JobPhase>(ch.value));
      }
      n.answers.push_back({now + (r ? step_s + delay_s() : 2), std::move(w), std::move(r)});
      std::sort(n.answers.begin(), n.answers.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    }
  }
}

bool FleetWorld::Impl::loses_next(Controller& c, const Write& w) {
  if (!loses_one()) return false;
  c.fate = Fate::not_arrived;
  c.send(w);
  c.fate = Fate::answered;
  late_writes.push_back({now + drawn(2, 12), c.lost.back()});
  c.lost.clear();
  return true;
}

}  // namespace oxbowmill::lab
