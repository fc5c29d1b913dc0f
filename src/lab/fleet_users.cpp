// Users of the fleet's world: what they submit, ask and call off, through any node.
#include "fleet_world_impl.h"

namespace oxbowmill::lab {

void FleetWorld::Impl::submit(std::uint32_t cls) {
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
    spec.tasks = info.tasks = 1 + static_cast<std::uint32_t>(drawn(0, s.few_tasks - 0.001));
    info.spread = 1.5;
  }
  if (cls == 1 && s.bound > 0 && lucky(s.bound)) {
    double kind = drawn(0, 3);
    spec.one_zone = kind < 1;
    if (kind >= 1 && kind < 2) spec.zone = ZoneIndex{static_cast<std::uint32_t>(drawn(0, s.zones - 0.001))};
    spec.scatter = kind >= 2;
  }
  Names n = names();
  spec.image = n.images.find("img-" + std::to_string(info.image));
  User u;
  u.ref = spec.ref;
  u.body = wire::write_submission(spec, n);
  u.next = now;
  if (lucky(s.withdrawn)) u.withdraws_at = now + drawn(1, 1.5 * info.run_s);
  jobs[spec.ref] = info;
  std::string zone = spec.zone.valid() ? zone_names[spec.zone.v] : "";
  rules.submits(
      spec.ref,
      {info.team, info.tasks, info.gpus, spec.one_zone, spec.spot, cls == 0, spec.scatter, zone, {}, true});
  users.push_back(std::move(u));
}

FleetWorld::Impl::User* FleetWorld::Impl::user_of(const std::string& ref) {
  auto u = std::find_if(users.begin(), users.end(), [&ref](const User& x) { return x.ref == ref; });
  return u == users.end() ? nullptr : &*u;
}

Told FleetWorld::Impl::ask(std::size_t k, User& u, Asks what) {
  Node& n = nodes[k];
  if (what == Asks::withdrawal) {
    u.withdrawn = true;
    rules.withdraws(u.ref);
  }
  Told told = Told::nothing;
  if (acts(n) && n.listed && !apart(zone_of(k)))
    told = what == Asks::submission   ? submit(n, u)
           : what == Asks::withdrawal ? withdraw(n, u)
                                      : poll(n, u.ref);
  rules.told(u.ref, told, now);
  if (told == Told::nothing && u.over) {
    u.over = false;  // who got no answer asks again
    u.next = now + 1.5;
  }
  heard(u, told);
  return told;
}

void FleetWorld::Impl::heard(User& u, Told what) const {
  bool final = what == Told::done || what == Told::cancelled;
  bool news = (!u.accepted && (final || what == Told::open)) || (final && !u.final);
  u.accepted = u.accepted || final || what == Told::open;
  u.final = u.final || final;
  if (final) u.withdraws_at = 1e18;
  if (news && now < looks_until) u.looks_until = now + 0.5;
}

void FleetWorld::Impl::look_closely(User& u) {
  if (!u.final && lucky(0.03)) u.withdraws_at = u.next = now;
  bool repeats = lucky(0.3);
  for (std::size_t k = 0; k < nodes.size(); ++k) ask(k, u, repeats ? Asks::submission : Asks::status);
}

void FleetWorld::Impl::send_odd_request() {
  auto k = static_cast<std::size_t>(drawn(0, static_cast<double>(nodes.size()) - 0.01));
  if (!users.empty() && lucky(0.6)) {
    User& u = users[static_cast<std::size_t>(drawn(0, static_cast<double>(users.size()) - 0.01))];
    if (u.accepted) ask(k, u, u.final ? Asks::withdrawal : Asks::submission);
    return;
  }
  User u;
  u.ref = "odd-" + std::to_string(++odd);
  JobSpec spec = test_job(u.ref, 2);
  spec.image = ImageIndex{0};
  u.body = wire::write_submission(spec, names());
  static const std::vector<std::pair<const char*, Json>> wrong = {
      {"accelerators", 5.0}, {"owner", "nobody"},    {"shards", nullptr},  {"shards", 0},
      {"vcpus", "8"},        {"yard", "nowhere"},    {"rigs", {"none"}},   {"bundle", nullptr},
      {"memory_gb", -1.0},   {"rank", "utmost"},     {"loaners", nullptr}, {"flush_s", nullptr},
      {"shape", "ring"},     {"same_place", nullptr}};
  const auto& [field, value] = wrong[odd % wrong.size()];
  u.body[field] = value;
  rules.submits(u.ref, {0, 1, 1, false, true, false, false, "", {}, false});
  ask(k, u, Asks::submission);
}

