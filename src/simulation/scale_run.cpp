#include "oxbowmill/simulation/scale_run.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "oxbowmill/simulation/scale_evaluator.h"
#include "oxbowmill/simulation/scale_users.h"
#include "oxbowmill/simulation/state_server.h"

namespace oxbowmill::simulation {

using Json = nlohmann::json;

namespace {

constexpr std::uint16_t lowest_port = 10000, ports = 20000;  // below those that the system hands out
constexpr double events_settle_s = 1.5;                      // so late may a process's events arrive
constexpr double sample_every_s = 1, progress_every_s = 10;
constexpr double max_processor_fraction = 0.85,
                 max_lateness_s = 0.5;  // beyond these a stand-in holds the service back

volatile std::sig_atomic_t interrupted = 0;

double steady_now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

/// What a process has used, from /proc; zero where it has gone.
struct Usage {
  double processor_s = 0, resident_mb = 0;
  std::size_t sockets = 0;
};

Usage usage_of(pid_t pid) {
  Usage usage;
  std::string directory = "/proc/" + std::to_string(pid);
  std::ifstream stat(directory + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::size_t after_name = text.rfind(')');
  if (after_name == std::string::npos) return usage;
  std::istringstream fields(text.substr(after_name + 1));
  std::string skipped;
  constexpr int before_times = 11;
  for (int i = 0; i < before_times; ++i) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  usage.processor_s = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream statm(directory + "/statm");
  double total = 0, resident = 0;
  statm >> total >> resident;
  usage.resident_mb = resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
  std::error_code ignored;
  for (const auto& entry : std::filesystem::directory_iterator(directory + "/fd", ignored)) {
    usage.sockets += std::filesystem::read_symlink(entry, ignored).string().rfind("socket:", 0) == 0 ? 1 : 0;
  }
  return usage;
}

/// A process of the run, started again or not, with what all its lives have used since the warm-up.
struct Process {
  std::string role;
  pid_t pid = -1;
  int events = -1;  // the pipe on which it tells; -1: none
  std::string unread;
  double used_s = 0, last_used_s = 0, most_resident_mb = 0;
  std::size_t most_sockets = 0;
};

class ScaleRun {
 public:
  ScaleRun(const ScaleSettings& settings, const ScaleOptions& options)
      : settings_(settings), options_(options) {
    addresses_.port = static_cast<std::uint16_t>(lowest_port + ::getpid() % ports);
    std::filesystem::create_directories(options.directory);
  }
  ScaleRun(const ScaleRun&) = delete;
  ScaleRun& operator=(const ScaleRun&) = delete;
  ~ScaleRun() {
    for (Process& process : processes_) end(process);
  }

  ScaleReport play() {
    start_simulator("state",
                    [this](event_base* base, ScaleEventWriter& events) { serve_state(base, events); });
    for (std::size_t i = 0; i < settings_.controllers; ++i) {
      write_settings(i);
      processes_.push_back({scale_controller_name(i), -1, -1, "", 0, 0, 0, 0});
      start_controller(processes_.back(), i);
    }
    start_simulator("workers", [this](event_base* base, ScaleEventWriter& events) {
      AgentSimulator fleet(base, settings_, addresses_, events, steady_now);
      event_base_dispatch(base);
    });
    start_simulator("users", [this](event_base* base, ScaleEventWriter& events) {
      ScaleUsers users(base, settings_, addresses_, events, steady_now);
      event_base_dispatch(base);
    });
    began_at_ = steady_now();
    evaluator_ = std::make_unique<ScaleEvaluator>(settings_, began_at_);
    loop();
    if (interrupted != 0) throw std::runtime_error("interrupted; all processes of the run were ended");
    evaluator_->close();
    return report();
  }

 private:
  using ServeFunction = std::function<void(event_base*, ScaleEventWriter&)>;

  void start_simulator(const std::string& role, const ServeFunction& serve) {
    int ends[2];
    if (::pipe(ends) != 0) throw std::runtime_error("no pipe for " + role);
    pid_t pid = ::fork();
    if (pid < 0) throw std::runtime_error("cannot start " + role);
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::close(ends[0]);
      ::signal(SIGPIPE, SIG_IGN);
      run_simulator(role, ends[1], serve);
    }
    ::close(ends[1]);
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    processes_.push_back({role, pid, ends[0], "", 0, 0, 0, 0});
  }

  [[noreturn]] static void run_simulator(const std::string& role, int events, const ServeFunction& serve) {
    try {
      auto base = net::make_event_base();
      ScaleEventWriter writer(events, steady_now);
      serve(base.get(), writer);
    } catch (const std::exception& e) {
      std::cerr << "oxbowmill-sim: " << role << ": " << e.what() << std::endl;
    }
    ::_exit(1);
  }

  void serve_state(event_base* base, ScaleEventWriter& events) const {
    StateLimits limits{settings_.state_rps, settings_.state_write_rps, settings_.value_kb, settings_.txn_ops};
    StateServer server(base, addresses_.state(), limits, steady_now);
    double began = steady_now(), expected = began;
    constexpr double tick_s = 0.1;
    net::Timer timer(base, [&] {
      double now = steady_now(), late = now - expected;
      bool outage =
          std::any_of(settings_.faults.begin(), settings_.faults.end(), [&](const ScaleFault& fault) {
            return fault.kind == ScaleFaultKind::state_outage && now >= began + fault.at_s &&
                   now < began + fault.at_s + fault.duration_s;
          });
      if (outage != server.store().outage()) server.set_outage(outage);
      const StateServer::Counts& counts = server.counts();
      events.counter("state_requests", static_cast<double>(counts.requests));
      events.counter("state_refused", static_cast<double>(counts.refused));
      events.counter("state_changes", static_cast<double>(counts.changes));
      events.counter("state_transactions", static_cast<double>(counts.transactions));
      events.counter("state_failed", static_cast<double>(counts.failed));
      events.counter("state_bytes_in", static_cast<double>(counts.bytes_in));
      events.counter("state_bytes_out", static_cast<double>(counts.bytes_out));
      events.counter("state_watch_bytes", static_cast<double>(counts.watch_bytes));
      events.counter("state_keys", static_cast<double>(server.store().keys().size()));
      events.counter("state_late_s", late);
      events.flush();
      expected = steady_now() + tick_s;
      timer.schedule(tick_s);
    });
    timer.schedule(tick_s);
    event_base_dispatch(base);
  }

  std::string settings_file(std::size_t i) const {
    return options_.directory + "/" + scale_controller_name(i) + ".toml";
  }

  void write_settings(std::size_t i) const {
    std::ofstream out(settings_file(i));
    out << "node_name = \"" << scale_controller_name(i) << "\"\narea = \""
        << scale_zone_name(i % settings_.zones) << "\"\nbind = \"" << net::to_string(addresses_.controller(i))
        << "\"\npeer_bind = \"" << net::to_string(addresses_.peer(i)) << "\"\n";
    for (std::size_t other = 0; other < settings_.controllers; ++other) {
      if (other == i) continue;
      out << "[[seeds]]\nnode_name = \"" << scale_controller_name(other) << "\"\narea = \""
          << scale_zone_name(other % settings_.zones) << "\"\naddress = \""
          << net::to_string(addresses_.peer(other)) << "\"\n";
    }
    out << "[services]\ncloud = \"" << net::to_string(addresses_.cloud()) << "\"\nstate = \""
        << net::to_string(addresses_.state()) << "\"\n[settings]\nzones = [";
    for (std::size_t z = 0; z < settings_.zones; ++z)
      out << (z == 0 ? "" : ", ") << '"' << scale_zone_name(z) << '"';
    out << "]\n";
    for (std::size_t t = 0; t < settings_.teams; ++t) {
      out << "[[settings.teams]]\nname = \"team-" << t
          << "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = " << std::fixed << std::setprecision(1)
          << settings_.team_gpus << "\n";
    }
    out << "[settings.workers]\nreport_s = " << settings_.report_interval_s
        << "\nlease_s = " << settings_.lease_s << "\ngang_wait_s = " << settings_.gang_wait_s
        << "\ngang_peer_s = " << settings_.gang_peer_s << "\ncancel_s = " << settings_.cancel_timeout_s
        << "\n[settings.state]\nrps = " << settings_.state_rps
        << "\nwrite_rps = " << settings_.state_write_rps << "\nvalue_kb = " << settings_.value_kb
        << "\ntxn_ops = " << settings_.txn_ops << "\n[settings.cloud]\nrps = " << settings_.cloud_rps
        << "\nlist_lag_s = 1.0\n";
    if (!out) throw std::runtime_error(settings_file(i) + ": cannot be written");
  }

  void start_controller(Process& process, std::size_t i) {
    std::vector<std::string> command_line = {options_.program};
    for (const std::string& file : options_.operators)
      command_line.insert(command_line.end(), {"--operator", file});
    command_line.insert(command_line.end(), {"--config", settings_file(i)});
    std::string log_path = options_.directory + "/" + process.role + ".log";
    pid_t pid = ::fork();
    if (pid < 0) throw std::runtime_error("cannot start " + process.role);
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      int out = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      if (out >= 0) ::dup2(out, STDERR_FILENO);
      std::vector<char*> arguments;
      for (std::string& word : command_line) arguments.push_back(word.data());
      arguments.push_back(nullptr);
      ::execv(options_.program.c_str(), arguments.data());
      ::_exit(127);
    }
    process.pid = pid;
    process.last_used_s = 0;
  }

