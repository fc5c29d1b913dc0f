// Thousands of simulated agents in one process of a scale run, and the cloud that rents their machines.
// Reports, leases, epochs, fencing tokens and images are as on real machines and travel over HTTP; a task is
// a timer. It owns the simulated machines, their agents and the tasks on them. One thread: that of its event
// loop.
#pragma once

#include <memory>
#include <queue>
#include <random>
#include <set>

#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/net/http.h"
#include "oxbowmill/simulation/agent.h"
#include "oxbowmill/simulation/scale_event.h"
#include "oxbowmill/simulation/scale_settings.h"
#include "oxbowmill/wire/codec.h"

namespace oxbowmill::simulation {

/// Loopback addresses at which the processes of a scale run listen, by number of the controller or machine.
struct ScaleAddresses {
  std::uint16_t port = 0;  ///< the same at each address
  /// Where controller `i` serves users and agents.
  net::Address controller(std::size_t i) const;
  /// Where controller `i` serves other controllers.
  net::Address peer(std::size_t i) const;
  /// The state service.
  net::Address state() const;
  /// The cloud.
  net::Address cloud() const;
  /// Where the agent of machine `i` accepts commands.
  net::Address worker(std::size_t i) const;
};
/// Name of controller `i`.
std::string scale_controller_name(std::size_t i);
/// Name of zone `i`.
std::string scale_zone_name(std::size_t i);
/// Name of machine `i`.
std::string scale_machine_name(std::size_t i);
/// Inverse of `scale_machine_name`; throws std::invalid_argument where the name has no number.
std::size_t scale_machine_number(const std::string& name);

/// Plays all agents and the cloud of a scale run from its construction on, on the given event loop.
class AgentSimulator {
 public:
  /// References and `base` have to outlive it; `now`: steady clock, in seconds. Throws where the cloud's
  /// address cannot be bound.
  AgentSimulator(event_base* base, const ScaleSettings& settings, const ScaleAddresses& addresses,
                 ScaleEventWriter& events, std::function<double()> now);
  ~AgentSimulator();

 private:
  struct TaskRun {
    TaskNumber task = 0;
    Attempt attempt = 0;
    double ready_at = 0, waiting_for_gang_since = -1, started_at = -1, ends_at = 1e18;
  };
  struct SimulatedAgent;
  /// Members of one attempt of a gang, by task.
  struct Gang {
    Attempt attempt = 0;
    std::map<TaskNumber, std::size_t> members;  // number of each member's machine
    bool running = false;
    double lost_at = -1;
  };
  struct TimedEvent {
    double at = 0;
    std::size_t machine = 0;
    std::string task_id;
    Attempt attempt = 0;
    friend bool operator>(const TimedEvent& a, const TimedEvent& b) { return a.at > b.at; }
  };
  struct Counts {
    double reports = 0, report_bytes = 0, answer_bytes = 0, unanswered = 0, commands = 0, command_bytes = 0;
    double max_lateness_s = 0;  // greatest delay of the loop since it was last reported
  };
  /// Returns the machine's name.
  std::string add_machine(std::size_t zone, double up_at);
  void power_off(SimulatedAgent& hollow);
  void tick();
  void tick_machine(SimulatedAgent& hollow, double now);
  void send_report(SimulatedAgent& hollow, double now);
  void on_answer(SimulatedAgent& hollow, const net::Response& response);
  void on_command(SimulatedAgent& hollow, net::Request&& request);
  /// Follows which tasks the last commands have started and stopped on the agent.
  void sync_tasks(SimulatedAgent& hollow);
  void start_run(SimulatedAgent& hollow, const std::string& id, const TaskReport& task);
  void end_run(SimulatedAgent& hollow, const std::string& id, const TaskRun& run, bool saved);
  void on_due(const TimedEvent& event, double now);
  void on_image_ready(SimulatedAgent& hollow, const std::string& id, TaskRun& run, double now);
  void begin_running(SimulatedAgent& hollow, const std::string& id, TaskRun& run, double now);
  void on_member_ready(SimulatedAgent& hollow, const std::string& id, TaskRun& run, double now);
  void finish(SimulatedAgent& hollow, const std::string& id, EndCause cause);
  void schedule_report(SimulatedAgent& hollow, double now);
  void apply(const ScaleFault& fault, double now);
  std::vector<SimulatedAgent*> pick_machines(std::uint32_t count);
  void serve_cloud(net::Request&& request);
  wire::Json catalog() const;
  wire::Json scale_out(const wire::Json& body);
  wire::Json list(const std::string& query) const;
  void write_counts();
  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(random_); }

  event_base* base_;
  const ScaleSettings& settings_;
  ScaleAddresses addresses_;
  ScaleEventWriter& events_;
  std::function<double()> now_;
  std::mt19937_64 random_;
  RunLog log_;
  std::map<std::size_t, std::unique_ptr<SimulatedAgent>> machines_;  // by number
  std::vector<std::size_t> next_in_zone_;
  std::map<std::string, Gang> gangs_;
  std::set<std::string> finished_tasks_;
  std::map<std::string, double> saved_s_;
  std::map<std::string, wire::Json> scale_outs_;
  std::priority_queue<TimedEvent, std::vector<TimedEvent>, std::greater<>> timed_events_;
  std::vector<net::ResponderPtr> unanswered_commands_;  // commands to machines that are cut off
  std::vector<ScaleFault> faults_;
  Counts counts_;
  std::size_t alive_ = 0;
  double began_at_ = 0, expected_tick_ = 0, next_counts_at_ = 0;
  TokenBucket cloud_calls_;
  net::Timer timer_;
  std::unique_ptr<net::HttpServer> cloud_;
};

}  // namespace oxbowmill::simulation
