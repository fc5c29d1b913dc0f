// Users of the simulated cluster: submissions, queries and withdrawals through any controller.
#include "cluster_simulation_impl.h"

namespace oxbowmill::simulation {

void ClusterSimulation::Impl::submit(std::uint32_t class_index) {
  JobSpec spec = test_job("run-" + std::to_string(++submitted), 1);
  SimulatedJob info;
  info.class_index = class_index;
  info.team = pick(2);
  info.image = pick(std::size(image_gb));
  info.run_s = (class_index == 0 ? scenario.gang_run_s : scenario.array_run_s) * std::exp(uniform(-0.7, 0.7));
  spec.partition = PartitionIndex{1 + info.team};
  spec.shape = class_index == 0 ? JobShape::gang : JobShape::array;
  spec.priority = class_index == 0 ? Priority::high : Priority::low;
  spec.tasks = class_index == 0 ? 1U << pick(3) : 5 + pick(30);
  spec.task_resources = class_index == 0 ? Resources{28, 4, 110} : Resources{6, 1, 24};
  spec.single_zone = class_index == 0;
  spec.spot = true;
  spec.checkpoint_interval_s = save_every_s;
  spec.flush_s = flush_s;
  spec.estimate_s = info.run_s * std::exp(uniform(-0.4, 0.4));
  spec.image_gb = image_gb[info.image];
  spec.submitted_at = now + wall_ahead;
  info.tasks = spec.tasks;
  info.submitted = now;
  info.gpus = spec.task_resources.gpus;
  if (class_index == 1 && scenario.small_array_fraction > 0 && chance(scenario.small_array_fraction)) {
    spec.tasks = info.tasks = 1 + static_cast<std::uint32_t>(draw(0, scenario.small_array_max_tasks - 0.001));
    info.spread = 1.5;
  }
  if (class_index == 1 && scenario.zone_bound_fraction > 0 && chance(scenario.zone_bound_fraction)) {
    double kind = draw(0, 3);
    spec.single_zone = kind < 1;
    if (kind >= 1 && kind < 2)
      spec.zone = ZoneIndex{static_cast<std::uint32_t>(draw(0, scenario.zones - 0.001))};
    spec.spread_zones = kind >= 2;
  }
  Names n = names();
  spec.image = n.images.find("img-" + std::to_string(info.image));
  User user;
  user.ref = spec.ref;
  user.body = wire::write_submission(spec, n);
  user.next_request_at = now;
  if (chance(scenario.withdrawn_fraction)) user.withdraws_at = now + draw(1, 1.5 * info.run_s);
  jobs[spec.ref] = info;
  std::string zone = spec.zone.valid() ? zone_names[spec.zone.value] : "";
  invariants.on_submit(spec.ref, {info.team,
                                  info.tasks,
                                  info.gpus,
                                  spec.single_zone,
                                  spec.spot,
                                  class_index == 0,
                                  spec.spread_zones,
                                  zone,
                                  {},
                                  true});
  users.push_back(std::move(user));
}

ClusterSimulation::Impl::User* ClusterSimulation::Impl::user_of(const std::string& ref) {
  auto u = std::find_if(users.begin(), users.end(), [&ref](const User& x) { return x.ref == ref; });
  return u == users.end() ? nullptr : &*u;
}

JobAnswer ClusterSimulation::Impl::send_request(std::size_t k, User& user, RequestKind what) {
  ControllerProcess& process = controllers[k];
  if (what == RequestKind::withdrawal) {
    user.withdrawn = true;
    invariants.on_withdraw(user.ref);
  }
  JobAnswer answer = JobAnswer::no_answer;
  if (acts(process) && process.state_loaded && !is_isolated(zone_of(k)))
    answer = what == RequestKind::submission   ? submit(process, user)
             : what == RequestKind::withdrawal ? withdraw(process, user)
                                               : poll(process, user.ref);
  invariants.on_answer(user.ref, answer, now);
  if (answer == JobAnswer::no_answer && user.finished) {
    user.finished = false;  // the user got no answer and asks again
    user.next_request_at = now + 1.5;
  }
  record_answer(user, answer);
  return answer;
}

void ClusterSimulation::Impl::record_answer(User& user, JobAnswer what) const {
  bool final = what == JobAnswer::done || what == JobAnswer::cancelled;
  bool has_update = (!user.accepted && (final || what == JobAnswer::open)) || (final && !user.final);
  user.accepted = user.accepted || final || what == JobAnswer::open;
  user.final = user.final || final;
  if (final) user.withdraws_at = 1e18;
  if (has_update && now < repeated_queries_until) user.queries_until = now + 0.5;
}

void ClusterSimulation::Impl::query_all_controllers(User& user) {
  if (!user.final && chance(0.03)) user.withdraws_at = user.next_request_at = now;
  bool repeats = chance(0.3);
  for (std::size_t k = 0; k < controllers.size(); ++k)
    send_request(k, user, repeats ? RequestKind::submission : RequestKind::status);
}

void ClusterSimulation::Impl::send_invalid_request() {
  auto k = static_cast<std::size_t>(draw(0, static_cast<double>(controllers.size()) - 0.01));
  if (!users.empty() && chance(0.6)) {
    User& u = users[static_cast<std::size_t>(draw(0, static_cast<double>(users.size()) - 0.01))];
    if (u.accepted) send_request(k, u, u.final ? RequestKind::withdrawal : RequestKind::submission);
    return;
  }
  User user;
  user.ref = "odd-" + std::to_string(++invalid_request_count);
  JobSpec spec = test_job(user.ref, 2);
  spec.image = ImageIndex{0};
  user.body = wire::write_submission(spec, names());
  static const std::vector<std::pair<const char*, Json>> wrong = {
      {"accelerators", 5.0}, {"owner", "nobody"},    {"shards", nullptr},  {"shards", 0},
      {"vcpus", "8"},        {"yard", "nowhere"},    {"rigs", {"none"}},   {"bundle", nullptr},
      {"memory_gb", -1.0},   {"rank", "utmost"},     {"loaners", nullptr}, {"flush_s", nullptr},
      {"shape", "ring"},     {"same_place", nullptr}};
  const auto& [field, value] = wrong[invalid_request_count % wrong.size()];
  user.body[field] = value;
  invariants.on_submit(user.ref, {0, 1, 1, false, true, false, false, "", {}, false});
  send_request(k, user, RequestKind::submission);
}

void ClusterSimulation::Impl::tick_users() {
  for (auto& user : users) {
    if (now < user.queries_until) query_all_controllers(user);
    if (user.finished || now < user.next_request_at) continue;
    std::size_t k = std::uniform_int_distribution<std::size_t>(0, controllers.size() - 1)(fault_random);
    bool withdraws = user.accepted && now >= user.withdraws_at;
    JobAnswer what = send_request(k, user,
                                  !user.accepted ? RequestKind::submission
                                  : withdraws    ? RequestKind::withdrawal
                                                 : RequestKind::status);
    user.next_request_at = now + (what == JobAnswer::no_answer ? 1.5 : 5);
    // Some users ask again after the final answer, through other controllers.
    bool final = what == JobAnswer::done || what == JobAnswer::cancelled;
    user.finished = final && !chance(0.7);
  }
  if (now < invalid_requests_until && now >= next_invalid_request) {
    next_invalid_request = now + 0.4;
    send_invalid_request();
  }
  if (now >= next_unknown_job_query && !controllers.empty()) {
    // Users also ask about jobs that nobody has submitted.
    next_unknown_job_query = now + 10;
    ControllerProcess& n =
        controllers[static_cast<std::size_t>(draw(0, static_cast<double>(controllers.size()) - 0.01))];
    if (acts(n) && n.state_loaded) invariants.on_answer("run-0", poll(n, "run-0"), now);
  }
}

service::KeyReadResult ClusterSimulation::Impl::read(const ControllerProcess& process, const std::string& key,
                                                     Json* value, std::uint64_t* revision) const {
  using Kind = service::KeyReadResult::Kind;
  if (!reaches_state(process) || delay_s() > 1) return {};
  auto it = store.keys().find(key);
  if (it == store.keys().end()) return {Kind::absent, JobPhase::open};
  if (value != nullptr) *value = it->second.value;
  if (revision != nullptr) *revision = it->second.revision;
  auto phase = state::read_phase(it->second.value);
  return phase ? service::KeyReadResult{Kind::found, *phase} : service::KeyReadResult{};
}

JobAnswer ClusterSimulation::Impl::run_query(ControllerProcess& process, const std::string& ref,
                                             service::StatusQuery& query, service::QueryStep step,
                                             Json* value, std::uint64_t* revision) const {
  using Step = service::QueryStep;
  if (step == Step::wait_for_replica) {
    // The replica is current once a watch that was opened after the query has been answered.
    bool current = reaches_state(process) && delay_s() == 0 && process.next_sync > now &&
                   process.pending_watches.empty();
    if (current) process.controller->sync(now);
    const Job* j =
        current ? process.controller->cluster_state.live_job(process.controller->cluster_state.find_job(ref))
                : nullptr;
    step = query.on_replica_current(current, j != nullptr ? std::make_optional(j->phase) : std::nullopt);
  }
  while (step == Step::read_live || step == Step::read_final) {
    step = step == Step::read_live
               ? query.on_live_key_read(read(process, state::job_key(ref), value, revision))
               : query.on_final_key_read(read(process, state::final_key(ref)));
  }
  if (step == Step::absent) return JobAnswer::not_found;
  return step == Step::answer ? answer_user(process, ref, query.phase()) : JobAnswer::no_answer;
}

JobAnswer ClusterSimulation::Impl::answer_user(ControllerProcess& process, const std::string& ref,
                                               JobPhase phase) {
  if (phase != JobPhase::open) process.final_phases.emplace(ref, phase);
  return phase == JobPhase::open   ? JobAnswer::open
         : phase == JobPhase::done ? JobAnswer::done
                                   : JobAnswer::cancelled;
}

JobAnswer ClusterSimulation::Impl::poll(ControllerProcess& process, const std::string& ref) const {
  service::StatusQuery e;
  auto known = process.final_phases.find(ref);
  return run_query(
      process, ref, e,
      e.poll(known == process.final_phases.end() ? std::nullopt : std::make_optional(known->second)));
}

std::optional<StateStore::Result> ClusterSimulation::Impl::user_txn(const ControllerProcess& process,
                                                                    const Json& body) {
  if (!reaches_state(process) || delays_write(body)) return std::nullopt;
  auto r = store.txn(body);
  return loses_write_response() ? std::nullopt : std::make_optional(r);
}

JobAnswer ClusterSimulation::Impl::submit(ControllerProcess& process, const User& user) {
  ClusterState& m = process.controller->cluster_state;
  double first = process.first_attempts.record_attempt(user.body, now + wall_ahead);
  service::Admission admission = service::admit(user.body, m.names, m.settings, m.catalog, first);
  service::StatusQuery query;
  if (admission.rejection) {
    if (admission.is_permanent) return JobAnswer::rejected;
    JobAnswer what = run_query(process, user.ref, query, query.look_up());
    return what == JobAnswer::not_found ? JobAnswer::rejected : what;
  }
  auto r = user_txn(process, service::submission_txn(user.ref, admission.record));
  if (!r || r->status == 200) return r ? JobAnswer::open : JobAnswer::no_answer;
  JobAnswer what =
      r->status == 409 ? run_query(process, user.ref, query, query.look_up()) : JobAnswer::no_answer;
  return what == JobAnswer::not_found ? JobAnswer::no_answer : what;
}

JobAnswer ClusterSimulation::Impl::withdraw(ControllerProcess& process, const User& user) {
  service::StatusQuery e;
  Json value;
  std::uint64_t revision = 0;
  JobAnswer what = run_query(process, user.ref, e, e.look_up(), &value, &revision);
  if (what != JobAnswer::open) return what;
  auto r = user_txn(process, service::withdrawal_txn(user.ref, value, revision));
  return r && r->status == 200 ? answer_user(process, user.ref, JobPhase::cancelled) : JobAnswer::no_answer;
}

}  // namespace oxbowmill::simulation
