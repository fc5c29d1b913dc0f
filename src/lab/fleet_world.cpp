#include "oxbowmill/lab/fleet_world.h"

#include <algorithm>
#include <cmath>

#include "oxbowmill/lab/rules.h"
#include "oxbowmill/service/enquiry.h"
#include "oxbowmill/yaml/map.h"

namespace oxbowmill::lab {

namespace {

constexpr double step_s = 0.1;
constexpr double image_gb[] = {4, 6, 8, 10, 12};
constexpr double save_every_s = 30, flush_s = 3;
constexpr double undone_s = 60;  // a return is undone by a rental within this time
constexpr double listed_dead_s = 30;
constexpr double list_lag_s = 4;

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
                                                         {"state_delay", FaultKind::state_delay}};
  return names;
}

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
  r.get("few", s.few).get("withdrawn", s.withdrawn).get("hold_life_s", s.hold_life_s);
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

struct FleetWorld::Impl {
  struct Node {
    std::unique_ptr<Controller> core;  // none: down
    double back_at = -1, frozen_until = -1, next_renew = 0, next_news = 0, next_sync = 0, up_since = 0,
           cut_until = -1, refused_until = -1, alone_until = -1, registered_at = -1e9;
    bool listed = false;
    std::map<std::uint32_t, double> claim_at;
    std::array<std::deque<Write>, 6> queues;
    struct Answer {
      double at;
      Write write;
      std::optional<State::Result> result;
    };
    std::deque<Answer> answers;
    TokenBucket changes{1, 1};
    std::set<std::uint32_t> past_parts;
    struct Hearing {  // a watch under way
      double at, asked;
      std::size_t events;
      std::uint64_t revision;
    };
    std::deque<Hearing> hearings;
    std::map<std::string, JobPhase> finals;  // told or read here
  };
  struct Host {
    std::unique_ptr<Worker> worker;
    std::uint32_t zone = 0;
    bool spot = false, alive = true, known = false, used = false;
    double up_at = 0, born = 0, died = -1, hung_until = -1, next_report = 0, deaf_until = -1,
           waits_until = -1;
    std::size_t node = 0;
    std::uint64_t tenure = 1;
    std::map<std::uint32_t, double> images;  // and when fetched
  };
  struct Run {
    std::string host, id;
    Host* at = nullptr;
    double ready_at = 0, started = -1, gathers_since = -1;
  };
  struct JobInfo {
    std::uint32_t cls = 0, team = 0, tasks = 0, image = 0;
    double run_s = 0, gpus = 1, spread = 0;
    double run_of(TaskNo t) const { return run_s * (1 + spread * t); }
    std::map<TaskNo, Run> runs;      // by task, as its machine has it
    std::map<TaskNo, double> saved;  // progress in a checkpoint
    double gang_started = -1, gang_saved = 0, gang_lost_at = -1;
    std::set<TaskNo> done;
    double submitted = 0;
    std::map<TaskNo, double> begun;  // when, of each task that has run for long enough to count
    void note_begun(TaskNo t, double at) { begun.try_emplace(t, at); }
  };