  static void end(Process& process) {
    if (process.pid <= 0) return;
    ::kill(process.pid, SIGKILL);
    ::waitpid(process.pid, nullptr, 0);
    process.pid = -1;
    if (process.events >= 0) ::close(process.events);
    process.events = -1;
  }

  Process& controller(std::size_t i) {
    return *std::find_if(processes_.begin(), processes_.end(),
                         [&](const Process& process) { return process.role == scale_controller_name(i); });
  }

  void loop() {
    constexpr int wait_ms = 50;
    plan_faults();
    double next_sample = began_at_, next_progress = began_at_ + progress_every_s;
    while (interrupted == 0 && steady_now() < began_at_ + settings_.duration_s) {
      std::vector<pollfd> waiting;
      for (const Process& p : processes_) {
        if (p.events >= 0) waiting.push_back({p.events, POLLIN, 0});
      }
      ::poll(waiting.data(), waiting.size(), wait_ms);
      for (Process& p : processes_) read_events(p);
      double now = steady_now();
      evaluate_up_to(now - events_settle_s);
      play_faults(now);
      if (now >= next_sample) {
        next_sample = now + sample_every_s;
        sample(now);
        evaluator_->check(now - events_settle_s);
      }
      if (options_.progress && now >= next_progress) {
        next_progress = now + progress_every_s;
        std::cerr << "oxbowmill-sim: " << settings_.name << ": " << std::lround(now - began_at_) << " of "
                  << std::lround(settings_.duration_s) << " s, " << evaluator_->starts() << " starts, "
                  << evaluator_->violations().size() << " rules broken" << std::endl;
      }
    }
    evaluate_up_to(steady_now());
  }

