#include "oxbowmill/simulation/scale_run.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "oxbowmill/error.h"
#include "oxbowmill/simulation/scale_evaluator.h"
#include "oxbowmill/simulation/scale_users.h"
#include "oxbowmill/simulation/state_server.h"
#include "scale_controller_settings.h"
#include "scale_process.h"
#include "scale_report.h"

namespace oxbowmill::simulation {

namespace {

constexpr std::uint16_t lowest_port = 10000, ports = 20000;  // below Linux's ephemeral ports
constexpr double events_settle_s = 1.5;                      // longest expected delay of an event in its pipe
constexpr double sample_every_s = 1, progress_every_s = 10;

volatile std::sig_atomic_t interrupted = 0;

class ScaleRun {
 public:
  ScaleRun(const ScaleSettings& settings, const ScaleOptions& options)
      : settings_(settings), options_(options) {
    addresses_.port = static_cast<std::uint16_t>(lowest_port + ::getpid() % ports);
    std::filesystem::create_directories(options.directory);
  }
  ScaleRun(const ScaleRun&) = delete;
  ScaleRun& operator=(const ScaleRun&) = delete;
  ~ScaleRun() = default;

  ScaleReport play() {
    start_simulator("state",
                    [this](event_base* base, ScaleEventWriter& events) { serve_state(base, events); });
    for (std::size_t i = 0; i < settings_.controllers; ++i) {
      write_controller_settings(settings_file(i), i, settings_, addresses_);
      processes_.emplace_back(scale_controller_name(i));
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
    if (interrupted != 0) throw Error("interrupted; all processes of the run were ended");
    evaluator_->close();
    return make_report(settings_, *evaluator_, processes_, ended_, measured_s_);
  }

 private:
  void start_simulator(const std::string& role, const ScaleProcess::Serve& serve) {
    processes_.emplace_back(role);
    processes_.back().start_simulator(serve);
  }

  std::string settings_file(std::size_t i) const {
    return options_.directory + "/" + scale_controller_name(i) + ".toml";
  }

  void start_controller(ScaleProcess& process, std::size_t i) const {
    std::vector<std::string> command_line = {options_.program};
    for (const std::string& file : options_.operators)
      command_line.insert(command_line.end(), {"--operator", file});
    command_line.insert(command_line.end(), {"--config", settings_file(i)});
    process.start_program(command_line, options_.directory + "/" + process.role() + ".log");
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

  ScaleProcess& controller(std::size_t i) {
    return *std::find_if(processes_.begin(), processes_.end(), [&](const ScaleProcess& process) {
      return process.role() == scale_controller_name(i);
    });
  }

  void loop() {
    constexpr int wait_ms = 50;
    plan_faults();
    double next_sample = began_at_, next_progress = began_at_ + progress_every_s;
    while (interrupted == 0 && steady_now() < began_at_ + settings_.duration_s) {
      std::vector<pollfd> waiting;
      for (const ScaleProcess& process : processes_) {
        if (process.events_descriptor() >= 0) waiting.push_back({process.events_descriptor(), POLLIN, 0});
      }
      ::poll(waiting.data(), waiting.size(), wait_ms);
      for (ScaleProcess& process : processes_) process.read_events(pending_);
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

  void evaluate_up_to(double until) {
    std::stable_sort(pending_.begin(), pending_.end(),
                     [](const ScaleEvent& a, const ScaleEvent& b) { return a.at < b.at; });
    auto later =
        std::find_if(pending_.begin(), pending_.end(), [&](const ScaleEvent& e) { return e.at > until; });
    for (auto event = pending_.begin(); event != later; ++event) evaluator_->add(*event);
    pending_.erase(pending_.begin(), later);
  }

  /// A signal to, or start of, a controller process at a given time.
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
      ScaleProcess& process = controller(action->controller);
      switch (action->kind) {
        case ScheduledAction::ActionKind::kill:
          process.sample_usage(warmed_up_);
          process.end();
          break;
        case ScheduledAction::ActionKind::start:
          if (!process.is_running()) start_controller(process, action->controller);
          break;
        case ScheduledAction::ActionKind::stop:
          process.signal(SIGSTOP);
          break;
        case ScheduledAction::ActionKind::resume:
          process.signal(SIGCONT);
          break;
      }
      action = actions_.erase(action);
    }
  }

  void sample(double now) {
    if (!warmed_up_ && now >= began_at_ + settings_.warm_up_s) {
      for (ScaleProcess& process : processes_) process.sample_usage(false);
      warmed_up_ = true;
      warmed_up_at_ = now;
      return;
    }
    for (ScaleProcess& process : processes_) {
      // A controller that ends unexpectedly counts as a violation and is not started again.
      if (!process.is_simulator() && process.has_ended_by_itself()) ended_.push_back(process.role());
      process.sample_usage(true);
    }
    measured_s_ = now - warmed_up_at_;
  }

  const ScaleSettings& settings_;
  const ScaleOptions& options_;
  ScaleAddresses addresses_;
  std::vector<ScaleProcess> processes_;
  std::vector<ScaleEvent> pending_;
  std::vector<ScheduledAction> actions_;
  std::vector<std::string> ended_;
  std::unique_ptr<ScaleEvaluator> evaluator_;
  double began_at_ = 0, warmed_up_at_ = 0, measured_s_ = 0;
  bool warmed_up_ = false;
};

/// During its lifetime, SIGINT and SIGTERM set `interrupted`, which ends the run and its processes cleanly.
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
    throw Error(options.program + ": is no program that can be run");
  InterruptGuard guard;
  return ScaleRun(settings, options).play();
}

}  // namespace oxbowmill::simulation
