// Users of the simulated cluster: submissions, queries and withdrawals through any controller.
#include "cluster_simulation_impl.h"

namespace oxbowmill::simulation {

void ClusterSimulation::Impl::submit(std::uint32_t class_index) {
  JobSpec spec = test_job("run-" + std::to_string(++submitted_jobs), 1);
  SimulatedJob job;
  job.class_index = class_index;
  job.team = pick(2);
  job.image = pick(std::size(image_gb));
  job.base_run_time_s =
      (class_index == 0 ? scenario.gang_run_s : scenario.array_run_s) * std::exp(uniform(-0.7, 0.7));
  spec.partition = PartitionIndex{1 + job.team};
  spec.shape = class_index == 0 ? JobShape::gang : JobShape::array;
  spec.priority = class_index == 0 ? Priority::high : Priority::low;
  spec.tasks = class_index == 0 ? 1U << pick(3) : 5 + pick(30);
  spec.task_resources = class_index == 0 ? Resources{28, 4, 110} : Resources{6, 1, 24};
  spec.single_zone = class_index == 0;
  spec.spot = true;
  spec.checkpoint_interval_s = checkpoint_interval_s;
  spec.flush_s = flush_s;
  spec.estimate_s = job.base_run_time_s * std::exp(uniform(-0.4, 0.4));
  spec.image_gb = image_gb[job.image];
  spec.submitted_at = now + wall_clock_offset_s;
  job.tasks = spec.tasks;
  job.submitted_at = now;
  job.gpus = spec.task_resources.gpus;
  if (class_index == 1 && scenario.small_array_fraction > 0 && chance(scenario.small_array_fraction)) {
    spec.tasks = job.tasks = 1 + static_cast<std::uint32_t>(draw(0, scenario.small_array_max_tasks - 0.001));
    job.run_time_increase = 1.5;
  }
  if (class_index == 1 && scenario.zone_bound_fraction > 0 && chance(scenario.zone_bound_fraction)) {
    double kind = draw(0, 3);
    spec.single_zone = kind < 1;
    if (kind >= 1 && kind < 2)
      spec.zone = ZoneIndex{static_cast<std::uint32_t>(draw(0, scenario.zones - 0.001))};
    spec.spread_zones = kind >= 2;
  }
  Names known_names = names();
  spec.image = known_names.images.find("img-" + std::to_string(job.image));
  User user;
  user.ref = spec.ref;
  user.body = wire::write_submission(spec, known_names);
  user.next_request_at = now;
  if (chance(scenario.withdrawn_fraction)) user.withdraw_at = now + draw(1, 1.5 * job.base_run_time_s);
  jobs[spec.ref] = job;
  std::string zone = spec.zone.valid() ? zone_names[spec.zone.value] : "";
  invariants.on_submit(spec.ref, {job.team,
                                  job.tasks,
                                  job.gpus,
                                  spec.single_zone,
                                  spec.spot,
                                  class_index == 0,
                                  spec.spread_zones,
                                  zone,
                                  {},
                                  true});
  users.push_back(std::move(user));
}

ClusterSimulation::Impl::User* ClusterSimulation::Impl::find_user(const std::string& ref) {
  auto user = std::find_if(users.begin(), users.end(), [&ref](const User& x) { return x.ref == ref; });
  return user == users.end() ? nullptr : &*user;
}

JobAnswer ClusterSimulation::Impl::send_request(std::size_t k, User& user, RequestKind kind) {
  ControllerProcess& process = controllers[k];
  if (kind == RequestKind::withdrawal) {
    user.withdrawn = true;
    invariants.on_withdraw(user.ref);
  }
  JobAnswer answer = JobAnswer::no_answer;
  if (is_running(process) && process.state_loaded && !is_isolated(zone_of(k)))
    answer = kind == RequestKind::submission   ? submit(process, user)
             : kind == RequestKind::withdrawal ? withdraw(process, user)
                                               : poll(process, user.ref);
  invariants.on_answer(user.ref, answer, now);
  if (answer == JobAnswer::no_answer && user.finished) {
    user.finished = false;  // the user got no answer and asks again
    user.next_request_at = now + 1.5;
  }
  record_answer(user, answer);
  return answer;
}

void ClusterSimulation::Impl::record_answer(User& user, JobAnswer answer) const {
  bool is_final = answer == JobAnswer::done || answer == JobAnswer::cancelled;
  bool has_update =
      (!user.accepted && (is_final || answer == JobAnswer::open)) || (is_final && !user.has_final_answer);
  user.accepted = user.accepted || is_final || answer == JobAnswer::open;
  user.has_final_answer = user.has_final_answer || is_final;
  if (is_final) user.withdraw_at = 1e18;
  if (has_update && now < repeated_queries_until) user.query_until = now + 0.5;
}

void ClusterSimulation::Impl::query_all_controllers(User& user) {
  if (!user.has_final_answer && chance(0.03)) user.withdraw_at = user.next_request_at = now;
  bool repeats_submission = chance(0.3);
  for (std::size_t k = 0; k < controllers.size(); ++k)
    send_request(k, user, repeats_submission ? RequestKind::submission : RequestKind::status);
}

void ClusterSimulation::Impl::send_invalid_request() {
  auto k = static_cast<std::size_t>(draw(0, static_cast<double>(controllers.size()) - 0.01));
  if (!users.empty() && chance(0.6)) {
    User& submitter = users[static_cast<std::size_t>(draw(0, static_cast<double>(users.size()) - 0.01))];
    if (submitter.accepted)
      send_request(k, submitter,
                   submitter.has_final_answer ? RequestKind::withdrawal : RequestKind::submission);
    return;
  }
  User user;
  user.ref = "odd-" + std::to_string(++invalid_request_count);
  JobSpec spec = test_job(user.ref, 2);
  spec.image = ImageIndex{0};
  user.body = wire::write_submission(spec, names());
  static const std::vector<std::pair<const char*, Json>> invalid_fields = {
      {"accelerators", 5.0}, {"owner", "nobody"},    {"shards", nullptr},  {"shards", 0},
      {"vcpus", "8"},        {"yard", "nowhere"},    {"rigs", {"none"}},   {"bundle", nullptr},
      {"memory_gb", -1.0},   {"rank", "utmost"},     {"loaners", nullptr}, {"flush_s", nullptr},
      {"shape", "ring"},     {"same_place", nullptr}};
  const auto& [field, value] = invalid_fields[invalid_request_count % invalid_fields.size()];
  user.body[field] = value;
  invariants.on_submit(user.ref, {0, 1, 1, false, true, false, false, "", {}, false});
  send_request(k, user, RequestKind::submission);
}

void ClusterSimulation::Impl::tick_users() {
  for (auto& user : users) {
    if (now < user.query_until) query_all_controllers(user);
    if (user.finished || now < user.next_request_at) continue;
    std::size_t k = std::uniform_int_distribution<std::size_t>(0, controllers.size() - 1)(fault_random);
    bool withdraws_now = user.accepted && now >= user.withdraw_at;
    JobAnswer answer = send_request(k, user,
                                    !user.accepted  ? RequestKind::submission
                                    : withdraws_now ? RequestKind::withdrawal
                                                    : RequestKind::status);
    user.next_request_at = now + (answer == JobAnswer::no_answer ? 1.5 : 5);
    // Some users ask again after the final answer, through other controllers.
    bool is_final = answer == JobAnswer::done || answer == JobAnswer::cancelled;
    user.finished = is_final && !chance(0.7);
  }
  if (now < invalid_requests_until && now >= next_invalid_request_at) {
    next_invalid_request_at = now + 0.4;
    send_invalid_request();
  }
  if (now >= next_unknown_job_query_at && !controllers.empty()) {
    // Users also ask about jobs that nobody has submitted.
    next_unknown_job_query_at = now + 10;
    ControllerProcess& process =
        controllers[static_cast<std::size_t>(draw(0, static_cast<double>(controllers.size()) - 0.01))];
    if (is_running(process) && process.state_loaded)
      invariants.on_answer("run-0", poll(process, "run-0"), now);
  }
}

service::KeyReadResult ClusterSimulation::Impl::read(const ControllerProcess& process, const std::string& key,
                                                     Json* value, std::uint64_t* revision) const {
  using Kind = service::KeyReadResult::Kind;
  if (!reaches_state(process) || state_response_delay_s() > 1) return {};
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
    bool current = reaches_state(process) && state_response_delay_s() == 0 && process.next_watch_at > now &&
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
  if (phase != JobPhase::open) process.known_final_phases.emplace(ref, phase);
  return phase == JobPhase::open   ? JobAnswer::open
         : phase == JobPhase::done ? JobAnswer::done
                                   : JobAnswer::cancelled;
}

JobAnswer ClusterSimulation::Impl::poll(ControllerProcess& process, const std::string& ref) const {
  service::StatusQuery query;
  auto known = process.known_final_phases.find(ref);
  return run_query(process, ref, query,
                   query.poll(known == process.known_final_phases.end() ? std::nullopt
                                                                        : std::make_optional(known->second)));
}

std::optional<StateStore::Result> ClusterSimulation::Impl::user_txn(const ControllerProcess& process,
                                                                    const Json& body) {
  if (!reaches_state(process) || delays_write(body)) return std::nullopt;
  auto r = store.txn(body);
  return loses_write_response() ? std::nullopt : std::make_optional(r);
}

JobAnswer ClusterSimulation::Impl::submit(ControllerProcess& process, const User& user) {
  ClusterState& state = process.controller->cluster_state;
  double first_attempt_at = process.first_attempts.record_attempt(user.body, now + wall_clock_offset_s);
  service::Admission admission =
      service::admit(user.body, state.names, state.settings, state.catalog, first_attempt_at);
  service::StatusQuery query;
  if (admission.rejection) {
    if (admission.is_permanent) return JobAnswer::rejected;
    JobAnswer answer = run_query(process, user.ref, query, query.look_up());
    return answer == JobAnswer::not_found ? JobAnswer::rejected : answer;
  }
  auto result = user_txn(process, service::submission_txn(user.ref, admission.record));
  if (!result || result->status == 200) return result ? JobAnswer::open : JobAnswer::no_answer;
  JobAnswer answer =
      result->status == 409 ? run_query(process, user.ref, query, query.look_up()) : JobAnswer::no_answer;
  return answer == JobAnswer::not_found ? JobAnswer::no_answer : answer;
}

JobAnswer ClusterSimulation::Impl::withdraw(ControllerProcess& process, const User& user) {
  service::StatusQuery query;
  Json value;
  std::uint64_t revision = 0;
  JobAnswer answer = run_query(process, user.ref, query, query.look_up(), &value, &revision);
  if (answer != JobAnswer::open) return answer;
  auto result = user_txn(process, service::withdrawal_txn(user.ref, value, revision));
  return result && result->status == 200 ? answer_user(process, user.ref, JobPhase::cancelled)
                                         : JobAnswer::no_answer;
}

}  // namespace oxbowmill::simulation