  void read_events(Process& process) {
    char buffer[1 << 16];
    while (process.events >= 0) {
      ssize_t bytes_read = ::read(process.events, buffer, sizeof buffer);
      if (bytes_read <= 0) {
        if (bytes_read == 0) throw std::runtime_error(process.role + " ended by itself");
        break;
      }
      process.unread.append(buffer, static_cast<std::size_t>(bytes_read));
    }
    std::size_t from = 0;
    for (std::size_t to = 0; (to = process.unread.find('\n', from)) != std::string::npos; from = to + 1) {
      if (auto event = parse_event(process.unread.substr(from, to - from)))
        pending_.push_back(std::move(*event));
    }
    process.unread.erase(0, from);
  }

  void evaluate_up_to(double until) {
    std::stable_sort(pending_.begin(), pending_.end(),
                     [](const ScaleEvent& a, const ScaleEvent& b) { return a.at < b.at; });
    auto later =
        std::find_if(pending_.begin(), pending_.end(), [&](const ScaleEvent& e) { return e.at > until; });
    for (auto event = pending_.begin(); event != later; ++event) evaluator_->add(*event);
    pending_.erase(pending_.begin(), later);
  }

  /// What is to be done to a controller, and when.
  struct ScheduledAction {
    double at = 0;
    std::size_t controller = 0;
    enum class ActionKind : std::uint8_t { kill, start, stop, resume } kind = ActionKind::kill;
  };

  void plan_faults() {
    std::size_t next = 0;
    for (const ScaleFault& fault : settings_.faults) {
      bool all = fault.kind == ScaleFaultKind::controllers_killed;
      bool killed = all || fault.kind == ScaleFaultKind::controller_killed;
      if (!killed && fault.kind != ScaleFaultKind::controller_stopped) continue;
      std::size_t count =
          all ? settings_.controllers : std::min<std::size_t>(fault.count, settings_.controllers);
      for (std::size_t i = 0; i < count; ++i) {
        std::size_t which = next++ % settings_.controllers;
        actions_.push_back({began_at_ + fault.at_s, which,
                            killed ? ScheduledAction::ActionKind::kill : ScheduledAction::ActionKind::stop});
        actions_.push_back(
            {began_at_ + fault.at_s + fault.duration_s, which,
             killed ? ScheduledAction::ActionKind::start : ScheduledAction::ActionKind::resume});
      }
    }
  }

