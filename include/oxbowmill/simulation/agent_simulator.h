// Simulates thousands of agents in one process of a scale run, and the cloud API that rents out their
// machines. The agents follow the same protocol as real ones (reports, leases, agent epochs, fencing tokens,
// image downloads) over HTTP, but a task is only a timer. AgentSimulator owns the simulated machines, their
// agents and their tasks. All code runs on the thread of the event loop.
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

/// Loopback addresses on which the processes of a scale run listen. Controllers and machines are numbered
/// from 0.
struct ScaleAddresses {
  std::uint16_t port = 0;  ///< used by every process; their IP addresses differ
  /// Address on which controller `i` serves users and agents.
  net::Address controller(std::size_t i) const;
  /// Address on which controller `i` serves its peers.
  net::Address peer(std::size_t i) const;
  /// Address of the state service.
  net::Address state() const;
  /// Address of the cloud API.
  net::Address cloud() const;
  /// Address on which the agent of machine `i` accepts commands.
  net::Address worker(std::size_t i) const;
};
/// Name of controller `i`.
std::string scale_controller_name(std::size_t i);
/// Name of zone `i`.
std::string scale_zone_name(std::size_t i);
/// Name of machine `i`.
std::string scale_machine_name(std::size_t i);
/// Inverse of `scale_machine_name`. Throws std::invalid_argument if the name contains no number.
std::size_t scale_machine_number(const std::string& name);

/// Simulates all agents and the cloud of a scale run on the given event loop, starting with its
/// construction.
class AgentSimulator {
 public:
  /// `base`, `settings` and `events` must outlive this object. `now` returns the steady clock's time in
  /// seconds. Throws if the cloud's address cannot be bound.
  AgentSimulator(event_base* base, const ScaleSettings& settings, const ScaleAddresses& addresses,
                 ScaleEventWriter& events, std::function<double()> now);
  ~AgentSimulator();

 private:
  /// A task on a machine. Times are in seconds; below 0 means that it has not happened yet.
  struct TaskRun {
    TaskNumber task = 0;
    Attempt attempt = 0;
    double ready_at = 0,              // when the image is downloaded
        waiting_for_gang_since = -1,  // gang members only
        started_at = -1, ends_at = 1e18;
  };
  struct SimulatedAgent;
  /// State of the present attempt of a gang.
  struct Gang {
    Attempt attempt = 0;
    std::map<TaskNumber, std::size_t> members;  // machine number by task
    bool running = false;
    double lost_at = -1;  // when the first member stopped after the start; below 0: none has
  };
  /// Makes `on_due` examine a task at a given time.
  struct TimedEvent {
    double at = 0;
    std::size_t machine = 0;
    std::string task_id;
    Attempt attempt = 0;
    friend bool operator>(const TimedEvent& a, const TimedEvent& b) { return a.at > b.at; }
  };
  struct Counts {
    double reports = 0, report_bytes = 0, answer_bytes = 0, unanswered = 0, commands = 0, command_bytes = 0;
    double max_lateness_s = 0;  // longest delay of a tick since the counters were last written
  };
  /// Adds a machine whose agent is up from `up_at` on; returns the machine's name.
  std::string add_machine(std::size_t zone, double up_at);
  void power_off(SimulatedAgent& hollow);
  void tick();
  void tick_machine(SimulatedAgent& hollow, double now);
  void send_report(SimulatedAgent& hollow, double now);
  void on_answer(SimulatedAgent& hollow, const net::Response& response);
  void on_command(SimulatedAgent& hollow, net::Request&& request);
  /// Starts and ends runs to match the tasks that the agent has after executing commands.
  void sync_tasks(SimulatedAgent& hollow);
  /// Starts the image download of a task that a command has started.
  void start_run(SimulatedAgent& hollow, const std::string& id, const TaskReport& task);
  /// Removes a run whose task was stopped before it finished, and makes the other members of its gang end.
  /// `saved`: a checkpoint keeps the progress.
  void end_run(SimulatedAgent& hollow, const std::string& id, const TaskRun& run, bool saved);
  void on_due(const TimedEvent& event, double now);
  void on_image_ready(SimulatedAgent& hollow, const std::string& id, TaskRun& run, double now);
  void begin_running(SimulatedAgent& hollow, const std::string& id, TaskRun& run, double now);
  void on_member_ready(SimulatedAgent& hollow, const std::string& id, TaskRun& run, double now);
  /// Ends the task from the machine's side and makes the agent report the cause.
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
  std::vector<std::size_t> next_in_zone_;                            // number of machines ever added, by zone
  std::map<std::string, Gang> gangs_;                                // by job
  std::set<std::string> finished_tasks_;                             // task ids
  std::map<std::string, double> saved_s_;         // run time that checkpoints hold, in seconds, by task id
  std::map<std::string, wire::Json> scale_outs_;  // responses by request id, so that a retry rents no more
  std::priority_queue<TimedEvent, std::vector<TimedEvent>, std::greater<>> timed_events_;
  std::vector<net::ResponderPtr>
      unanswered_commands_;         // commands received by disconnected machines; they get no response
  std::vector<ScaleFault> faults_;  // not injected yet
  Counts counts_;
  std::size_t alive_ = 0;
  double began_at_ = 0, expected_tick_ = 0, next_counts_at_ = 0;
  TokenBucket cloud_calls_;
  net::Timer timer_;
  std::unique_ptr<net::HttpServer> cloud_;
};

}  // namespace oxbowmill::simulation
