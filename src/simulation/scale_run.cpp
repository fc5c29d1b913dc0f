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

constexpr std::uint16_t lowest_port = 10000, port_count = 20000;  // below Linux's ephemeral ports
constexpr double max_event_delay_s = 1.5;  // longest expected delay of an event in its pipe
constexpr double sample_interval_s = 1, progress_interval_s = 10;

volatile std::sig_atomic_t interrupted = 0;

class ScaleRun {
 public:
  ScaleRun(const ScaleSettings& settings, const ScaleOptions& options)
      : settings_(settings), options_(options) {
    addresses_.port = static_cast<std::uint16_t>(lowest_port + ::getpid() % port_count);
    std::filesystem::create_directories(options.directory);
  }
  ScaleRun(const ScaleRun&) = delete;
  ScaleRun& operator=(const ScaleRun&) = delete;
  ~ScaleRun() = default;

  ScaleReport run() {
    start_simulator("state",
                    [this](event_base* base, ScaleEventWriter& events) { serve_state(base, events); });
    for (std::size_t i = 0; i < settings_.controllers; ++i) {
      write_controller_settings(settings_file(i), i, settings_, addresses_);
      processes_.emplace_back(scale_controller_name(i));
      start_controller(processes_.back(), i);
    }
    start_simulator("workers", [this](event_base* base, ScaleEventWriter& events) {
      AgentSimulator agents(base, settings_, addresses_, events, steady_now);
      event_base_dispatch(base);
    });
    start_simulator("users", [this](event_base* base, ScaleEventWriter& events) {
      ScaleUsers users(base, settings_, addresses_, events, steady_now);
      event_base_dispatch(base);
    });
    started_at_ = steady_now();
    evaluator_ = std::make_unique<ScaleEvaluator>(settings_, started_at_);
    run_until_end();
    if (interrupted != 0) throw Error("scale run interrupted; all its processes were killed");
    evaluator_->close();
    return make_report(settings_, *evaluator_, processes_, unexpectedly_ended_, measured_s_);
  }