  void play_faults(double now) {
    for (auto action = actions_.begin(); action != actions_.end();) {
      if (now < action->at) {
        ++action;
        continue;
      }
      Process& process = controller(action->controller);
      switch (action->kind) {
        case ScheduledAction::ActionKind::kill:
          add_usage(process);
          end(process);
          break;
        case ScheduledAction::ActionKind::start:
          if (process.pid < 0) start_controller(process, action->controller);
          break;
        case ScheduledAction::ActionKind::stop:
          if (process.pid > 0) ::kill(process.pid, SIGSTOP);
          break;
        case ScheduledAction::ActionKind::resume:
          if (process.pid > 0) ::kill(process.pid, SIGCONT);
          break;
      }
      action = actions_.erase(action);
    }
  }

  void add_usage(Process& process) const {
    if (process.pid <= 0) return;
    Usage usage = usage_of(process.pid);
    if (warmed_up_) {
      process.used_s += std::max(0.0, usage.processor_s - process.last_used_s);
      process.most_resident_mb = std::max(process.most_resident_mb, usage.resident_mb);
      process.most_sockets = std::max(process.most_sockets, usage.sockets);
    }
    process.last_used_s = usage.processor_s;
  }

  void sample(double now) {
    if (!warmed_up_ && now >= began_at_ + settings_.warm_up_s) {
      for (Process& p : processes_) add_usage(p);
      warmed_up_ = true;
      warmed_up_at_ = now;
      return;
    }
    for (Process& process : processes_) {
      // One that ended by itself is a finding, and is not started again.
      bool mine = process.pid > 0 && process.events < 0;
      if (mine && ::waitpid(process.pid, nullptr, WNOHANG) == process.pid) {
        ended_.push_back(process.role);
        process.pid = -1;
      }
      add_usage(process);
    }
    measured_s_ = now - warmed_up_at_;
  }

  ScaleReport report() const {
    ScaleReport out;
    out.violations = evaluator_->violations();
    for (const std::string& role : ended_) out.violations.push_back("ended by itself: " + role);
    double seconds = std::max(1.0, measured_s_);
    Json processes = Json::array();
    double controllers = 0;
    for (const Process& process : processes_) {
      double share = process.used_s / seconds;
      processes.push_back({{"role", process.role},
                           {"processor", share},
                           {"resident_mb", process.most_resident_mb},
                           {"sockets", process.most_sockets}});
      bool stand_in = process.role.rfind("node-", 0) != 0;
      if (!stand_in) controllers += process.used_s;
      if (stand_in && share > max_processor_fraction)
        out.missing_figures.push_back(process.role + " used " + std::to_string(share) + " of a core");
    }
    for (const char* counter : {"workers_late_s", "users_late_s", "state_late_s"}) {
      if (evaluator_->maximum_of(counter) > max_lateness_s)
        out.missing_figures.push_back(std::string(counter) + " " +
                                      std::to_string(evaluator_->maximum_of(counter)));
    }
    double starts = std::max<double>(1, static_cast<double>(evaluator_->starts()));
    Json classes = Json::object();
    for (std::size_t c = 0; c < settings_.classes.size(); ++c) {
      const ScaleEvaluator::ClassWaits& waits = evaluator_->waits()[c];
      classes[settings_.classes[c].name] = {{"jobs", waits.jobs},
                                            {"begun", waits.begun},
                                            {"first_s", distribution_json(waits.first_s)},
                                            {"all_s", distribution_json(waits.all_s)}};
    }
    out.figures = {
        {"run", settings_.name},
        {"seed", settings_.seed},
        {"workers", settings_.workers},
        {"controllers", settings_.controllers},
        {"measured_s", seconds},
        {"processes", processes},
        {"starts", evaluator_->starts()},
        {"starts_a_s", static_cast<double>(evaluator_->starts()) / seconds},
        {"most_running", evaluator_->max_running()},
        {"lost", evaluator_->lost()},
        {"controllers_ms_a_start", 1000 * controllers / starts},
        {"controllers_processor", controllers / seconds},
        {"changes_a_start", evaluator_->increase_of("state_changes") / starts},
        {"state_requests_a_s", evaluator_->increase_of("state_requests") / seconds},
        {"state_refused", evaluator_->increase_of("state_refused")},
        {"state_failed", evaluator_->increase_of("state_failed")},
        {"state_bytes_in_a_start", evaluator_->increase_of("state_bytes_in") / starts},
        {"watch_bytes_a_s", evaluator_->increase_of("state_watch_bytes") / seconds},
        {"state_keys", evaluator_->maximum_of("state_keys")},
        {"reports_a_s", evaluator_->increase_of("reports") / seconds},
        {"report_bytes_a_worker_s", evaluator_->increase_of("report_bytes") / seconds / settings_.workers},
        {"answer_bytes_a_worker_s", evaluator_->increase_of("answer_bytes") / seconds / settings_.workers},
        {"command_bytes_a_worker_s", evaluator_->increase_of("command_bytes") / seconds / settings_.workers},
        {"commands_a_s", evaluator_->increase_of("commands") / seconds},
        {"reports_unanswered", evaluator_->increase_of("reports_unanswered")},
        {"users_asked", evaluator_->increase_of("users_asked")},
        {"users_refused", evaluator_->increase_of("users_refused")},
        {"submit_ms", distribution_json(evaluator_->submit_ms())},
        {"classes", classes},
        {"broken", out.violations},
        {"no_figure", out.missing_figures}};
    return out;
  }

