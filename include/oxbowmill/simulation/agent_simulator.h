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
    double member_lost_at = -1;  // when the first member stopped after the start; below 0: none has
  };
  /// Makes `on_timed_event` examine a task at a given time.
  struct TimedEvent {
    double at = 0;
    std::size_t machine = 0;
    std::string task_id;
    Attempt attempt = 0;
    friend bool operator>(const TimedEvent& a, const TimedEvent& b) { return a.at > b.at; }
  };
  struct Counts {
    double reports = 0, report_bytes = 0, answer_bytes = 0, unanswered_reports = 0, commands = 0,
           command_bytes = 0;
    double max_lateness_s = 0;  // longest delay of a tick since the counters were last written
  };
  /// Adds a machine whose agent is up from `booted_at` on; returns the machine's name.
  std::string add_machine(std::size_t zone, double booted_at);
  void power_off(SimulatedAgent& agent);
  void tick();
  void tick_machine(SimulatedAgent& agent, double now);
  void send_report(SimulatedAgent& agent, double now);
  void on_report_response(SimulatedAgent& agent, const net::Response& response);
  void on_commands(SimulatedAgent& agent, net::Request&& request);
  /// Starts and ends runs to match the tasks that the agent has after executing commands.
  void sync_tasks(SimulatedAgent& agent);
  /// Starts the image download of a task that a command has started.
  void start_run(SimulatedAgent& agent, const std::string& id, const TaskReport& task);
  /// Removes a run whose task was stopped before it finished, and makes the other members of its gang end.
  /// `saved`: a checkpoint keeps the progress.
  void end_run(SimulatedAgent& agent, const std::string& id, const TaskRun& run, bool saved);
  void on_timed_event(const TimedEvent& event, double now);
  void on_image_ready(SimulatedAgent& agent, const std::string& id, TaskRun& run, double now);
  void begin_running(SimulatedAgent& agent, const std::string& id, TaskRun& run, double now);
  void on_gang_member_ready(SimulatedAgent& agent, const std::string& id, TaskRun& run, double now);
  /// Ends the task from the machine's side and makes the agent report the cause.
  void finish_task(SimulatedAgent& agent, const std::string& id, EndCause cause);
  void schedule_report(SimulatedAgent& agent, double now);
  void inject_fault(const ScaleFault& fault, double now);
  std::vector<SimulatedAgent*> choose_machines(std::uint32_t count);
  void serve_cloud(net::Request&& request);
  wire::Json catalog() const;
  wire::Json scale_out(const wire::Json& body);
  wire::Json list_machines(const std::string& query) const;
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
  // Run time in seconds that checkpoints hold, by task id.
  std::map<std::string, double> checkpointed_run_s_;
  // Responses by request id, so that a retried request rents no further machines.
  std::map<std::string, wire::Json> scale_out_responses_;
  std::priority_queue<TimedEvent, std::vector<TimedEvent>, std::greater<>> timed_events_;
  // Commands that reached disconnected machines; they get no response.
  std::vector<net::ResponderPtr> unanswered_commands_;
  std::vector<ScaleFault> pending_faults_;  // not injected yet
  Counts counts_;
  std::size_t alive_machines_ = 0;
  double started_at_ = 0, expected_tick_ = 0, next_counts_at_ = 0;
  TokenBucket cloud_call_limiter_;
  net::Timer timer_;
  std::unique_ptr<net::HttpServer> cloud_;
};

}  // namespace oxbowmill::simulation
