#include "oxbowmill/lab/cluster.h"

#include <utility>

namespace oxbowmill::lab {

Settings test_settings(const std::string& node) {
  Settings s;
  s.node = node;
  s.nodes = 2;
  s.teams.resize(3);
  s.teams[1].most = {0, 8, 0};
  return s;
}

Names test_names() {
  Names n;
  for (const char* p : {state::pool_name, "red", "blue"}) n.parts.intern(p);
  for (const char* z : {"a", "b"}) n.zones.intern(z);
  n.types.intern("std");
  n.images.intern("img");
  n.classes.intern("class");
  return n;
}

std::vector<MachineType> test_catalog() {
  MachineType t;
  t.room = {32, 4, 128};
  t.price = 10;
  t.spot_price = 3;
  t.boot_s = 20;
  t.zones = {ZoneIndex{0}, ZoneIndex{1}};
  return {t};
}

JobSpec test_job(const std::string& ref, std::uint32_t tasks, double gpus) {
  JobSpec s;
  s.ref = ref;
  s.job_class = ClassIndex{0};
  s.part = PartIndex{1};
  s.tasks = tasks;
  s.need = {2, gpus, 8};
  s.image = ImageIndex{0};
  s.flush_s = 2;
  s.save_every_s = 10;
  return s;
}

Controller::Controller(std::string n, State& state, Settings settings, Names names,
                       std::vector<MachineType> catalog)
    : name(std::move(n)),
      model(std::move(settings), std::move(names)),
      hold(model.settings),
      scheduler(model, hold),
      fleet(model, scheduler),
      state_(state) {
  model.catalog = std::move(catalog);
  scheduler.check_capacity();
}

void Controller::square(const recovery::Settings& settings) {
  start = std::make_unique<recovery::Start>(model, scheduler, settings);
  scheduler.set_gate(start.get());
  fleet.set_gate(start.get());
}

void Controller::agree(release::Calendar calendar, models::Settings models) {
  accord = std::make_unique<accord::Desk>(model, scheduler, 0.05);
  planner = std::make_unique<release::Planner>(model, *accord, scheduler, 1.0);
  planner->load(std::move(calendar));
  planner->ask = [this](const std::string& ref) {
    auto it = state_.keys().find(state::final_key(ref));
    if (state_.outage()) return planner->on_no_answer(ref);
    planner->on_final(ref, it == state_.keys().end() ? std::nullopt : state::read_phase(it->second.value),
                      asked_at_);
  };
  council_ = accord::Council();
  council_.add(planner.get());
  if (!models.empty()) {
    keeper = std::make_unique<models::Keeper>(model, *accord, scheduler, std::move(models));
    council_.add(keeper.get());
  }
  model.counsel = &council_;
}

ReportAnswer Controller::hear(const WorkerReport& r, double now) {
  if (start && hold.authority(now) == Authority::full) {
    scheduler.notice_takeovers(now);
    start->on_report(r, now);
  }
  return scheduler.on_report(r, {now, now});
}

void Controller::list(double now) {
  for (const auto& [key, e] : state_.keys()) {
    auto change = state::decode(key, &e.value, model);
    if (change) model.apply(*change, e.stamp, now);
  }
  heard_ = state_.events().size();
  sync(now);
}

void Controller::hear_up_to(std::size_t count, std::uint64_t revision, double asked, double now) {
  const auto& events = state_.events();
  for (; heard_ < count; ++heard_) {
    const State::Event& e = events[heard_];
    auto change = state::decode(e.key, e.value ? &*e.value : nullptr, model);
    if (change) model.apply(*change, e.revision, now);
  }
  scheduler.seen_revision(revision);
  hold.watch_answered(asked);
}

bool Controller::claim(PartIndex part, double now) {
  if (hold.id() == 0) {
    hold.opened(state_.open_hold(model.settings.op.hold_life_s, now), now);
  }
  Change c{ClaimKey{part}, ClaimRecord{name, hold.id()}, hold.id()};
  std::string key = state::encode_key(c.key, model);
  Json body = {{"guards", {{{"k", key}, {"stamp", 0}}}},
               {"apply", {{{"put", key}, {"value", state::encode_value(c, model)}, {"grant", hold.id()}}}}};
  bool ok = state_.txn(body).status == 200;
  sync(now);
  return ok;
}

void Controller::claim_all(double now) {
  for (std::uint32_t p = 0; p < model.parts(); ++p) claim(PartIndex{p}, now);
}

void Controller::renew(double now) {
  if (state_.renew(hold.id(), now)) hold.renewed(now);
}

Effects Controller::decide(double now) {
  Effects out;
  asked_at_ = now;
  bool full = hold.authority(now) == Authority::full;
  if (full && planner) planner->pass({now, now}, out);
  if (full && keeper) keeper->pass({now, now}, out);
  scheduler.pass({now, now}, out);
  if (hold.authority(now) != Authority::full) return out;
  if (start) start->pass(now);
  fleet.pass({now, now}, out);
  return out;
}

std::optional<State::Result> Controller::send(const Write& w) {
  Json body = outbox_.keep(w, model).body;
  if (fate == Fate::not_arrived) {
    lost.push_back(body);
    return std::nullopt;
  }
  State::Result r = state_.txn(body);
  if (r.status == 409) ++refused;
  return r;
}

void Controller::answered(const Write& w, Outcome outcome, Stamp revision, double now) {
  if (outcome != Outcome::unknown) sync(now);
  if (!scheduler.on_outcome(w.id, outcome, revision, now)) outbox_.drop(w.id);
}

Outcome outcome_of(const std::optional<State::Result>& r) {
  if (!r) return Outcome::unknown;
  return r->status == 200 ? Outcome::applied : r->status == 409 ? Outcome::refused : Outcome::not_executed;
}

void Controller::pass(double now) {
  Effects out = decide(now);
  if (desk) {
    // Beside the markets the cloud has nothing to give.
    for (const RentOrder& r : out.rents) fleet.on_rented(r.request, true, {}, now);
    std::vector<market::Call> calls;
    desk->pass({now, now}, out, calls);
    for (const market::Call& call : calls)
      desk->on_answer(call, markets_->at(call.market.v).ask(call, model.names, now), {now, now});
  }
  for (const DirectOrders& d : out.direct) direct.push_back(d);
  rents.insert(rents.end(), out.rents.begin(), out.rents.end());
  deletes.insert(deletes.end(), out.deletes.begin(), out.deletes.end());
  for (const Write& w : out.writes) {
    auto r = send(w);
    Stamp revision = r ? r->body.value("ledger_rev", std::uint64_t{0}) : 0;
    answered(w, fate == Fate::answer_lost ? Outcome::unknown : outcome_of(r), revision, now);
  }
}

void Controller::trade(const market::Settings& settings, std::vector<Market>& markets) {
  markets_ = &markets;
  for (const market::MarketSettings& m : settings.markets) model.names.markets.intern(m.name);
  desk = std::make_unique<market::Desk>(model, scheduler, settings);
  market::connect(*desk, fleet);
}

Cluster::Cluster(int controllers) {
  for (int i = 0; i < controllers; ++i) {
    std::string name = "node-" + std::to_string(i);
    nodes_.push_back(std::make_unique<Controller>(name, state, test_settings(name)));
  }
  nodes_[0]->claim_all(now);
  for (auto& n : nodes_) n->sync(now);
}

void Cluster::add_machine(const std::string& name, const std::string& zone, const std::string& part,
                          bool spot) {
  Json value = {{"part", part}, {"type", "std"}, {"zone", zone}, {"spot", spot}, {"del", false}};
  state.txn({{"guards", Json::array()}, {"apply", {{{"put", "o/m/" + name}, {"value", value}}}}});
  workers_[name] = std::make_unique<Worker>(name, zone, log, spot);
}

void Cluster::add_stranger(const std::string& name, const std::string& zone) {
  workers_[name] = std::make_unique<Worker>(name, zone, log);
}

void Cluster::add_market(const lab::Character& c) {
  MarketIndex index{static_cast<std::uint32_t>(markets.size())};
  trading.markets.push_back({c.name, index, "127.0.0.1:1", 50});
  markets.emplace_back(c, 7, std::vector<std::string>{"std"}, std::vector<std::string>{"a", "b"});
  for (auto& n : nodes_) n->trade(trading, markets);
}

void Cluster::submit(JobSpec spec) {
  spec.submitted_at = now;
  Json value = state::job_value(spec, JobPhase::open, nodes_[0]->model.names);
  state.txn({{"guards", Json::array()}, {"apply", {{{"put", state::job_key(spec.ref)}, {"value", value}}}}});
}

int Cluster::withdraw(const std::string& ref) {
  std::string key = state::job_key(ref);
  auto it = state.keys().find(key);
  if (it == state.keys().end()) return 404;
  Json value = state::with_phase(it->second.value, JobPhase::cancelled);
  return state
      .txn({{"guards", {{{"k", key}, {"stamp", it->second.stamp}}}},
            {"apply", {{{"put", key}, {"value", value}}}}})
      .status;
}

ReportAnswer Cluster::exchange(const std::string& name, std::size_t n, bool lost) {
  Worker& w = worker(name);
  ReportAnswer a = nodes_[n]->hear(w.report(now), now);
  if (!lost) w.answer(a, now);
  return a;
}

void Cluster::run(double seconds, std::size_t n) {
  double end = now + seconds;
  Controller& c = *nodes_[n];
  while (now < end) {
    now += 0.5;
    state.expire(now);
    if (!state.outage()) {
      c.renew(now);
      c.sync(now);
    }
    c.pass(now);
    for (Market& m : markets) {
      m.tick(now);
      for (const auto& [name, h] : m.hosts()) {
        if (h.alive && workers_.count(name) == 0) {
          workers_[name] = std::make_unique<Worker>(name, h.zone, log);
        } else if (!h.alive && workers_.count(name) != 0) {
          workers_[name]->power_off();
          silenced.insert(name);
        }
      }
    }
    for (auto& [name, w] : workers_) {
      if (silenced.count(name) != 0) {
        w->tick(now);
      } else {
        exchange(name, n);
      }
    }
    while (!c.direct.empty()) {
      DirectOrders d = std::move(c.direct.front());
      c.direct.pop_front();
      const std::string& to = c.model.names.machines.name(d.machine);
      auto w = workers_.find(to);
      if (w != workers_.end() && silenced.count(to) == 0) w->second->command(d);
    }
  }
}

void Cluster::kill_node(std::size_t n) {
  state.end_hold(nodes_[n]->hold.id());
}

void Cluster::hand_over(std::size_t from, std::size_t to, double after_s) {
  kill_node(from);
  node(from).hold.lost();
  now += after_s;
  node(to).sync(now);
  node(to).hold.lost();
  node(to).claim_all(now);
}

std::uint64_t Cluster::register_node(std::size_t n) {
  std::uint64_t hold = state.open_hold(1e6, now);
  Change change{NodeKey{nodes_[n]->name}, ClaimRecord{nodes_[n]->name, hold}, hold};
  Model& model = nodes_[n]->model;
  state.txn({{"guards", Json::array()},
             {"apply",
              {{{"put", state::encode_key(change.key, model)},
                {"value", state::encode_value(change, model)},
                {"grant", hold}}}}});
  return hold;
}

std::string Cluster::phase(const std::string& ref) const {
  for (const std::string& key : {state::job_key(ref), state::final_key(ref)}) {
    auto it = state.keys().find(key);
    if (it != state.keys().end()) return it->second.value.at("p").get<std::string>();
  }
  return "none";
}

std::vector<std::string> Cluster::placed(const std::string& ref, TaskNo task) const {
  std::vector<std::string> out;
  auto it = state.keys().find("o/c/" + ref + "/" + std::to_string(task / chunk_tasks));
  if (it == state.keys().end()) return out;
  for (const Json& t : it->second.value.at("a")) {
    if (t[0].get<TaskNo>() == task) out.push_back(t[1].get<std::string>());
  }
  return out;
}

}  // namespace oxbowmill::lab