  static Json distribution_json(const Distribution& s) {
    return {{"n", s.count()}, {"p50", s.quantile(0.5)}, {"p99", s.quantile(0.99)}, {"worst", s.quantile(1)}};
  }

  const ScaleSettings& settings_;
  const ScaleOptions& options_;
  ScaleAddresses addresses_;
  std::vector<Process> processes_;
  std::vector<ScaleEvent> pending_;
  std::vector<ScheduledAction> actions_;
  std::vector<std::string> ended_;
  std::unique_ptr<ScaleEvaluator> evaluator_;
  double began_at_ = 0, warmed_up_at_ = 0, measured_s_ = 0;
  bool warmed_up_ = false;
};

/// Interrupts end the run in order, with its processes.
class InterruptGuard {
 public:
  InterruptGuard() {
    interrupted = 0;
    for (int signal : {SIGINT, SIGTERM}) ::signal(signal, [](int) { interrupted = 1; });
  }
  InterruptGuard(const InterruptGuard&) = delete;
  InterruptGuard& operator=(const InterruptGuard&) = delete;
  ~InterruptGuard() {
    for (int signal : {SIGINT, SIGTERM}) ::signal(signal, SIG_DFL);
  }
};

}  // namespace

ScaleReport play_scale(const ScaleSettings& settings, const ScaleOptions& options) {
  if (::access(options.program.c_str(), X_OK) != 0)
    throw std::runtime_error(options.program + ": is no program that can be run");
  InterruptGuard guard;
  return ScaleRun(settings, options).play();
}

std::string table(const ScaleReport& report) {
  std::ostringstream out;
  const Json& figures = report.figures;
  out << std::fixed << std::setprecision(2);
  auto row = [&](const std::string& name, const Json& value) {
    out << "  " << std::left << std::setw(28) << name << value << '\n';
  };
  out << figures.at("run").get<std::string>() << ", seed " << figures.at("seed") << ", "
      << figures.at("workers") << " workers, " << figures.at("controllers") << " controllers, "
      << figures.at("measured_s").get<double>() << " s measured\n";
  if (!report.missing_figures.empty()) {
    out << "  the machine was the limit, so these are no figures of the service:\n";
    for (const std::string& why : report.missing_figures) out << "    " << why << '\n';
  }
  for (const char* key :
       {"starts", "starts_a_s", "most_running", "lost", "controllers_ms_a_start", "controllers_processor",
        "changes_a_start", "state_requests_a_s", "state_bytes_in_a_start", "watch_bytes_a_s", "reports_a_s",
        "report_bytes_a_worker_s", "answer_bytes_a_worker_s", "submit_ms"})
    row(key, figures.at(key));
  for (const auto& [name, waits] : figures.at("classes").items()) row(name, waits);
  for (const Json& p : figures.at("processes")) row(p.at("role").get<std::string>(), p);
  out << "  " << report.violations.size() << " rules broken\n";
  for (const std::string& rule : report.violations) out << "    " << rule << '\n';
  return out.str();
}

}  // namespace oxbowmill::simulation
