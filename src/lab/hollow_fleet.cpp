#include "oxbowmill/lab/hollow_fleet.h"

#include <algorithm>
#include <cstdio>

#include "oxbowmill/lab/worker_wire.h"

namespace oxbowmill::lab {

using wire::Json;

namespace {

constexpr double tick_s = 0.02, tells_every_s = 1;
constexpr double report_timeout_s = 4, least_between_reports_s = 0.5, next_node_after_s = 1;
constexpr std::size_t hosts_a_block = 250;
constexpr const char* type_name = "std";

net::Address loopback(std::size_t second, std::size_t third, std::size_t fourth, std::uint16_t port) {
  return {"127." + std::to_string(second) + "." + std::to_string(third) + "." + std::to_string(fourth), port};
}

std::pair<std::string, TaskNo> split_id(const std::string& id) {
  std::size_t slash = id.rfind('/');
  return {id.substr(0, slash), static_cast<TaskNo>(std::stoul(id.substr(slash + 1)))};
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
  return loopback(64, i / hosts_a_block, 1 + i % hosts_a_block, port);
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

struct HollowFleet::Hollow {
  std::size_t number = 0;
  Worker worker;
  std::unique_ptr<net::HttpServer> commands;
  std::unique_ptr<net::HttpClient> client;
  std::size_t controller = 0, connected_to = 0;
  bool alive = true, reporting = false;
  double up_at = 0, born = 0, next_report = 0, last_report = -1e9, cut_until = -1, token_told_at = -1e9;
  std::uint64_t tenure = 1;
  std::map<std::string, Run> runs;
  std::map<std::string, double> images;  // and when each is there

  Hollow(std::size_t n, std::string name, std::string zone, RunLog& log)
      : number(n), worker(std::move(name), std::move(zone), log) {}
};

HollowFleet::HollowFleet(event_base* base, const ScaleSettings& settings, const ScaleAddresses& addresses,
                         ScaleEventWriter& events, std::function<double()> now)
    : base_(base),
      settings_(settings),
      addresses_(addresses),
      events_(events),
      now_(std::move(now)),
      random_(settings.seed),
      faults_(settings.faults),
      cloud_calls_(settings.cloud_rps, 2 * settings.cloud_rps),
      timer_(base, [this] { tick(); }) {
  began_ = expected_tick_ = now_();
  log_.watcher = [this](const std::string& id, const std::string& machine, bool on) {
    ScaleEvent event;
    event.kind = on ? ScaleEventKind::task_starts : ScaleEventKind::task_leaves;
    std::tie(event.job, event.task) = split_id(id);
    event.machine = machine;
    events_.write(event);
  };
  next_in_zone_.resize(settings.zones);
  for (std::uint32_t i = 0; i < settings.workers; ++i)
    add_machine(i % settings.zones, began_ + uniform(0, settings.report_s));
  cloud_ = std::make_unique<net::HttpServer>(base, addresses.cloud(), wire::most_body,
                                             [this](net::Request&& r) { serve_cloud(std::move(r)); });
  timer_.after(tick_s);
}

HollowFleet::~HollowFleet() = default;

std::string HollowFleet::add_machine(std::size_t zone, double up_at) {
  // A machine's number tells its zone, to whoever knows only its name.
  std::size_t number = settings_.zones * next_in_zone_[zone]++ + zone;
  auto hollow = std::make_unique<Hollow>(number, scale_machine_name(number),
                                         scale_zone_name(number % settings_.zones), log_);
  hollow->worker.lease_s = settings_.lease_s;
  hollow->worker.first_phase = TaskPhase::fetching;
  hollow->worker.address = net::to_string(addresses_.worker(number));
  hollow->up_at = hollow->next_report = up_at;
  hollow->born = now_();
  hollow->controller = number % settings_.controllers;
  std::string name = hollow->worker.name();
  machines_[number] = std::move(hollow);
  ++alive_;
  return name;
}

void HollowFleet::power_off(Hollow& hollow) {
  if (!hollow.alive) return;
  hollow.alive = false;
  --alive_;
  auto runs = hollow.runs;
  for (const auto& [id, run] : runs) end_run(hollow, id, run, false);
  hollow.worker.power_off();
  hollow.commands.reset();
  hollow.client.reset();
}

void HollowFleet::tick() {
  double now = now_();
  counts_.late_s = std::max(counts_.late_s, now - expected_tick_);
  while (!faults_.empty()) {
    auto due = std::find_if(faults_.begin(), faults_.end(),
                            [&](const ScaleFault& fault) { return now >= began_ + fault.at_s; });
    if (due == faults_.end()) break;
    ScaleFault fault = *due;
    faults_.erase(due);
    apply(fault, now);
  }
  while (!due_.empty() && due_.top().at <= now) {
    Due due = due_.top();
    due_.pop();
    on_due(due, now);
  }
  for (const auto& [number, hollow] : machines_) tick_machine(*hollow, now);
  if (now >= next_told_) tell_counts();
  expected_tick_ = now_() + tick_s;
  timer_.after(tick_s);
}

void HollowFleet::tick_machine(Hollow& hollow, double now) {
  if (!hollow.alive || now < hollow.up_at) return;
  if (!hollow.commands) {
    hollow.commands = std::make_unique<net::HttpServer>(
        base_, addresses_.worker(hollow.number), wire::most_body,
        [this, &hollow](net::Request&& r) { on_command(hollow, std::move(r)); });
  }
  hollow.worker.tick(now);
  if (hollow.worker.tenure() != hollow.tenure) {  // its lease was over
    hollow.tenure = hollow.worker.tenure();
    auto runs = hollow.runs;
    for (const auto& [id, run] : runs) end_run(hollow, id, run, false);
  }
  if (!hollow.reporting && now >= hollow.next_report && now >= hollow.cut_until) send_report(hollow, now);
}

void HollowFleet::send_report(Hollow& hollow, double now) {
  // A client is replaced here and not where it answers: its own callback may not destroy it.
  if (!hollow.client || hollow.connected_to != hollow.controller)
    hollow.client = std::make_unique<net::HttpClient>(base_, addresses_.controller(hollow.controller), 1);
  hollow.connected_to = hollow.controller;
  std::string body = wire::encode(write_report(hollow.worker.report(now)));
  hollow.reporting = true;
  hollow.last_report = now;
  ++counts_.reports;
  counts_.report_bytes += static_cast<double>(body.size());
  hollow.client->send(EVHTTP_REQ_POST, "/hello", std::move(body), report_timeout_s,
                      [this, &hollow](const net::Response& response) { on_answer(hollow, response); });
}

void HollowFleet::on_answer(Hollow& hollow, const net::Response& response) {
  double now = now_();
  hollow.reporting = false;
  if (!hollow.alive) return;
  counts_.answer_bytes += static_cast<double>(response.body.size());
  if (now < hollow.cut_until) {
    hollow.next_report = hollow.cut_until;
    return;
  }
  Json body = Json::from_cbor(response.body, true, false);
  if (response.status == 200) {
    hollow.next_report = now + settings_.report_s * uniform(0.75, 1.25);
    if (auto answer = read_answer(body)) hollow.worker.answer(*answer, now);
    take_in_tasks(hollow);
    return;
  }
  if (response.status == 0) ++counts_.unanswered;
  std::string foreman = response.status == 421 && body.is_object() ? body.value("foreman", "") : "";
  std::size_t next = (hollow.controller + 1) % settings_.controllers;
  bool named = false;
  for (std::size_t i = 0; i < settings_.controllers; ++i) {
    if (scale_controller_name(i) != foreman || i == hollow.controller) continue;
    next = i;
    named = true;
  }
  hollow.controller = next;
  hollow.next_report = now + (named ? uniform(0, least_between_reports_s) : next_node_after_s);
}

void HollowFleet::on_command(Hollow& hollow, net::Request&& request) {
  double now = now_();
  if (now < hollow.cut_until) {
    held_.push_back(request.responder);
    return;
  }
  ++counts_.commands;
  counts_.command_bytes += static_cast<double>(request.body.size());
  Json body = Json::from_cbor(request.body, true, false);
  auto command = body.is_object() ? read_command(body) : std::nullopt;
  if (!command) return request.responder->reply(400, "");
  std::uint64_t token = hollow.worker.token();
  bool done = hollow.worker.command(*command);
  bool token_is_news = hollow.worker.token() > token && now - hollow.token_told_at >= settings_.lease_s / 2;
  if (token_is_news) hollow.token_told_at = now;
  if (done && (token_is_news || !command->orders.empty())) wake_for(hollow, now);
  if (done) take_in_tasks(hollow);
  request.responder->reply(done ? 200 : 409, "");
}

void HollowFleet::wake_for(Hollow& hollow, double now) {
  hollow.next_report =
      std::min(hollow.next_report, std::max(now, hollow.last_report + least_between_reports_s));
}

void HollowFleet::take_in_tasks(Hollow& hollow) {
  double now = now_();
  auto runs = hollow.runs;
  for (const auto& [id, run] : runs) {
    auto task = hollow.worker.tasks().find(id);
    bool there = task != hollow.worker.tasks().end() && task->second.attempt == run.attempt &&
                 task->second.phase != TaskPhase::ended;
    if (there) continue;
    end_run(hollow, id, run, task != hollow.worker.tasks().end() && task->second.saved);
    wake_for(hollow, now);
  }
  for (const auto& [id, task] : hollow.worker.tasks()) {
    if (task.phase == TaskPhase::ended || hollow.runs.count(id) != 0) continue;
    start_run(hollow, id, task);
    wake_for(hollow, now);
  }
}

void HollowFleet::start_run(Hollow& hollow, const std::string& id, const TaskReport& task) {
  ScaleJob job = scale_job(settings_, task.job);
  double now = now_(), fetch_s = job.kind == nullptr ? 0 : job.kind->image_gb / settings_.fetch_gb_per_s;
  std::string image = job.kind == nullptr ? "" : job.kind->name + std::to_string(job.image);
  double ready_at = hollow.images.try_emplace(image, now + fetch_s * uniform(0.8, 1.2)).first->second;
  Run& run = hollow.runs[id];
  run.task = task.task;
  run.attempt = task.attempt;
  run.ready_at = std::max(now, ready_at);
  due_.push({run.ready_at, hollow.number, id, run.attempt});
  if (job.kind != nullptr && job.kind->shape == Shape::gang) {
    Gang& gang = gangs_[task.job];
    if (gang.attempt != task.attempt) gang = {task.attempt, {}, false, -1};
    gang.members[task.task] = hollow.number;
  }
}

void HollowFleet::end_run(Hollow& hollow, const std::string& id, const Run& run, bool saved) {
  auto [ref, task] = split_id(id);
  double now = now_();
  if (saved && run.started >= 0) saved_s_[id] += now - run.started;
  hollow.runs.erase(id);
  auto gang = gangs_.find(ref);
  if (gang == gangs_.end() || gang->second.attempt != run.attempt) return;
  gang->second.members.erase(task);
  if (!gang->second.running || gang->second.lost_at >= 0) return;
  gang->second.lost_at = now;
  for (const auto& [member, machine] : gang->second.members) {
    due_.push({now + settings_.gang_peer_s / 2, machine, ref + "/" + std::to_string(member), run.attempt});
  }
}

void HollowFleet::on_due(const Due& due, double now) {
  Hollow& hollow = *machines_.at(due.machine);
  auto found = hollow.runs.find(due.id);
  if (!hollow.alive || found == hollow.runs.end() || found->second.attempt != due.attempt) return;
  Run& run = found->second;
  auto gang = gangs_.find(split_id(due.id).first);
  bool in_gang = gang != gangs_.end() && gang->second.attempt == run.attempt;
  if (run.started >= 0) {
    // Its wait for the other members may end while it runs: that is over.
    bool lost = in_gang && gang->second.lost_at >= 0;
    if (lost) finish(hollow, due.id, EndCause::peers);
    if (!lost && now >= run.ends_at) finish(hollow, due.id, EndCause::done);
    return;
  }
  if (run.gathers_since < 0) return image_is_there(hollow, due.id, run, now);
  if (now - run.gathers_since >= settings_.gang_wait_s) finish(hollow, due.id, EndCause::incomplete);
}

void HollowFleet::image_is_there(Hollow& hollow, const std::string& id, Run& run, double now) {
  if (done_.count(id) != 0) return finish(hollow, id, EndCause::done);
  ScaleJob job = scale_job(settings_, split_id(id).first);
  if (job.kind != nullptr && job.kind->shape == Shape::gang) return member_is_ready(hollow, id, run, now);
  begin_running(hollow, id, run, now);
}

void HollowFleet::begin_running(Hollow& hollow, const std::string& id, Run& run, double now) {
  auto [ref, task] = split_id(id);
  ScaleJob job = scale_job(settings_, ref);
  run.started = now;
  hollow.worker.set_phase(id, TaskPhase::running);
  ScaleEvent event;
  event.kind = ScaleEventKind::task_runs;
  event.job = ref;
  event.task = task;
  event.machine = hollow.worker.name();
  events_.write(event);
  wake_for(hollow, now);
  if (job.kind != nullptr && job.kind->shape == Shape::service) return;
  double left = std::max(1.0, scale_run_time_s(settings_, ref, task) - saved_s_[id]);
  run.ends_at = now + left;
  due_.push({run.ends_at, hollow.number, id, run.attempt});
}

void HollowFleet::member_is_ready(Hollow& hollow, const std::string& id, Run& run, double now) {
  std::string ref = split_id(id).first;
  run.gathers_since = now;
  hollow.worker.set_phase(id, TaskPhase::gathering);
  due_.push({now + settings_.gang_wait_s, hollow.number, id, run.attempt});
  wake_for(hollow, now);
  Gang& gang = gangs_[ref];
  if (gang.members.size() < scale_job(settings_, ref).kind->tasks) return;
  auto is_ready = [&](const auto& member) {
    auto found = machines_.at(member.second)->runs.find(ref + "/" + std::to_string(member.first));
    return found != machines_.at(member.second)->runs.end() && found->second.gathers_since >= 0;
  };
  if (!std::all_of(gang.members.begin(), gang.members.end(), is_ready)) return;
  gang.running = true;
  for (const auto& [task, machine] : gang.members) {
    std::string member = ref + "/" + std::to_string(task);
    begin_running(*machines_.at(machine), member, machines_.at(machine)->runs.at(member), now);
  }
}

void HollowFleet::finish(Hollow& hollow, const std::string& id, EndCause cause) {
  auto [ref, task] = split_id(id);
  Run run = hollow.runs.at(id);
  hollow.runs.erase(id);
  auto gang = gangs_.find(ref);
  if (gang != gangs_.end() && gang->second.attempt == run.attempt) gang->second.members.erase(task);
  if (cause == EndCause::done) {
    done_.insert(id);
    ScaleEvent event;
    event.kind = ScaleEventKind::task_completes;
    event.job = ref;
    event.task = task;
    events_.write(event);
  }
  hollow.worker.finish(id, cause);
  wake_for(hollow, now_());
}

std::vector<HollowFleet::Hollow*> HollowFleet::some_machines(std::uint32_t count) {
  // Neighbours, as machines of a rack are.
  std::vector<Hollow*> alive;
  for (const auto& [number, hollow] : machines_) {
    if (hollow->alive) alive.push_back(hollow.get());
  }
  if (alive.empty()) return alive;
  auto first =
      static_cast<std::ptrdiff_t>(std::uniform_int_distribution<std::size_t>(0, alive.size() - 1)(random_));
  std::rotate(alive.begin(), alive.begin() + first, alive.end());
  alive.resize(std::min<std::size_t>(alive.size(), count));
  return alive;
}

void HollowFleet::apply(const ScaleFault& fault, double now) {
  bool gone = fault.kind == ScaleFaultKind::workers_gone || fault.kind == ScaleFaultKind::workers_replaced;
  if (!gone && fault.kind != ScaleFaultKind::workers_cut) return;  // another process's
  for (Hollow* hollow : some_machines(fault.count)) {
    if (gone) power_off(*hollow);
    if (fault.kind == ScaleFaultKind::workers_replaced)
      add_machine(hollow->number % settings_.zones, now + settings_.boot_s);
    if (fault.kind == ScaleFaultKind::workers_cut) hollow->cut_until = now + fault.for_s;
  }
}

void HollowFleet::tell_counts() {
  next_told_ = now_() + tells_every_s;
  events_.counter("reports", counts_.reports);
  events_.counter("report_bytes", counts_.report_bytes);
  events_.counter("answer_bytes", counts_.answer_bytes);
  events_.counter("reports_unanswered", counts_.unanswered);
  events_.counter("commands", counts_.commands);
  events_.counter("command_bytes", counts_.command_bytes);
  events_.counter("workers_late_s", counts_.late_s);
  events_.counter("machines", static_cast<double>(alive_));
  counts_.late_s = 0;
  events_.flush();
  if (held_.size() > settings_.workers) held_.clear();
}

Json HollowFleet::catalog() const {
  Json zones = Json::array();
  for (std::size_t z = 0; z < settings_.zones; ++z) zones.push_back(scale_zone_name(z));
  return {{"rigs",
           {{{"sku", type_name},
             {"vcpus", settings_.machine.cpus},
             {"accelerators", settings_.machine.gpus},
             {"memory_gb", settings_.machine.memory_gb},
             {"cache_gb", 100.0},
             {"fetch_gb_per_s", settings_.fetch_gb_per_s},
             {"rate", 3.0},
             {"low_price", 1.0},
             {"ready_s", std::max(1.0, settings_.boot_s)},
             {"yards", zones}}}}};
}

Json HollowFleet::rent(const Json& body) {
  auto [known, fresh] = rentals_.try_emplace(body.at("hire").get<std::string>());
  if (!fresh) return known->second;
  Json hosts = Json::array();
  auto wanted = body.at("count").get<std::size_t>();
  std::string zone = body.at("yard").get<std::string>();
  bool spot = body.value("loaners", false);
  for (std::size_t z = 0; z < settings_.zones && !spot; ++z) {
    while (scale_zone_name(z) == zone && hosts.size() < wanted && alive_ < settings_.workers)
      hosts.push_back(add_machine(z, now_() + settings_.boot_s * uniform(0.6, 1.5)));
  }
  if (hosts.empty()) rentals_.erase(known);
  Json answer = {{"hosts", hosts}};
  if (!hosts.empty()) rentals_[body.at("hire").get<std::string>()] = answer;
  return answer;
}

Json HollowFleet::list(const std::string& query) const {
  constexpr std::size_t most = 500;
  std::size_t at = query.find("from=");
  std::string from = at == std::string::npos ? "" : query.substr(at + 5, scale_machine_name(0).size());
  Json hosts = Json::array();
  bool truncated = false;
  auto first = from.empty() ? machines_.begin() : machines_.upper_bound(scale_machine_number(from));
  for (; first != machines_.end(); ++first) {
    const Hollow& hollow = *first->second;
    if (!hollow.alive) continue;
    truncated = hosts.size() >= most;
    if (truncated) break;
    hosts.push_back({{"ref", hollow.worker.name()},
                     {"address", hollow.worker.address},
                     {"rig", type_name},
                     {"yard", scale_zone_name(hollow.number % settings_.zones)},
                     {"loaners", false},
                     {"phase", now_() < hollow.up_at ? "starting" : "running"},
                     {"age_s", now_() - hollow.born}});
  }
  return {{"hosts", hosts}, {"truncated", truncated}};
}

void HollowFleet::serve_cloud(net::Request&& request) {
  auto reply = [&request](int status, const Json& body) {
    request.responder->reply(status, wire::encode(body));
  };
  if (!cloud_calls_.take(1, now_())) return reply(429, Json::object());
  if (request.path == "/catalog") return reply(200, catalog());
  if (request.path == "/rentals" && request.method == EVHTTP_REQ_GET) return reply(200, list(request.query));
  auto body = wire::decode_map(request.body);
  if (!body) return reply(400, Json::object());
  if (request.path == "/rentals") {
    Json answer = rent(*body);
    return answer["hosts"].empty() ? reply(503, {{"error", "no capacity"}}) : reply(200, answer);
  }
  if (request.path != "/rentals/delete") return reply(404, Json::object());
  for (const Json& name : body->at("hosts")) {
    auto found = machines_.find(scale_machine_number(name.get<std::string>()));
    if (found != machines_.end()) power_off(*found->second);
  }
  reply(200, Json::object());
}

}  // namespace oxbowmill::lab
