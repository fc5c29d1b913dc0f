#include "oxbowmill/simulation/agent_simulator.h"

#include <algorithm>
#include <cstdio>

#include "oxbowmill/simulation/agent_wire.h"

namespace oxbowmill::simulation {

using wire::Json;

namespace {

constexpr double tick_s = 0.02, counts_interval_s = 1;
constexpr double report_timeout_s = 4, min_report_interval_s = 0.5, next_controller_delay_s = 1;
constexpr std::size_t machines_per_subnet = 250;
constexpr const char* machine_type_name = "std";

net::Address loopback(std::size_t second, std::size_t third, std::size_t fourth, std::uint16_t port) {
  return {"127." + std::to_string(second) + "." + std::to_string(third) + "." + std::to_string(fourth), port};
}

std::pair<std::string, TaskNumber> split_task_id(const std::string& id) {
  std::size_t slash = id.rfind('/');
  return {id.substr(0, slash), static_cast<TaskNumber>(std::stoul(id.substr(slash + 1)))};
}

}  // namespace

net::Address ScaleAddresses::controller(std::size_t i) const {
  return loopback(63, 0, 1 + i, port);
}
net::Address ScaleAddresses::peer(std::size_t i) const {
  return loopback(62, 0, 1 + i, port);
}
net::Address ScaleAddresses::state() const {
  return loopback(61, 0, 1, port);
}
net::Address ScaleAddresses::cloud() const {
  return loopback(60, 0, 1, port);
}
net::Address ScaleAddresses::worker(std::size_t i) const {
  return loopback(64, i / machines_per_subnet, 1 + i % machines_per_subnet, port);
}

std::string scale_controller_name(std::size_t i) {
  return "node-" + std::to_string(i);
}
std::string scale_zone_name(std::size_t i) {
  return "zone-" + std::to_string(i);
}
std::string scale_machine_name(std::size_t i) {
  char name[24];
  std::snprintf(name, sizeof name, "host-%06zu", i);
  return name;
}
std::size_t scale_machine_number(const std::string& name) {
  return std::stoul(name.substr(name.find('-') + 1));
}

struct AgentSimulator::SimulatedAgent {
  std::size_t number = 0;
  Agent worker;
  std::unique_ptr<net::HttpServer> command_server;
  std::unique_ptr<net::HttpClient> client;
  std::size_t controller = 0, client_controller = 0;
  bool alive = true, report_pending = false;
  double booted_at = 0, created_at = 0, next_report_at = 0, last_report_at = -1e9, disconnected_until = -1,
         fencing_token_published_at = -1e9;
  std::uint64_t agent_epoch = 1;
  std::map<std::string, TaskRun> runs;
  std::map<std::string, double> images;  // by name: when the download ends, in seconds