void FleetWorld::Impl::tick_users() {
  for (auto& u : users) {
    if (now < u.looks_until) look_closely(u);
    if (u.over || now < u.next) continue;
    std::size_t k = std::uniform_int_distribution<std::size_t>(0, nodes.size() - 1)(luck);
    bool withdraws = u.accepted && now >= u.withdraws_at;
    Told what = ask(k, u, !u.accepted ? Asks::submission : withdraws ? Asks::withdrawal : Asks::status);
    u.next = now + (what == Told::nothing ? 1.5 : 5);
    // Some ask again later, through others.
    bool final = what == Told::done || what == Told::cancelled;
    u.over = final && !lucky(0.7);
  }
  if (now < odd_until && now >= next_odd) {
    next_odd = now + 0.4;
    send_odd_request();
  }
  if (now >= next_stranger && !nodes.empty()) {
    // Users also ask about jobs that nobody has submitted.
    next_stranger = now + 10;
    Node& n = nodes[static_cast<std::size_t>(drawn(0, static_cast<double>(nodes.size()) - 0.01))];
    if (acts(n) && n.listed) rules.told("run-0", poll(n, "run-0"), now);
  }
}

service::KeyRead FleetWorld::Impl::read(const Node& n, const std::string& key, Json* value,
                                        std::uint64_t* stamp) const {
  using Kind = service::KeyRead::Kind;
  if (!reaches_state(n) || delay_s() > 1) return {};
  auto it = state.keys().find(key);
  if (it == state.keys().end()) return {Kind::absent, JobPhase::open};
  if (value != nullptr) *value = it->second.value;
  if (stamp != nullptr) *stamp = it->second.stamp;
  auto phase = state::read_phase(it->second.value);
  return phase ? service::KeyRead{Kind::found, *phase} : service::KeyRead{};
}

Told FleetWorld::Impl::follow(Node& n, const std::string& ref, service::Enquiry& e, service::EnquiryStep step,
                              Json* value, std::uint64_t* stamp) const {
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

Told FleetWorld::Impl::tell_user(Node& n, const std::string& ref, JobPhase phase) {
  if (phase != JobPhase::open) n.finals.emplace(ref, phase);
  return phase == JobPhase::open ? Told::open : phase == JobPhase::done ? Told::done : Told::cancelled;
}

Told FleetWorld::Impl::poll(Node& n, const std::string& ref) const {
  service::Enquiry e;
  auto known = n.finals.find(ref);
  return follow(n, ref, e,
                e.poll(known == n.finals.end() ? std::nullopt : std::make_optional(known->second)));
}

std::optional<State::Result> FleetWorld::Impl::user_txn(const Node& n, const Json& body) {
  if (!reaches_state(n) || loses(body)) return std::nullopt;
  auto r = state.txn(body);
  return loses_answer() ? std::nullopt : std::make_optional(r);
}

Told FleetWorld::Impl::submit(Node& n, const User& u) {
  Model& m = n.core->model;
  double first = n.tries.tried(u.body, now + wall_ahead);
  service::Admission a = service::admit(u.body, m.names, m.settings, m.catalog, first);
  service::Enquiry e;
  if (a.rejection) {
    if (a.for_good) return Told::rejected;
    Told what = follow(n, u.ref, e, e.look_up());
    return what == Told::absent ? Told::rejected : what;
  }
  auto r = user_txn(n, service::submission_txn(u.ref, a.record));
  if (!r || r->status == 200) return r ? Told::open : Told::nothing;
  Told what = r->status == 409 ? follow(n, u.ref, e, e.look_up()) : Told::nothing;
  return what == Told::absent ? Told::nothing : what;
}

Told FleetWorld::Impl::withdraw(Node& n, const User& u) {
  service::Enquiry e;
  Json value;
  std::uint64_t stamp = 0;
  Told what = follow(n, u.ref, e, e.look_up(), &value, &stamp);
  if (what != Told::open) return what;
  auto r = user_txn(n, service::withdrawal_txn(u.ref, value, stamp));
  return r && r->status == 200 ? tell_user(n, u.ref, JobPhase::cancelled) : Told::nothing;
}

}  // namespace oxbowmill::lab