 private:
  void start_simulator(const std::string& role, const ScaleProcess::SimulatorMain& simulator_main) {
    processes_.emplace_back(role);
    processes_.back().start_simulator(simulator_main);
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
    double started_at = steady_now(), expected_at = started_at;
    constexpr double tick_s = 0.1;
    net::Timer timer(base, [&] {
      double now = steady_now(), lateness_s = now - expected_at;
      bool outage =
          std::any_of(settings_.faults.begin(), settings_.faults.end(), [&](const ScaleFault& fault) {
            return fault.kind == ScaleFaultKind::state_outage && now >= started_at + fault.at_s &&
                   now < started_at + fault.at_s + fault.duration_s;
          });
      if (outage != server.store().outage()) server.set_outage(outage);
      const StateServer::Counts& counts = server.counts();
      events.counter("state_requests", static_cast<double>(counts.requests));
      events.counter("state_refused", static_cast<double>(counts.refused_requests));
      events.counter("state_changes", static_cast<double>(counts.changes));
      events.counter("state_transactions", static_cast<double>(counts.transactions));
      events.counter("state_failed", static_cast<double>(counts.refused_transactions));
      events.counter("state_bytes_in", static_cast<double>(counts.bytes_in));
      events.counter("state_bytes_out", static_cast<double>(counts.bytes_out));
      events.counter("state_watch_bytes", static_cast<double>(counts.watch_bytes));
      events.counter("state_keys", static_cast<double>(server.store().keys().size()));
      events.counter("state_late_s", lateness_s);
      events.flush();
      expected_at = steady_now() + tick_s;
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

  void run_until_end() {
    constexpr int wait_ms = 50;
    schedule_faults();
    double next_sample = started_at_, next_progress = started_at_ + progress_interval_s;
    while (interrupted == 0 && steady_now() < started_at_ + settings_.duration_s) {
      std::vector<pollfd> waiting;
      for (const ScaleProcess& process : processes_) {
        if (process.events_descriptor() >= 0) waiting.push_back({process.events_descriptor(), POLLIN, 0});
      }
      ::poll(waiting.data(), waiting.size(), wait_ms);
      for (ScaleProcess& process : processes_) process.read_events(pending_events_);
      double now = steady_now();
      evaluate_up_to(now - max_event_delay_s);
      inject_due_faults(now);
      if (now >= next_sample) {
        next_sample = now + sample_interval_s;
        sample(now);
        evaluator_->check(now - max_event_delay_s);
      }
      if (options_.progress && now >= next_progress) {
        next_progress = now + progress_interval_s;
        std::cerr << "oxbowmill-sim: " << settings_.name << ": " << std::lround(now - started_at_) << " of "
                  << std::lround(settings_.duration_s) << " s, " << evaluator_->starts() << " starts, "
                  << evaluator_->violations().size() << " invariant violations" << std::endl;
      }
    }
    evaluate_up_to(steady_now());
  }

  void evaluate_up_to(double until) {
    std::stable_sort(pending_events_.begin(), pending_events_.end(),
                     [](const ScaleEvent& a, const ScaleEvent& b) { return a.at < b.at; });
    auto first_later = std::find_if(pending_events_.begin(), pending_events_.end(),
                                    [&](const ScaleEvent& e) { return e.at > until; });
    for (auto event = pending_events_.begin(); event != first_later; ++event) evaluator_->add(*event);
    pending_events_.erase(pending_events_.begin(), first_later);
  }

  /// A signal to, or start of, a controller process at a given time.
  struct ScheduledAction {
    double at = 0;
    std::size_t controller = 0;
    enum class ActionKind : std::uint8_t { kill, start, stop, resume } kind = ActionKind::kill;
  };

  void schedule_faults() {
    std::size_t next_controller = 0;
    for (const ScaleFault& fault : settings_.faults) {
      bool affects_all = fault.kind == ScaleFaultKind::controllers_killed;
      bool kills = affects_all || fault.kind == ScaleFaultKind::controller_killed;
      if (!kills && fault.kind != ScaleFaultKind::controller_stopped) continue;
      std::size_t count =
          affects_all ? settings_.controllers : std::min<std::size_t>(fault.count, settings_.controllers);
      for (std::size_t i = 0; i < count; ++i) {
        std::size_t controller_index = next_controller++ % settings_.controllers;
        actions_.push_back({started_at_ + fault.at_s, controller_index,
                            kills ? ScheduledAction::ActionKind::kill : ScheduledAction::ActionKind::stop});
        actions_.push_back(
            {started_at_ + fault.at_s + fault.duration_s, controller_index,
             kills ? ScheduledAction::ActionKind::start : ScheduledAction::ActionKind::resume});
      }
    }
  }

  void inject_due_faults(double now) {
    for (auto action = actions_.begin(); action != actions_.end();) {
      if (now < action->at) {
        ++action;
        continue;
      }
      ScaleProcess& process = controller(action->controller);
      switch (action->kind) {
        case ScheduledAction::ActionKind::kill:
          process.sample_usage(is_warmed_up_);
          process.kill();
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
    if (!is_warmed_up_ && now >= started_at_ + settings_.warm_up_s) {
      for (ScaleProcess& process : processes_) process.sample_usage(false);
      is_warmed_up_ = true;
      warmed_up_at_ = now;
      return;
    }
    for (ScaleProcess& process : processes_) {
      // A controller that ends unexpectedly counts as a violation and is not started again.
      if (!process.is_simulator() && process.has_ended_unexpectedly())
        unexpectedly_ended_.push_back(process.role());
      process.sample_usage(true);
    }
    measured_s_ = now - warmed_up_at_;
  }

  const ScaleSettings& settings_;
  const ScaleOptions& options_;
  ScaleAddresses addresses_;
  std::vector<ScaleProcess> processes_;
  std::vector<ScaleEvent> pending_events_;
  std::vector<ScheduledAction> actions_;
  std::vector<std::string> unexpectedly_ended_;
  std::unique_ptr<ScaleEvaluator> evaluator_;
  double started_at_ = 0, warmed_up_at_ = 0, measured_s_ = 0;
  bool is_warmed_up_ = false;
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

ScaleReport run_scale_simulation(const ScaleSettings& settings, const ScaleOptions& options) {
  if (::access(options.program.c_str(), X_OK) != 0) throw Error(options.program + ": not an executable file");
  InterruptGuard guard;
  return ScaleRun(settings, options).run();
}

}  // namespace oxbowmill::simulation