  SimulatedAgent(std::size_t n, std::string name, std::string zone, RunLog& log)
      : number(n), worker(std::move(name), std::move(zone), log) {}
};

AgentSimulator::AgentSimulator(event_base* base, const ScaleSettings& settings,
                               const ScaleAddresses& addresses, ScaleEventWriter& events,
                               std::function<double()> now)
    : base_(base),
      settings_(settings),
      addresses_(addresses),
      events_(events),
      now_(std::move(now)),
      random_(settings.seed),
      pending_faults_(settings.faults),
      cloud_call_limiter_(settings.cloud_rps, 2 * settings.cloud_rps),
      timer_(base, [this] { tick(); }) {
  started_at_ = expected_tick_ = now_();
  log_.on_change = [this](const std::string& id, const std::string& machine, bool started) {
    ScaleEvent event;
    event.kind = started ? ScaleEventKind::task_starts : ScaleEventKind::task_leaves;
    std::tie(event.job, event.task) = split_task_id(id);
    event.machine = machine;
    events_.write(event);
  };
  next_in_zone_.resize(settings.zones);
  for (std::uint32_t i = 0; i < settings.workers; ++i)
    add_machine(i % settings.zones, started_at_ + uniform(0, settings.report_interval_s));
  cloud_ =
      std::make_unique<net::HttpServer>(base, addresses.cloud(), wire::max_body_size,
                                        [this](net::Request&& request) { serve_cloud(std::move(request)); });
  timer_.schedule(tick_s);
}

AgentSimulator::~AgentSimulator() = default;

std::string AgentSimulator::add_machine(std::size_t zone, double booted_at) {
  // The number determines the zone, because other processes derive the zone from the machine's name.
  std::size_t number = settings_.zones * next_in_zone_[zone]++ + zone;
  auto agent = std::make_unique<SimulatedAgent>(number, scale_machine_name(number),
                                                scale_zone_name(number % settings_.zones), log_);
  agent->worker.lease_s = settings_.lease_s;
  agent->worker.first_phase = TaskPhase::fetching;
  agent->worker.address = net::to_string(addresses_.worker(number));
  agent->booted_at = agent->next_report_at = booted_at;
  agent->created_at = now_();
  agent->controller = number % settings_.controllers;
  std::string name = agent->worker.name();
  machines_[number] = std::move(agent);
  ++alive_machines_;
  return name;
}

void AgentSimulator::power_off(SimulatedAgent& agent) {
  if (!agent.alive) return;
  agent.alive = false;
  --alive_machines_;
  auto runs = agent.runs;
  for (const auto& [id, run] : runs) end_run(agent, id, run, false);
  agent.worker.power_off();
  agent.command_server.reset();
  agent.client.reset();
}

void AgentSimulator::tick() {
  double now = now_();
  counts_.max_lateness_s = std::max(counts_.max_lateness_s, now - expected_tick_);
  while (!pending_faults_.empty()) {
    auto due_fault = std::find_if(pending_faults_.begin(), pending_faults_.end(),
                                  [&](const ScaleFault& fault) { return now >= started_at_ + fault.at_s; });
    if (due_fault == pending_faults_.end()) break;
    ScaleFault fault = *due_fault;
    pending_faults_.erase(due_fault);
    inject_fault(fault, now);
  }
  while (!timed_events_.empty() && timed_events_.top().at <= now) {
    TimedEvent due = timed_events_.top();
    timed_events_.pop();
    on_timed_event(due, now);
  }
  for (const auto& [number, agent] : machines_) tick_machine(*agent, now);
  if (now >= next_counts_at_) write_counts();
  expected_tick_ = now_() + tick_s;
  timer_.schedule(tick_s);
}

void AgentSimulator::tick_machine(SimulatedAgent& agent, double now) {
  if (!agent.alive || now < agent.booted_at) return;
  if (!agent.command_server) {
    agent.command_server = std::make_unique<net::HttpServer>(
        base_, addresses_.worker(agent.number), wire::max_body_size,
        [this, &agent](net::Request&& request) { on_commands(agent, std::move(request)); });
  }
  agent.worker.tick(now);
  if (agent.worker.agent_epoch() != agent.agent_epoch) {  // the lease has expired, which ended all tasks
    agent.agent_epoch = agent.worker.agent_epoch();
    auto runs = agent.runs;
    for (const auto& [id, run] : runs) end_run(agent, id, run, false);
  }
  if (!agent.report_pending && now >= agent.next_report_at && now >= agent.disconnected_until)
    send_report(agent, now);
}

void AgentSimulator::send_report(SimulatedAgent& agent, double now) {
  // The client is replaced here, because its own callback must not destroy it.
  if (!agent.client || agent.client_controller != agent.controller)
    agent.client = std::make_unique<net::HttpClient>(base_, addresses_.controller(agent.controller), 1);
  agent.client_controller = agent.controller;
  std::string body = wire::encode(write_report(agent.worker.report(now)));
  agent.report_pending = true;
  agent.last_report_at = now;
  ++counts_.reports;
  counts_.report_bytes += static_cast<double>(body.size());
  agent.client->send(EVHTTP_REQ_POST, "/hello", std::move(body), report_timeout_s,
                     [this, &agent](const net::Response& response) { on_report_response(agent, response); });
}

void AgentSimulator::on_report_response(SimulatedAgent& agent, const net::Response& response) {
  double now = now_();
  agent.report_pending = false;
  if (!agent.alive) return;
  counts_.answer_bytes += static_cast<double>(response.body.size());
  if (now < agent.disconnected_until) {
    agent.next_report_at = agent.disconnected_until;
    return;
  }
  auto body = wire::decode_map(response.body, wire::large_body_rules);
  if (response.status == 200) {
    agent.next_report_at = now + settings_.report_interval_s * uniform(0.75, 1.25);
    auto answer = body ? read_answer(*body) : std::nullopt;
    if (answer) agent.worker.handle_response(*answer, now);
    sync_tasks(agent);
    return;
  }
  if (response.status == 0) ++counts_.unanswered_reports;
  std::string owner = response.status == 421 && body ? body->value("foreman", "") : "";
  std::size_t next = (agent.controller + 1) % settings_.controllers;
  bool redirected = false;
  for (std::size_t i = 0; i < settings_.controllers; ++i) {
    if (scale_controller_name(i) != owner || i == agent.controller) continue;
    next = i;
    redirected = true;
  }
  agent.controller = next;
  agent.next_report_at = now + (redirected ? uniform(0, min_report_interval_s) : next_controller_delay_s);
}

void AgentSimulator::on_commands(SimulatedAgent& agent, net::Request&& request) {
  double now = now_();
  if (now < agent.disconnected_until) {
    unanswered_commands_.push_back(request.responder);
    return;
  }
  ++counts_.commands;
  counts_.command_bytes += static_cast<double>(request.body.size());
  auto body = wire::decode_map(request.body, wire::large_body_rules);
  auto command = body ? read_direct_commands(*body) : std::nullopt;
  if (!command) return request.responder->reply(400, "");
  std::uint64_t fencing_token = agent.worker.fencing_token();
  bool done = agent.worker.handle_commands(*command);
  bool token_is_new = agent.worker.fencing_token() > fencing_token &&
                      now - agent.fencing_token_published_at >= settings_.lease_s / 2;
  if (token_is_new) agent.fencing_token_published_at = now;
  if (done && (token_is_new || !command->commands.empty())) schedule_report(agent, now);
  if (done) sync_tasks(agent);
  request.responder->reply(done ? 200 : 409, "");
}

void AgentSimulator::schedule_report(SimulatedAgent& agent, double now) {
  agent.next_report_at =
      std::min(agent.next_report_at, std::max(now, agent.last_report_at + min_report_interval_s));
}

void AgentSimulator::sync_tasks(SimulatedAgent& agent) {
  double now = now_();
  auto runs = agent.runs;
  for (const auto& [id, run] : runs) {
    auto task = agent.worker.tasks().find(id);
    bool still_present = task != agent.worker.tasks().end() && task->second.attempt == run.attempt &&
                         task->second.phase != TaskPhase::ended;
    if (still_present) continue;
    end_run(agent, id, run, task != agent.worker.tasks().end() && task->second.checkpoint_saved);
    schedule_report(agent, now);
  }
  for (const auto& [id, task] : agent.worker.tasks()) {
    if (task.phase == TaskPhase::ended || agent.runs.count(id) != 0) continue;
    start_run(agent, id, task);
    schedule_report(agent, now);
  }
}

void AgentSimulator::start_run(SimulatedAgent& agent, const std::string& id, const TaskReport& task) {
  ScaleJob job = scale_job(settings_, task.job);
  double now = now_(),
         fetch_s = job.job_class == nullptr ? 0 : job.job_class->image_gb / settings_.fetch_gb_per_s;
  std::string image = job.job_class == nullptr ? "" : job.job_class->name + std::to_string(job.image);
  double ready_at = agent.images.try_emplace(image, now + fetch_s * uniform(0.8, 1.2)).first->second;
  TaskRun& run = agent.runs[id];
  run.task = task.task;
  run.attempt = task.attempt;
  run.ready_at = std::max(now, ready_at);
  timed_events_.push({run.ready_at, agent.number, id, run.attempt});
  if (job.job_class != nullptr && job.job_class->shape == JobShape::gang) {
    Gang& gang = gangs_[task.job];
    if (gang.attempt != task.attempt) gang = {task.attempt, {}, false, -1};
    gang.members[task.task] = agent.number;
  }
}

void AgentSimulator::end_run(SimulatedAgent& agent, const std::string& id, const TaskRun& run, bool saved) {
  auto [ref, task] = split_task_id(id);
  double now = now_();
  if (saved && run.started_at >= 0) checkpointed_run_s_[id] += now - run.started_at;
  agent.runs.erase(id);
  auto gang = gangs_.find(ref);
  if (gang == gangs_.end() || gang->second.attempt != run.attempt) return;
  gang->second.members.erase(task);
  if (!gang->second.running || gang->second.member_lost_at >= 0) return;
  gang->second.member_lost_at = now;
  for (const auto& [member, machine] : gang->second.members) {
    timed_events_.push(
        {now + settings_.gang_peer_s / 2, machine, ref + "/" + std::to_string(member), run.attempt});
  }
}

void AgentSimulator::on_timed_event(const TimedEvent& event, double now) {
  SimulatedAgent& agent = *machines_.at(event.machine);
  auto found = agent.runs.find(event.task_id);
  if (!agent.alive || found == agent.runs.end() || found->second.attempt != event.attempt) return;
  TaskRun& run = found->second;
  auto gang = gangs_.find(split_task_id(event.task_id).first);
  bool in_gang = gang != gangs_.end() && gang->second.attempt == run.attempt;
  if (run.started_at >= 0) {
    // The timeout of the wait for the other gang members may still fire after the start; it is ignored then.
    bool lost = in_gang && gang->second.member_lost_at >= 0;
    if (lost) finish_task(agent, event.task_id, EndCause::peers_lost);
    if (!lost && now >= run.ends_at) finish_task(agent, event.task_id, EndCause::done);
    return;
  }
  if (run.waiting_for_gang_since < 0) return on_image_ready(agent, event.task_id, run, now);
  if (now - run.waiting_for_gang_since >= settings_.gang_wait_s)
    finish_task(agent, event.task_id, EndCause::gang_incomplete);
}

void AgentSimulator::on_image_ready(SimulatedAgent& agent, const std::string& id, TaskRun& run, double now) {
  if (finished_tasks_.count(id) != 0) return finish_task(agent, id, EndCause::done);
  ScaleJob job = scale_job(settings_, split_task_id(id).first);
  if (job.job_class != nullptr && job.job_class->shape == JobShape::gang)
    return on_gang_member_ready(agent, id, run, now);
  begin_running(agent, id, run, now);
}

void AgentSimulator::begin_running(SimulatedAgent& agent, const std::string& id, TaskRun& run, double now) {
  auto [ref, task] = split_task_id(id);
  ScaleJob job = scale_job(settings_, ref);
  run.started_at = now;
  agent.worker.set_phase(id, TaskPhase::running);
  ScaleEvent event;
  event.kind = ScaleEventKind::task_runs;
  event.job = ref;
  event.task = task;
  event.machine = agent.worker.name();
  events_.write(event);
  schedule_report(agent, now);
  if (job.job_class != nullptr && job.job_class->shape == JobShape::service) return;
  double remaining_s = std::max(1.0, scale_run_time_s(settings_, ref, task) - checkpointed_run_s_[id]);
  run.ends_at = now + remaining_s;
  timed_events_.push({run.ends_at, agent.number, id, run.attempt});
}

void AgentSimulator::on_gang_member_ready(SimulatedAgent& agent, const std::string& id, TaskRun& run,
                                          double now) {
  std::string ref = split_task_id(id).first;
  run.waiting_for_gang_since = now;
  agent.worker.set_phase(id, TaskPhase::gathering);
  timed_events_.push({now + settings_.gang_wait_s, agent.number, id, run.attempt});
  schedule_report(agent, now);
  Gang& gang = gangs_[ref];
  if (gang.members.size() < scale_job(settings_, ref).job_class->tasks) return;
  auto is_ready = [&](const auto& member) {
    auto found = machines_.at(member.second)->runs.find(ref + "/" + std::to_string(member.first));
    return found != machines_.at(member.second)->runs.end() && found->second.waiting_for_gang_since >= 0;
  };
  if (!std::all_of(gang.members.begin(), gang.members.end(), is_ready)) return;
  gang.running = true;
  for (const auto& [task, machine] : gang.members) {
    std::string member = ref + "/" + std::to_string(task);
    begin_running(*machines_.at(machine), member, machines_.at(machine)->runs.at(member), now);
  }
}

void AgentSimulator::finish_task(SimulatedAgent& agent, const std::string& id, EndCause cause) {
  auto [ref, task] = split_task_id(id);
  TaskRun run = agent.runs.at(id);
  agent.runs.erase(id);
  auto gang = gangs_.find(ref);
  if (gang != gangs_.end() && gang->second.attempt == run.attempt) gang->second.members.erase(task);
  if (cause == EndCause::done) {
    finished_tasks_.insert(id);
    ScaleEvent event;
    event.kind = ScaleEventKind::task_completes;
    event.job = ref;
    event.task = task;
    events_.write(event);
  }
  agent.worker.finish(id, cause);
  schedule_report(agent, now_());
}

std::vector<AgentSimulator::SimulatedAgent*> AgentSimulator::choose_machines(std::uint32_t count) {
  // Consecutive machines, as in the failure of a rack.
  std::vector<SimulatedAgent*> alive;
  for (const auto& [number, agent] : machines_) {
    if (agent->alive) alive.push_back(agent.get());
  }
  if (alive.empty()) return alive;
  auto first =
      static_cast<std::ptrdiff_t>(std::uniform_int_distribution<std::size_t>(0, alive.size() - 1)(random_));
  std::rotate(alive.begin(), alive.begin() + first, alive.end());
  alive.resize(std::min<std::size_t>(alive.size(), count));
  return alive;
}

void AgentSimulator::inject_fault(const ScaleFault& fault, double now) {
  bool powers_off =
      fault.kind == ScaleFaultKind::workers_gone || fault.kind == ScaleFaultKind::workers_replaced;
  if (!powers_off && fault.kind != ScaleFaultKind::workers_cut)
    return;  // other faults are injected by other processes
  for (SimulatedAgent* agent : choose_machines(fault.count)) {
    if (powers_off) power_off(*agent);
    if (fault.kind == ScaleFaultKind::workers_replaced)
      add_machine(agent->number % settings_.zones, now + settings_.boot_s);
    if (fault.kind == ScaleFaultKind::workers_cut) agent->disconnected_until = now + fault.duration_s;
  }
}

void AgentSimulator::write_counts() {
  next_counts_at_ = now_() + counts_interval_s;
  events_.counter("reports", counts_.reports);
  events_.counter("report_bytes", counts_.report_bytes);
  events_.counter("answer_bytes", counts_.answer_bytes);
  events_.counter("reports_unanswered", counts_.unanswered_reports);
  events_.counter("commands", counts_.commands);
  events_.counter("command_bytes", counts_.command_bytes);
  events_.counter("workers_late_s", counts_.max_lateness_s);
  events_.counter("machines", static_cast<double>(alive_machines_));
  counts_.max_lateness_s = 0;
  events_.flush();
  if (unanswered_commands_.size() > settings_.workers) unanswered_commands_.clear();
}

Json AgentSimulator::catalog() const {
  Json zones = Json::array();
  for (std::size_t z = 0; z < settings_.zones; ++z) zones.push_back(scale_zone_name(z));
  return {{"rigs",
           {{{"sku", machine_type_name},
             {"vcpus", settings_.machine_resources.cpus},
             {"accelerators", settings_.machine_resources.gpus},
             {"memory_gb", settings_.machine_resources.memory_gb},
             {"cache_gb", 100.0},
             {"fetch_gb_per_s", settings_.fetch_gb_per_s},
             {"rate", 3.0},
             {"low_price", 1.0},
             {"ready_s", std::max(1.0, settings_.boot_s)},
             {"yards", zones}}}}};
}

Json AgentSimulator::scale_out(const Json& body) {
  auto [entry, is_new] = scale_out_responses_.try_emplace(body.at("hire").get<std::string>());
  if (!is_new) return entry->second;
  Json hosts = Json::array();
  auto requested_count = body.at("count").get<std::size_t>();
  std::string zone = body.at("yard").get<std::string>();
  bool spot = body.value("loaners", false);
  for (std::size_t z = 0; z < settings_.zones && !spot; ++z) {
    while (scale_zone_name(z) == zone && hosts.size() < requested_count &&
           alive_machines_ < settings_.workers)
      hosts.push_back(add_machine(z, now_() + settings_.boot_s * uniform(0.6, 1.5)));
  }
  if (hosts.empty()) scale_out_responses_.erase(entry);
  Json answer = {{"hosts", hosts}};
  if (!hosts.empty()) scale_out_responses_[body.at("hire").get<std::string>()] = answer;
  return answer;
}

Json AgentSimulator::list_machines(const std::string& query) const {
  constexpr std::size_t max_hosts = 500;
  std::size_t at = query.find("from=");
  std::string from = at == std::string::npos ? "" : query.substr(at + 5, scale_machine_name(0).size());
  Json hosts = Json::array();
  bool truncated = false;
  auto first = from.empty() ? machines_.begin() : machines_.upper_bound(scale_machine_number(from));
  for (; first != machines_.end(); ++first) {
    const SimulatedAgent& agent = *first->second;
    if (!agent.alive) continue;
    truncated = hosts.size() >= max_hosts;
    if (truncated) break;
    hosts.push_back({{"ref", agent.worker.name()},
                     {"address", agent.worker.address},
                     {"rig", machine_type_name},
                     {"yard", scale_zone_name(agent.number % settings_.zones)},
                     {"loaners", false},
                     {"phase", now_() < agent.booted_at ? "starting" : "running"},
                     {"age_s", now_() - agent.created_at}});
  }
  return {{"hosts", hosts}, {"truncated", truncated}};
}

void AgentSimulator::serve_cloud(net::Request&& request) {
  auto reply = [&request](int status, const Json& body) {
    request.responder->reply(status, wire::encode(body));
  };
  if (!cloud_call_limiter_.take(1, now_())) return reply(429, Json::object());
  if (request.path == "/catalog") return reply(200, catalog());
  if (request.path == "/rentals" && request.method == EVHTTP_REQ_GET)
    return reply(200, list_machines(request.query));
  auto body = wire::decode_map(request.body);
  if (!body) return reply(400, Json::object());
  if (request.path == "/rentals") {
    Json answer = scale_out(*body);
    return answer["hosts"].empty() ? reply(503, {{"error", "no capacity"}}) : reply(200, answer);
  }
  if (request.path != "/rentals/delete") return reply(404, Json::object());
  for (const Json& name : body->at("hosts")) {
    auto found = machines_.find(scale_machine_number(name.get<std::string>()));
    if (found != machines_.end()) power_off(*found->second);
  }
  reply(200, Json::object());
}

}  // namespace oxbowmill::simulation