  Impl(const FleetScenario& scenario, Way way_, std::uint64_t seed)
      : s(scenario),
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
    for (std::uint32_t z = 0; z < s.zones; ++z)
      zone_names.push_back(std::string(1, static_cast<char>('a' + z)));
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
    rules.quiet_from(way == Way::twin ? s.warm_s : troubles_end());
    for (const Fault& f : s.faults) first_fault = std::min(first_fault, f.at_s);
  }

  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(random); }
  std::uint32_t pick(std::uint32_t n) {
    return std::uniform_int_distribution<std::uint32_t>(0, n - 1)(random);
  }
  std::string node_name(std::size_t i) const { return "node-" + std::to_string(i); }

  Settings settings(std::size_t i) const {
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
  Names names() const {
    Names n = test_names();
    for (const std::string& z : zone_names) n.zones.intern(z);
    for (std::size_t i = 0; i < std::size(image_gb); ++i) n.images.intern("img-" + std::to_string(i));
    return n;
  }
  std::vector<MachineType> catalog() const {
    MachineType t = test_catalog().front();
    t.cache_gb = 100;
    t.fetch_gb_per_s = s.fetch_gb_per_s;
    t.boot_s = s.boot_s;
    t.zones.clear();
    for (std::uint32_t z = 0; z < s.zones; ++z) t.zones.push_back(ZoneIndex{z});
    return {t};
  }

  // --- Controllers.

  void boot(std::size_t i) {
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

  void down(std::size_t i, double back_at) {
    collect(nodes[i]);
    nodes[i] = Node();
    nodes[i].back_at = back_at;
  }

  void collect(const Node& n) {
    if (!n.core || !n.core->start) return;
    for (std::uint32_t p = 0; p < n.core->model.parts(); ++p) {
      const auto& c = n.core->start->counts(PartIndex{p});
      result.suspected += c.suspected;
      result.returned += c.returned;
    }
  }

  bool acts(const Node& n) const { return n.core && now >= n.frozen_until; }

  void tend(std::size_t i) {
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
    for (const DirectOrders& d : out.direct) deliver(c, d);
    for (RentOrder& r : out.rents) calls.push_back({i, now, std::move(r), {}, false});
    if (!out.deletes.empty()) calls.push_back({i, now, {}, out.deletes, false});
    if (out.list_machines) calls.push_back({i, now, {}, {}, true});
    if (c.start && now >= n.next_news) {
      n.next_news = now + 1;
      for (std::size_t k = 0; k < nodes.size(); ++k) {
        bool apart = now < n.alone_until || now < nodes[k].alone_until;
        if (k != i && !apart && acts(nodes[k]) && nodes[k].core->start) tell(c, *nodes[k].core);
      }
    }
  }

  void tell(const Controller& from, Controller& to) {
    for (const auto& w : from.start->part_words()) to.start->heard_of(w, now);
    for (MachineIndex m : from.start->suspects(200))
      to.start->heard_of_suspect(to.model.find_recorded(from.model.names.machines.name(m)), now);
  }

  void put(Controller& c, const Key& key) {
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

  bool reaches_state(const Node& n) const {
    return !state.outage() && now >= n.cut_until && now >= n.refused_until && now >= n.alone_until;
  }
  double delay_s() const { return now < delay_until ? state_delay : 0; }
  bool lucky(double share) { return std::uniform_real_distribution<double>(0, 1)(luck) < share; }
  double drawn(double a, double b) { return std::uniform_real_distribution<double>(a, b)(luck); }

  /// The transaction gets no answer, and is carried out after newer ones.
  bool loses(const Json& body) {
    if (!loses_one()) return false;
    late_writes.push_back({now + drawn(2, 12), body});
    return true;
  }
  bool loses_one() { return now < late_writes_until && lucky(late_write_share); }

  void end_past(Node& n, Controller& c) {
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

  void claim(Node& n, Controller& c) {
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

  void pump(Node& n, Controller& c) {
    for (auto& q : n.queues) {
      while (!q.empty()) {
        auto changes = static_cast<double>(q.front().txn.changes.size());
        if (!n.changes.take(changes, now)) return;
        Write w = std::move(q.front());
        q.pop_front();
        std::optional<State::Result> r;
        if (now < n.cut_until || now < n.alone_until) {
          r = std::nullopt;
        } else if (now < n.refused_until) {
          r = State::Result{503, Json::object()};
        } else if (!state.outage() && loses_next(c, w)) {
          r = std::nullopt;
        } else if (!state.outage() && !writes.take(changes, now)) {
          r = State::Result{429, Json::object()};
        } else {
          r = c.send(w);
          if (r && r->status == 200) {
            second().changes += static_cast<std::uint32_t>(changes);
            if (w.urgency == Urgency::placement) ++second().starts;
          }
        }
        for (const Change& ch : w.txn.changes) {
          auto* fin = std::get_if<FinalKey>(&ch.key);
          if (fin != nullptr && r && r->status == 200)
            n.finals.emplace(c.model.job(fin->job).spec.ref, std::get<JobPhase>(ch.value));
        }
        n.answers.push_back({now + (r ? step_s + delay_s() : 2), std::move(w), std::move(r)});
        std::sort(n.answers.begin(), n.answers.end(),
                  [](const auto& a, const auto& b) { return a.at < b.at; });
      }
    }
  }

  bool loses_next(Controller& c, const Write& w) {
    if (!loses_one()) return false;
    c.fate = Fate::not_arrived;
    c.send(w);
    c.fate = Fate::answered;
    late_writes.push_back({now + drawn(2, 12), c.lost.back()});
    c.lost.clear();
    return true;
  }

  // --- The cloud.

  void add_host(std::uint32_t zone, bool spot, bool at_start) {
    std::string name = "host-" + std::to_string(100000 + hosts.size());
    Host& h = hosts[name];
    if (at_start) zone = static_cast<std::uint32_t>(hosts.size()) % s.zones;
    h.zone = zone;
    h.spot = spot;
    h.born = now;
    h.up_at = at_start ? now : now + s.boot_s * uniform(0.6, 1.5);
    h.worker = std::make_unique<Worker>(name, zone_names[zone], log, spot);
    h.worker->lease_s = s.lease_s;
    h.worker->first_phase = TaskPhase::fetching;
    h.next_report = h.up_at + uniform(0, s.report_s);
    h.node = pick(s.controllers);
    ++rented;
    if (spot) ++rented_spot;
    h.known = true;
    if (!at_start) return;
    Json value = {{"part", state::pool_name},
                  {"type", "std"},
                  {"zone", zone_names[zone]},
                  {"spot", spot},
                  {"del", false},
                  {"up", true}};
    state.txn({{"guards", Json::array()}, {"apply", {{{"put", "o/m/" + name}, {"value", value}}}}});
  }

  struct Call {
    std::size_t node;
    double at;
    RentOrder rent;
    std::vector<MachineIndex> deletes;
    bool list;
  };

  void serve_calls() {
    while (!calls.empty() && now - calls.front().at >= 2 * step_s && cloud.take(1, now)) {
      Call call = std::move(calls.front());
      calls.pop_front();
      Node& n = nodes[call.node];
      if (!n.core) continue;
      Fleet& fleet = n.core->fleet;
      bool up = now >= cloud_down_until;
      if (call.list) {
        up ? fleet.on_listed(listed(), now) : fleet.on_list_failed();
      } else if (!call.deletes.empty()) {
        for (MachineIndex m : call.deletes) {
          if (up) remove(n.core->model.names.machines.name(m));
        }
        fleet.on_deleted(call.deletes, up);
      } else if (!up) {
        fleet.on_rented(call.rent.request, false, {}, now);
      } else {
        rent(call.rent, fleet);
      }
    }
  }

  void rent(const RentOrder& r, Fleet& fleet) {
    auto of_zone = static_cast<std::uint32_t>(std::count_if(hosts.begin(), hosts.end(), [&](const auto& h) {
      return h.second.known && h.second.zone == r.zone.v;
    }));
    std::uint32_t room = s.capacity / s.zones > of_zone ? s.capacity / s.zones - of_zone : 0;
    if (r.spot) room = std::min(room, s.spot > rented_spot ? s.spot - rented_spot : 0);
    std::vector<std::string> got;
    while (got.size() < std::min(r.count, room)) {
      std::size_t before = hosts.size();
      add_host(r.zone.v, r.spot, false);
      got.push_back("host-" + std::to_string(100000 + before));
      ++second().rentals;
      // A return undone.
      if (!returned_at.empty() && now > s.warm_s / 2) {
        if (now - returned_at.back() < undone_s) ++result.undone;
        returned_at.pop_back();
      }
    }
    fleet.on_rented(r.request, true, got, now);
  }

  void remove(const std::string& name) {
    auto it = hosts.find(name);
    if (it == hosts.end() || !it->second.known) return;
    Host& h = it->second;
    if (h.alive && now > s.warm_s / 2) {
      ++second().returns;
      bool working = std::any_of(h.worker->tasks().begin(), h.worker->tasks().end(),
                                 [](const auto& t) { return t.second.phase != TaskPhase::ended; });
      if (working) ++result.condemned_alive;
      if (!h.used)
        ++result.undone;  // rented for nothing
      else if (!working)
        returned_at.push_back(now);
    }
    lose_all(name, h);
    h.worker->power_off();
    h.alive = h.known = false;
    h.died = now;
    --rented;
    if (h.spot) --rented_spot;
  }

  std::vector<ListedMachine> listed() {
    std::vector<ListedMachine> out;
    for (auto& [name, h] : hosts) {
      if (!h.known || now - h.born < list_lag_s) continue;
      ListedMachine l;
      l.name = name;
      l.address = "127.0.0.1:1";
      l.type = "std";
      l.zone = zone_names[h.zone];
      l.spot = h.spot;
      bool shown_dead = !h.alive && now - h.died > listed_dead_s + list_lag_s;
      l.phase = shown_dead      ? ListedMachine::Phase::failed
                : now < h.up_at ? ListedMachine::Phase::starting
                                : ListedMachine::Phase::running;
      out.push_back(std::move(l));
    }
    return out;
  }

  // --- Users.

  void submit(std::uint32_t cls) {
    JobSpec spec = test_job("run-" + std::to_string(++submitted), 1);
    JobInfo info;
    info.cls = cls;
    info.team = pick(2);
    info.image = pick(std::size(image_gb));
    info.run_s = (cls == 0 ? s.gang_s : s.array_s) * std::exp(uniform(-0.7, 0.7));
    spec.part = PartIndex{1 + info.team};
    spec.shape = cls == 0 ? Shape::gang : Shape::array;
    spec.rank = cls == 0 ? Rank::high : Rank::low;
    spec.tasks = cls == 0 ? 1U << pick(3) : 5 + pick(30);
    spec.need = cls == 0 ? Amounts{28, 4, 110} : Amounts{6, 1, 24};
    spec.one_zone = cls == 0;
    spec.spot = true;
    spec.save_every_s = save_every_s;
    spec.flush_s = flush_s;
    spec.estimate_s = info.run_s * std::exp(uniform(-0.4, 0.4));
    spec.image_gb = image_gb[info.image];
    spec.submitted_at = now + wall_ahead;
    info.tasks = spec.tasks;
    info.submitted = now;
    info.gpus = spec.need.gpus;
    if (cls == 1 && s.few > 0 && lucky(s.few)) {
      spec.tasks = info.tasks = 1 + static_cast<std::uint32_t>(drawn(0, 2.999));
      info.spread = 1.5;
    }
    Names n = names();
    spec.image = n.images.find("img-" + std::to_string(info.image));
    User u;
    u.ref = spec.ref;
    u.value = state::job_value(spec, JobPhase::open, n);
    u.next = now;
    if (lucky(s.withdrawn)) u.withdraws_at = now + drawn(1, 1.5 * info.run_s);
    jobs[spec.ref] = info;
    rules.submits(spec.ref, {info.team, info.tasks, info.gpus, spec.one_zone, spec.spot});
    users.push_back(std::move(u));
  }

  /// A user of one job: submits it, asks each 5 s, perhaps withdraws it. Each time through any node.
  struct User {
    std::string ref;
    Json value;
    double next = 0, withdraws_at = 1e18;
    bool accepted = false, over = false, withdrawn = false;
  };

  void tick_users() {
    for (User& u : users) {
      if (u.over || now < u.next) continue;
      Told what = Told::nothing;
      std::size_t k = std::uniform_int_distribution<std::size_t>(0, nodes.size() - 1)(luck);
      Node& n = nodes[k];
      bool serves = acts(n) && n.listed;
      bool withdraws = u.accepted && now >= u.withdraws_at;
      if (withdraws) {
        u.withdrawn = true;
        rules.withdraws(u.ref);
      }
      if (serves) what = !u.accepted ? submit(n, u) : withdraws ? withdraw(n, u) : poll(n, u.ref);
      rules.told(u.ref, what, now);
      u.next = now + (what == Told::nothing ? 1.5 : 5);
      u.accepted = u.accepted || what == Told::open || what == Told::done || what == Told::cancelled;
      // Some ask again later, through others.
      bool final = what == Told::done || what == Told::cancelled;
      if (final) u.withdraws_at = 1e18;
      u.over = final && !lucky(0.7);
    }
    if (now >= next_stranger && !nodes.empty()) {
      // Users also ask about jobs that nobody has submitted.
      next_stranger = now + 10;
      Node& n = nodes[static_cast<std::size_t>(drawn(0, static_cast<double>(nodes.size()) - 0.01))];
      if (acts(n) && n.listed) rules.told("run-0", poll(n, "run-0"), now);
    }
  }

  service::KeyRead read(const Node& n, const std::string& key, Json* value = nullptr,
                        std::uint64_t* stamp = nullptr) const {
    using Kind = service::KeyRead::Kind;
    if (!reaches_state(n) || delay_s() > 1) return {};
    auto it = state.keys().find(key);
    if (it == state.keys().end()) return {Kind::absent, JobPhase::open};
    if (value != nullptr) *value = it->second.value;
    if (stamp != nullptr) *stamp = it->second.stamp;
    auto phase = state::read_phase(it->second.value);
    return phase ? service::KeyRead{Kind::found, *phase} : service::KeyRead{};
  }

  Told follow(Node& n, const std::string& ref, service::Enquiry& e, service::EnquiryStep step,
              Json* value = nullptr, std::uint64_t* stamp = nullptr) {
    using Step = service::EnquiryStep;
    if (step == Step::wait_for_tables) {
      // Its tables are current where a watch that was opened after the question came has been answered.
      bool current = reaches_state(n) && delay_s() == 0 && n.next_sync > now && n.hearings.empty();
      if (current) n.core->sync(now);
      const Job* j = current ? n.core->model.live_job(n.core->model.find_job(ref)) : nullptr;
      step = e.on_tables(current, j != nullptr ? std::make_optional(j->phase) : std::nullopt);
    }
    while (step == Step::read_live || step == Step::read_final) {
      step = step == Step::read_live ? e.on_live(read(n, state::job_key(ref), value, stamp))
                                     : e.on_final(read(n, state::final_key(ref)));
    }
    if (step == Step::absent) return Told::absent;
    return step == Step::answer ? tell_user(n, ref, e.phase()) : Told::nothing;
  }

  static Told tell_user(Node& n, const std::string& ref, JobPhase phase) {
    if (phase != JobPhase::open) n.finals.emplace(ref, phase);
    return phase == JobPhase::open ? Told::open : phase == JobPhase::done ? Told::done : Told::cancelled;
  }

  Told poll(Node& n, const std::string& ref) {
    service::Enquiry e;
    auto known = n.finals.find(ref);
    return follow(n, ref, e,
                  e.poll(known == n.finals.end() ? std::nullopt : std::make_optional(known->second)));
  }

  std::optional<State::Result> user_txn(const Node& n, const Json& body) {
    if (!reaches_state(n) || loses(body)) return std::nullopt;
    return state.txn(body);
  }

  Told submit(Node& n, const User& u) {
    Json guards = Json::array();
    for (const std::string& key : {state::job_key(u.ref), state::final_key(u.ref)})
      guards.push_back({{"k", key}, {"stamp", 0}});
    auto r =
        user_txn(n, {{"guards", guards}, {"apply", {{{"put", state::job_key(u.ref)}, {"value", u.value}}}}});
    if (!r || r->status == 200) return r ? Told::open : Told::nothing;
    service::Enquiry e;
    Told what = r->status == 409 ? follow(n, u.ref, e, e.look_up()) : Told::nothing;
    return what == Told::absent ? Told::nothing : what;
  }

  Told withdraw(Node& n, const User& u) {
    service::Enquiry e;
    Json value;
    std::uint64_t stamp = 0;
    Told what = follow(n, u.ref, e, e.look_up(), &value, &stamp);
    if (what != Told::open) return what;
    auto r = user_txn(
        n, {{"guards", {{{"k", state::job_key(u.ref)}, {"stamp", stamp}}}},
            {"apply",
             {{{"put", state::job_key(u.ref)}, {"value", state::with_phase(value, JobPhase::cancelled)}}}}});
    return r && r->status == 200 ? tell_user(n, u.ref, JobPhase::cancelled) : Told::nothing;
  }

  // --- Workers.

  static std::pair<std::string, TaskNo> split(const std::string& id) {
    std::size_t slash = id.rfind('/');
    return {id.substr(0, slash), static_cast<TaskNo>(std::stoul(id.substr(slash + 1)))};
  }

  bool reachable(const Host& h) const {
    return h.alive && now >= h.up_at && now >= h.hung_until &&
           !(cut_zone == zone_names[h.zone] && now < cut_until);
  }

  void deliver(const Controller& c, const DirectOrders& d) {
    auto h = hosts.find(c.model.names.machines.name(d.machine));
    if (h == hosts.end() || !reachable(h->second) || now < h->second.deaf_until) return;
    if (now < held_up_until && lucky(held_up_share)) {
      held_commands.push_back({now + drawn(0.5, 6), h->first, d});
      return;
    }
    command(h, d);
  }

  void command(std::map<std::string, Host>::iterator h, const DirectOrders& d) {
    for (const Order& o : d.orders) second().kills += o.verb == OrderVerb::kill ? 1 : 0;
    h->second.worker->command(d);
    after_orders(h->first, h->second);
    h->second.next_report = std::min(h->second.next_report, now + 0.5);
  }

  void report(const std::string& name, Host& h) {
    Node& n = nodes[h.node];
    if (!acts(n) || !n.listed) {
      bool hangs = n.core && now < n.frozen_until;
      h.node = (h.node + 1) % nodes.size();
      h.next_report = now + (hangs ? 5 : 1);
      return;
    }
    WorkerReport r = h.worker->report(now);
    if (hold_late > 0) {
      --hold_late;
      late.push_back(r);
    }
    if (now < copies_until && lucky(copies_share))
      copies.push_back({now + drawn(2, 1.3 * s.lease_s), h.node, r});
    ReportAnswer a = n.core->hear(r, now);
    bool held = now < held_up_until && lucky(held_up_share);
    if (held || now < h.deaf_until) {
      // A worker waits for 4 s, has one report under way, and drops what comes later.
      double at = now < h.deaf_until ? now + 9 : now + drawn(0.5, 6);
      if (at < now + 4) held_answers.push_back({at, name, a});
      h.waits_until = std::min(at, now + 4);
      h.next_report = at < now + 4 ? at + step_s : now + 5;
      if (at >= now + 4) h.node = (h.node + 1) % nodes.size();
      return;
    }
    take_answer(name, h, a);
  }

  void take_answer(const std::string& name, Host& h, const ReportAnswer& a) {
    h.worker->answer(a, now);
    for (const Order& o : a.orders) second().kills += o.verb == OrderVerb::kill ? 1 : 0;
    after_orders(name, h);
    if (a.kind == ReportAnswer::Kind::ok) {
      h.next_report = now + s.report_s * uniform(0.75, 1.25);
    } else if (a.kind == ReportAnswer::Kind::redirect) {
      for (std::size_t k = 0; k < nodes.size(); ++k) {
        if (node_name(k) == a.owner) h.node = k;
      }
      h.next_report = now + uniform(0, 0.5);
    } else {
      h.node = (h.node + 1) % nodes.size();
      h.next_report = now + 1;
    }
  }

  /// Tasks that have just started or stopped on this worker.
  void after_orders(const std::string& name, Host& h) {
    for (const auto& [id, t] : h.worker->tasks()) {
      JobInfo& j = jobs[t.job];
      auto run = j.runs.find(t.task);
      bool mine = run != j.runs.end() && run->second.host == name;
      if (t.phase == TaskPhase::ended) {
        if (mine) stopped(j, t.task, t.saved);
        continue;
      }
      if (mine) continue;
      h.used = true;
      double& fetched =
          h.images.try_emplace(j.image, now + image_gb[j.image] / s.fetch_gb_per_s * uniform(0.8, 1.2))
              .first->second;
      j.runs[t.task] = {name, id, &h, std::max(now, fetched), -1, -1};
    }
  }

  double progress(const JobInfo& j, const Run& r) const {
    if (j.cls == 0) return j.gang_started < 0 ? 0 : now - j.gang_started;
    return r.started < 0 ? 0 : now - r.started;
  }

  /// The task is off its machine; what it had not saved is lost.
  void stopped(JobInfo& j, TaskNo task, bool saved) {
    Run run = j.runs[task];
    j.runs.erase(task);
    double ran = progress(j, run);
    if (ran <= 0) return;
    double before = j.cls == 0 ? j.gang_saved : j.saved[task];
    double kept = saved ? ran : std::floor((before + ran) / save_every_s) * save_every_s - before;
    kept = std::max(0.0, kept);
    result.lost_s += std::max(0.0, ran - kept) * j.gpus;
    if (j.cls != 0) {
      j.saved[task] = before + kept;
      return;
    }
    if (j.gang_lost_at >= 0) return;
    j.gang_saved = before + kept;
    result.lost_s += std::max(0.0, ran - kept) * j.gpus * static_cast<double>(j.runs.size());
    j.gang_started = -1;
    j.gang_lost_at = now;
  }

  void lose_all(const std::string& name, Host& h) {
    for (const auto& [id, t] : h.worker->tasks()) {
      JobInfo& j = jobs[t.job];
      auto run = j.runs.find(t.task);
      if (run != j.runs.end() && run->second.host == name) stopped(j, t.task, false);
    }
  }

  void tick_workers() {
    for (auto& [name, h] : hosts) {
      if (!h.alive || now < h.up_at) continue;
      h.worker->tick(now);
      if (h.worker->tenure() != h.tenure) {
        h.tenure = h.worker->tenure();
        // Its lease was over: everything on it is gone.
        for (auto& [ref, j] : jobs) {
          for (auto it = j.runs.begin(); it != j.runs.end();) {
            TaskNo t = it->first;
            bool here = it->second.host == name;
            ++it;
            if (here) stopped(j, t, false);
          }
        }
      }
      if (now >= h.next_report && now >= h.waits_until && reachable(h)) report(name, h);
    }
  }

  void tick_tasks() {
    for (auto& [ref, j] : jobs) {
      if (j.runs.empty()) {
        j.gang_lost_at = -1;
        continue;
      }
      std::vector<TaskNo> ended, gave_up;
      bool all_ready = j.runs.size() == j.tasks;
      for (auto& [t, r] : j.runs) {
        Host& h = *r.at;
        if (now < h.hung_until) {
          r.started = r.started < 0 ? -1 : r.started + step_s;
          all_ready = false;
          continue;
        }
        const std::string& id = r.id;
        if (now < r.ready_at || !h.worker->has(id)) {
          all_ready = false;
          continue;
        }
        if (j.cls == 1) {
          if (r.started < 0) {
            r.started = now;
            h.worker->set_phase(id, TaskPhase::running);
          }
          if (now - r.started >= begun_after_s) j.note_begun(t, r.started);
          if (now - r.started >= std::max(1.0, j.run_of(t) - j.saved[t])) ended.push_back(t);
          count_gpus(j, 1);
        } else if (j.gang_started < 0 && h.worker->phase(id) == TaskPhase::fetching) {
          h.worker->set_phase(id, TaskPhase::gathering);
          r.gathers_since = now;
        } else if (j.gang_started < 0 && r.gathers_since >= 0 && now - r.gathers_since > s.gang_wait_s) {
          gave_up.push_back(t);
        }
      }
      if (j.cls == 0) tick_gang(j, all_ready, ended);
      for (TaskNo t : ended) finish(j, t, EndCause::done);
      for (TaskNo t : gave_up) {
        if (j.gang_started < 0 && j.runs.count(t) != 0) finish(j, t, EndCause::incomplete);
      }
    }
  }

  void tick_gang(JobInfo& j, bool all_ready, std::vector<TaskNo>& ended) {
    if (j.gang_lost_at >= 0) {
      if (now - j.gang_lost_at < 5) return;
      std::vector<TaskNo> rest;
      for (auto& [t, r] : j.runs) {
        if (r.at->alive && now >= r.at->hung_until && r.at->worker->has(r.id)) rest.push_back(t);
      }
      for (TaskNo t : rest) finish(j, t, EndCause::peers);
      return;
    }
    if (j.gang_started < 0) {
      if (!all_ready) return;
      j.gang_started = now;
      for (auto& [t, r] : j.runs) r.at->worker->set_phase(r.id, TaskPhase::running);
    }
    count_gpus(j, j.runs.size());
    if (now - j.gang_started >= begun_after_s) {
      for (auto& [t, r] : j.runs) j.note_begun(t, j.gang_started);
    }
    bool hangs = std::any_of(j.runs.begin(), j.runs.end(),
                             [&](const auto& r) { return now < r.second.at->hung_until; });
    if (hangs) {
      result.lost_s += std::fmod(j.gang_saved + now - j.gang_started, save_every_s) * j.gpus * j.tasks;
      j.gang_saved = std::floor((j.gang_saved + now - j.gang_started) / save_every_s) * save_every_s;
      j.gang_started = -1;
      j.gang_lost_at = now;
    } else if (now - j.gang_started >= std::max(1.0, j.run_s - j.gang_saved)) {
      for (auto& [t, r] : j.runs) ended.push_back(t);
    }
  }

  void finish(JobInfo& j, TaskNo t, EndCause cause) {
    Host& h = *j.runs.at(t).at;
    h.worker->finish(j.runs.at(t).id, cause);
    h.next_report = std::min(h.next_report, now + 0.3);
    if (cause == EndCause::done) rules.completes(split(j.runs.at(t).id).first, t);
    if (cause == EndCause::done) j.note_begun(t, j.cls == 0 ? j.gang_started : j.runs.at(t).started);
    if (cause == EndCause::done && j.done.insert(t).second) {
      ++result.done[j.cls];
      ++result.of_team[j.team];
    }
    j.runs.erase(t);
    if (j.runs.empty()) {
      j.gang_started = -1;
      j.gang_lost_at = -1;
    }
  }

  void count_gpus(const JobInfo& j, std::size_t tasks) {
    second().gpus += j.gpus * static_cast<double>(tasks) * step_s;
  }

  // --- Faults and rules.

  std::size_t busiest() const {
    std::size_t best = 0, most = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (!nodes[i].core) continue;
      std::size_t n = 0;
      for (std::uint32_t p = 0; p < nodes[i].core->model.parts(); ++p) {
        if (nodes[i].core->scheduler.owns(PartIndex{p}))
          n += 1 + nodes[i].core->model.machines_of(PartIndex{p}).size();
      }
      if (n > most) best = i, most = n;
    }
    return best;
  }

  /// Machines that are up, in an order of this seed's.
  std::vector<std::string> some_hosts(std::uint32_t count) {
    std::vector<std::string> up;
    for (auto& [name, h] : hosts) {
      if (h.alive && now >= h.up_at) up.push_back(name);
    }
    std::shuffle(up.begin(), up.end(), random);
    up.resize(std::min<std::size_t>(up.size(), count));
    return up;
  }

  void die(const std::string& name) {
    Host& h = hosts.at(name);
    lose_all(name, h);
    h.worker->power_off();
    h.alive = false;
    h.died = now;
  }

  void apply(const Fault& f) {
    auto count = f.count != 0 ? f.count : static_cast<std::uint32_t>(f.share * rented);
    switch (f.kind) {
      case FaultKind::all_down:
        for (std::size_t i = 0; i < nodes.size(); ++i)
          down(i, now + f.for_s + f.stagger_s * static_cast<double>(i));
        break;
      case FaultKind::owner_down:
        down(busiest(), now + f.for_s);
        break;
      case FaultKind::owner_cut:
        nodes[busiest()].cut_until = now + f.for_s;
        break;
      case FaultKind::state_outage:
        state.set_outage(true, now);
        outage_until = now + f.for_s;
        break;
      case FaultKind::state_slow:
        writes.set_rate(f.share * s.write_rps, f.share * s.write_rps);
        slow_until = now + f.for_s;
        break;
      case FaultKind::cloud_outage:
        cloud_down_until = now + f.for_s;
        break;
      case FaultKind::machines_die:
        for (const std::string& m : some_hosts(count)) die(m);
        break;
      case FaultKind::machines_hang:
        for (const std::string& m : some_hosts(count)) hosts.at(m).hung_until = now + f.for_s;
        break;
      case FaultKind::zone_cut:
        cut_zone = f.zone;
        cut_until = now + f.for_s;
        break;
      case FaultKind::freeze:
        nodes[busiest()].frozen_until = now + f.for_s;
        break;
      case FaultKind::finish_all:
        for (auto& [ref, j] : jobs) {
          if (j.cls == 0 && j.gang_started < 0) continue;
          std::vector<TaskNo> all;
          for (auto& [t, r] : j.runs) {
            if (r.at->worker->has(r.id)) all.push_back(t);
          }
          for (TaskNo t : all) finish(j, t, EndCause::done);
        }
        break;
      case FaultKind::cancel:
        for (auto& [ref, j] : jobs) {
          if (j.runs.empty() || uniform(0, 1) >= f.share) continue;
          for (User& u : users) {
            if (u.ref == ref && !u.over) u.withdraws_at = u.next = now;
          }
        }
        break;
      case FaultKind::gang_member: {
        std::uint32_t left = f.count;
        for (auto& [ref, j] : jobs) {
          if (left == 0 || j.cls != 0 || j.gang_started < 0 || j.runs.size() < 2) continue;
          std::string victim = j.runs.begin()->second.host;
          if (!hosts.at(victim).alive) continue;
          die(victim);
          --left;
        }
        break;
      }
      case FaultKind::late_copies:
        copies_share = f.share;
        copies_until = now + f.for_s;
        break;
      case FaultKind::late_writes:
        late_write_share = f.share;
        late_writes_until = now + f.for_s;
        break;
      case FaultKind::held_up:
        held_up_share = f.share;
        held_up_until = now + f.for_s;
        break;
      case FaultKind::machines_deaf:
        for (const std::string& m : some_hosts(count)) hosts.at(m).deaf_until = now + f.for_s;
        break;
      case FaultKind::owner_refused:
        nodes[busiest()].refused_until = now + f.for_s;
        break;
      case FaultKind::owner_alone:
        nodes[busiest()].alone_until = now + f.for_s;
        break;
      case FaultKind::state_delay:
        state_delay = f.stagger_s;
        delay_until = now + f.for_s;
        break;
      case FaultKind::late_reports:
        hold_late = count;
        late_at = now + f.for_s;
        break;
    }
  }

  void tick_faults() {
    while (!faults.empty() && faults.front().at_s <= now) {
      apply(faults.front());
      faults.erase(faults.begin());
    }
    if (state.outage() && now >= outage_until) state.set_outage(false, now);
    if (slow_until > 0 && now >= slow_until) {
      slow_until = 0;
      writes.set_rate(s.write_rps, s.write_rps);
    }
    each_due(late_writes, [this](const Late<Json>& w) {
      if (state.outage()) return false;  // later still
      state.txn(w.what);
      return true;
    });
    each_due(copies, [this](const Copy& c) {
      Node& n = nodes[c.node];
      if (acts(n) && n.listed) n.core->hear(c.what, now);
      return true;
    });
    each_due(held_commands, [this](const Held<DirectOrders>& c) {
      auto h = hosts.find(c.host);
      if (reachable(h->second)) command(h, c.what);
      return true;
    });
    each_due(held_answers, [this](const Held<ReportAnswer>& a) {
      Host& h = hosts.at(a.host);
      if (reachable(h)) take_answer(a.host, h, a.what);
      return true;
    });
    if (late_at > 0 && now >= late_at) {
      for (const WorkerReport& r : late) {
        for (Node& n : nodes) {
          // The worker has given these up long ago: whatever is answered does not reach it.
          if (acts(n) && n.listed) n.core->hear(r, now);
        }
      }
      late.clear();
      late_at = 0;
    }
  }

  template <class T>
  struct Late {
    double at;
    T what;
  };
  struct Copy {
    double at;
    std::size_t node;
    WorkerReport what;
  };
  template <class T>
  struct Held {
    double at;
    std::string host;
    T what;
  };
  /// Those whose time has come are done with; those that `fn` puts off stay.
  template <class T, class Fn>
  void each_due(std::vector<T>& all, Fn fn) {
    auto due = std::move(all);
    all.clear();
    for (T& x : due) {
      if (x.at > now || !fn(x)) all.push_back(std::move(x));
    }
  }

  /// When the last trouble is over.
  double troubles_end() const {
    double end = s.warm_s;
    for (const Fault& f : s.faults)
      end = std::max(end, f.at_s + f.for_s + f.stagger_s * static_cast<double>(s.controllers));
    return end;
  }

  Second& second() { return result.seconds.back(); }

  FleetResult play() {
    auto steps = static_cast<std::size_t>(s.length_s / step_s);
    for (std::size_t i = 0; i < steps; ++i) {
      if (i % 10 == 0) {
        result.seconds.push_back({});
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
    result.refusals = rules.refusals;
    return result;
  }

  /// By job, from outside: who was served, and how late the last of their tasks began.
  void count_served() {
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

  void note_squared() {
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

  FleetScenario s;
  Way way;
  std::mt19937_64 random;
  double now = 0;
  static constexpr double wall_ahead = 1e-6;  // known, and as good as none
  std::vector<std::string> zone_names;
  State state;
  RunLog log;
  std::mt19937_64 luck;  // of users and of what goes wrong on the way: the days' jobs do not depend on it
  TokenBucket writes, cloud;
  Rules rules;
  std::vector<User> users;
  std::vector<Late<Json>> late_writes;
  std::vector<Copy> copies;
  std::vector<Held<DirectOrders>> held_commands;
  std::vector<Held<ReportAnswer>> held_answers;
  double late_write_share = 0, late_writes_until = -1, copies_share = 0, copies_until = -1, held_up_share = 0,
         held_up_until = -1, state_delay = 0, delay_until = -1, next_stranger = 0;
  std::vector<Node> nodes;
  std::map<std::string, Host> hosts;
  std::map<std::string, JobInfo> jobs;
  std::deque<Call> calls;
  std::vector<double> returned_at;
  std::vector<Fault> faults;
  std::vector<WorkerReport> late;
  std::uint32_t hold_late = 0, rented = 0, rented_spot = 0;
  std::uint64_t submitted = 0;
  double late_at = 0, outage_until = 0, slow_until = 0, cloud_down_until = -1, cut_until = -1,
         first_fault = 1e9;
  std::string cut_zone;
  FleetResult result;
};

FleetWorld::FleetWorld(const FleetScenario& s, Way way, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(s, way, seed)) {}
FleetWorld::~FleetWorld() = default;
FleetResult FleetWorld::run() {
  return impl_->play();
}

}  // namespace oxbowmill::lab
