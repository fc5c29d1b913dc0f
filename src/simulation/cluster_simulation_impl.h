// State of the simulated cluster, and what its controllers, cloud, users, agents and faults do in each step.
// Each of these has a source file of its own.
#pragma once

#include <algorithm>
#include <cmath>

#include "oxbowmill/service/admission.h"
#include "oxbowmill/service/status_query.h"
#include "oxbowmill/simulation/cluster_simulation.h"
#include "oxbowmill/simulation/invariant_checker.h"

namespace oxbowmill::simulation {

constexpr double step_s = 0.1;
constexpr double image_gb[] = {4, 6, 8, 10, 12};
constexpr double checkpoint_interval_s = 30, flush_s = 3;  // of all jobs
constexpr double wasted_return_window_s =
    60;  // a return of a machine was wasted if a scale-out follows within this time
constexpr double dead_machine_listing_delay_s = 30;  // until the list shows a dead machine as failed
constexpr double cloud_list_lag_s = 4;               // by which lists of machines are out of date

struct ClusterSimulation::Impl {
  struct ControllerProcess {
    std::unique_ptr<SimulatedController> controller;  // null while the process is down
    double restarts_at = -1, frozen_until = -1, next_renewal_at = 0, next_peer_update_at = 0,
           next_watch_at = 0, up_since = 0, without_state_until = -1, refused_until = -1, isolated_until = -1,
           registered_at = -1e9;
    bool state_loaded = false;
    std::map<std::uint32_t, double> acquire_at;
    std::array<std::deque<Write>, 6> write_queues;
    struct WriteResponse {
      double arrives_at;
      Write write;
      std::optional<StateStore::Result> result;
    };
    std::deque<WriteResponse> write_responses;
    TokenBucket change_budget{1, 1};
    std::set<std::uint32_t> lost_partitions;  // owned by the previous process; acquired again without delay
    struct PendingWatch {
      double response_at, opened_at;
      std::size_t event_count;
      std::uint64_t revision;
    };
    std::deque<PendingWatch> pending_watches;
    std::map<std::string, JobPhase>
        known_final_phases;  // final phases that this process has answered or read
    service::FirstAttempts first_attempts;
  };
  struct SimulatedMachine {
    std::unique_ptr<Agent> agent;
    std::uint32_t zone = 0;
    bool spot = false, alive = true, exists_in_cloud = false, has_received_task = false;
    double up_at = 0, created_at = 0, died_at = -1, hung_until = -1, next_report_at = 0,
           receives_nothing_until = -1, sends_nothing_until = -1, waits_for_response_until = -1;
    std::size_t controller = 0;
    std::uint64_t agent_epoch = 1;
    std::map<std::uint32_t, double> image_ready_at;  // by image
  };
  struct TaskRun {
    std::string machine_name, task_id;
    SimulatedMachine* machine = nullptr;
    double ready_at = 0, started_at = -1, waiting_for_gang_since = -1;
  };
  struct SimulatedJob {
    std::uint32_t class_index = 0, team = 0, tasks = 0, image = 0;
    double base_run_time_s = 0, gpus = 1;
    double run_time_increase = 0;  // added per task number, as a fraction of the base run time
    double run_time_s(TaskNumber task) const { return base_run_time_s * (1 + run_time_increase * task); }
    std::map<TaskNumber, TaskRun> runs;    // the tasks that are on machines
    std::map<TaskNumber, double> saved_s;  // progress saved in a checkpoint
    double gang_started_at = -1, gang_saved_s = 0, gang_lost_at = -1;
    std::set<TaskNumber> completed_tasks;
    double submitted_at = 0;
    std::map<TaskNumber, double>
        started_at;  // by task; only tasks that completed or ran for long enough to count as started
    void record_start(TaskNumber task, double at_s) { started_at.try_emplace(task, at_s); }
  };

  Impl(ClusterScenario simulated_scenario, SimulationVariant simulated_variant, std::uint64_t seed);
  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(random); }
  std::uint32_t pick(std::uint32_t n);
  std::string controller_name(std::size_t i) const { return "node-" + std::to_string(i); }

  Settings settings(std::size_t i) const;
  Names names() const;
  std::vector<MachineType> catalog() const;

  // --- Controllers.

  void start_controller(std::size_t i);
  void stop_controller(std::size_t i, double restart_at);
  void collect_suspicion_counts(const ControllerProcess& process);
  bool is_running(const ControllerProcess& process) const {
    return process.controller && now >= process.frozen_until;
  }

  void run_controller(std::size_t i);
  /// Opens a watch if one is due, and applies the watches whose response has arrived.
  void deliver_watch_responses(ControllerProcess& process, SimulatedController& controller, bool state_up);
  void renew_lease(ControllerProcess& process, SimulatedController& controller);
  void deliver_write_responses(ControllerProcess& process, SimulatedController& controller) const;
  void send_effects(std::size_t i, Effects out);
  /// Sends the reconciliation status of controller `i` to every controller that it can reach.
  void exchange_peer_status(std::size_t i);
  /// Sends the transaction and returns the response; none if the transaction or the response is lost.
  std::optional<StateStore::Result> send_write(const ControllerProcess& process,
                                               SimulatedController& controller, const Write& write);
  static void remember_final_phases(ControllerProcess& process, const SimulatedController& controller,
                                    const Write& write);
  void send_peer_status(const SimulatedController& from, SimulatedController& to) const;
  void publish_key(SimulatedController& controller, const Key& key);
  bool reaches_state(const ControllerProcess& process) const;
  double state_response_delay_s() const { return now < state_delay_until ? state_delay_s : 0; }
  bool chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(fault_random) < probability;
  }
  double draw(double a, double b) { return std::uniform_real_distribution<double>(a, b)(fault_random); }

  /// Whether the transaction gets no response and is applied later, after newer ones.
  bool delays_write(const Json& body);
  bool delays_next_write() { return now < delayed_writes_until && chance(delayed_writes_fraction); }
  /// Whether the transaction is applied and its response lost.
  bool loses_write_response() {
    return now < lost_write_responses_until && chance(lost_write_responses_fraction);
  }
  std::uint32_t zone_of(std::size_t node) const { return static_cast<std::uint32_t>(node) % scenario.zones; }
  bool is_isolated(std::uint32_t zone) const {
    return now < isolated_until && zone_names[zone] == isolated_zone;
  }
  /// Whether the controller and the machine are on the same side of a network partition.
  bool is_linked(std::size_t node, const SimulatedMachine& machine) const {
    return is_isolated(zone_of(node)) == is_isolated(machine.zone);
  }

  void revoke_previous_leases(ControllerProcess& process, SimulatedController& controller);
  void acquire_partitions(ControllerProcess& process, SimulatedController& controller);
  void send_queued_writes(ControllerProcess& process, SimulatedController& controller);
  bool loses_next(SimulatedController& controller, const Write& write);

  // --- The cloud.

  void add_machine(std::uint32_t zone, bool spot, bool at_start);

  struct CloudCall {
    std::size_t controller;
    double sent_at;
    ScaleOutRequest scale_out;
    std::vector<MachineIndex> deletions;
    bool is_list;
  };

  void serve_cloud_calls();
  void scale_out(const ScaleOutRequest& request, Autoscaler& autoscaler);
  /// Creates as many of the requested machines as the cloud has capacity for, and returns their names.
  std::vector<std::string> create_machines(const ScaleOutRequest& request);
  void delete_machine(const std::string& name);
  std::vector<ListedMachine> list_machines();

  // --- Users.

  void submit(std::uint32_t class_index);
  /// The user of one job, who submits it, polls it every 5 s and may withdraw it. Each request goes to a
  /// random controller.
  struct User {
    std::string ref;
    Json body;  // of the submission request
    double next_request_at = 0, withdraw_at = 1e18, query_until = -1;
    bool accepted = false;
    bool finished = false;  // sends no more requests
    bool withdrawn = false, has_final_answer = false;
  };

  void tick_users();
  /// Sends a request of the user to controller `k` and returns the answer.
  enum class RequestKind { submission, status, withdrawal };
  JobAnswer send_request(std::size_t k, User& user, RequestKind kind);
  void record_answer(User& user, JobAnswer answer) const;
  void query_all_controllers(User& user);
  void send_invalid_request();
  User* find_user(const std::string& ref);
  std::map<std::string, InvariantChecker::UsableMachine> usable_machines() const;
  service::KeyReadResult read(const ControllerProcess& process, const std::string& key, Json* value = nullptr,
                              std::uint64_t* revision = nullptr) const;
  JobAnswer run_query(ControllerProcess& process, const std::string& ref, service::StatusQuery& query,
                      service::QueryStep step, Json* value = nullptr,
                      std::uint64_t* revision = nullptr) const;
  static JobAnswer answer_user(ControllerProcess& process, const std::string& ref, JobPhase phase);
  JobAnswer poll(ControllerProcess& process, const std::string& ref) const;
  std::optional<StateStore::Result> user_txn(const ControllerProcess& process, const Json& body);
  JobAnswer submit(ControllerProcess& process, const User& user);
  JobAnswer withdraw(ControllerProcess& process, const User& user);

  // --- Agents.

  static std::pair<std::string, TaskNumber> split_task_id(const std::string& id);
  bool reachable(const SimulatedMachine& machine) const;
  void deliver(std::size_t node, const DirectCommands& commands);
  void command(std::map<std::string, SimulatedMachine>::iterator machine_it, const DirectCommands& commands);
  void report(const std::string& name, SimulatedMachine& machine);
  void handle_response(const std::string& name, SimulatedMachine& machine, const ReportAnswer& response);
  /// Records tasks that have just started or stopped on this agent.
  void record_task_changes(const std::string& name, SimulatedMachine& machine);
  double run_time_since_start_s(const SimulatedJob& job, const TaskRun& run) const;
  /// Records that the task is no longer on its machine. Unless `saved` is set, progress since its last
  /// checkpoint is lost.
  void on_task_stopped(SimulatedJob& job, TaskNumber task, bool saved);
  void lose_all_tasks(const std::string& name, SimulatedMachine& machine);
  void tick_agents();
  void tick_tasks();
  /// Whether the task is on its machine and its image has been fetched. If the machine hangs, also postpones
  /// the end of the task by a step.
  bool is_ready(TaskRun& run) const;
  /// Starts the task or continues it; returns true if it ends now.
  bool advance_array_task(SimulatedJob& job, TaskNumber task, TaskRun& run);
  /// Lets a member of a gang whose image has been fetched wait for the others; returns true if it has waited
  /// for too long.
  bool wait_for_gang(const SimulatedJob& job, TaskRun& run) const;
  void tick_gang(SimulatedJob& job, bool all_ready, std::vector<TaskNumber>& ended);
  void finish(SimulatedJob& job, TaskNumber task, EndCause cause);
  void count_gpus(const SimulatedJob& job, std::size_t tasks);

  // --- Faults and invariants.

  std::size_t owner_of_most_machines() const;
  /// Returns up to `count` machines that are up, chosen at random by the seed.
  std::vector<std::string> pick_machines(std::uint32_t count);
  void kill_machine(const std::string& name);
  void apply(const Fault& fault);
  /// Each of these injects the fault if it is of its kind, and returns whether it was.
  bool apply_to_controllers(const Fault& fault);
  bool apply_to_services(const Fault& fault);
  bool apply_to_machines(const Fault& fault);
  bool apply_to_jobs(const Fault& fault);
  void apply_to_messages(const Fault& fault);
  /// Number of machines that the fault affects: its count or, if that is 0, its fraction of the cloud's
  /// machines.
  std::uint32_t machine_count(const Fault& fault) const;
  void finish_all_tasks();
  void cancel_jobs(double fraction);
  void cancel_jobs_and_hang_machines(const Fault& fault);
  void kill_gang_members(std::uint32_t count);
  void tick_faults();
  /// Delivers the retained reports to every controller when a partition gets a new owner.
  void replay_reports();
  template <class T>
  struct Delayed {
    double at;
    T value;
  };
  struct ReportCopy {
    double at;
    std::size_t controller;
    AgentReport report;
  };
  template <class T>
  struct DelayedMessage {
    double at;
    std::string machine_name;
    T message;
  };
  /// Calls the handler with every item that is due and removes the item unless the handler returns false.
  template <class T, class Fn>
  void each_due(std::vector<T>& all, Fn handler) {
    auto due = std::move(all);
    all.clear();
    for (T& item : due) {
      if (item.at > now || !handler(item)) all.push_back(std::move(item));
    }
  }

  /// End of the last fault, in seconds of simulated time.
  double faults_end() const;
  SecondSample& current_sample() { return result.samples.back(); }

  ClusterResult run();
  /// Counts, for each job that was accepted and not withdrawn, whether it has started and how long that took.
  void count_served();
  void record_reconciled();

  ClusterScenario scenario;
  SimulationVariant variant;
  std::mt19937_64 random;
  double now = 0;
  static constexpr double wall_clock_offset_s =
      1e-6;  // negligibly small; not 0, which stands for an unknown offset
  std::vector<std::string> zone_names;
  StateStore store;
  RunLog run_log;
  std::mt19937_64
      fault_random;  // separate from `random`, so that faults do not change which jobs are submitted
  TokenBucket write_budget, cloud_budget;
  InvariantChecker invariants;
  std::vector<User> users;
  std::vector<Delayed<Json>> delayed_writes;
  std::vector<ReportCopy> report_copies;
  std::vector<DelayedMessage<DirectCommands>> delayed_commands;
  std::vector<DelayedMessage<ReportAnswer>> delayed_responses;
  double lost_write_responses_fraction = 0, lost_write_responses_until = -1, replay_fraction = 0,
         replay_until = -1, isolated_until = -1, end_cancels_fraction = 0, end_cancels_until = -1,
         repeated_queries_until = -1, invalid_requests_until = -1, fast_boots_until = -1,
         next_invalid_request_at = 0, max_response_delay_s = 6;
  std::vector<AgentReport> retained_reports;
  std::map<std::uint32_t, Revision>
      ownership_revisions;  // revision of the latest ownership seen, by partition
  std::uint64_t invalid_request_count = 0;
  std::string isolated_zone;
  double delayed_writes_fraction = 0, delayed_writes_until = -1, duplicate_reports_fraction = 0,
         duplicate_reports_until = -1, delayed_responses_fraction = 0, delayed_responses_until = -1,
         state_delay_s = 0, state_delay_until = -1, next_unknown_job_query_at = 0;
  std::vector<ControllerProcess> controllers;
  std::map<std::string, SimulatedMachine> machines;
  std::map<std::string, SimulatedJob> jobs;
  std::deque<CloudCall> cloud_calls;
  std::vector<double> return_times;
  std::vector<Fault> faults;
  std::vector<AgentReport> delayed_reports;
  std::uint32_t reports_to_delay = 0, cloud_machine_count = 0, cloud_spot_machine_count = 0;
  std::uint64_t submitted_jobs = 0;
  double delayed_reports_due_at = 0, state_outage_until = 0, state_slow_until = 0, cloud_outage_until = -1,
         cut_off_until = -1, first_fault_at = 1e9;
  std::string cut_off_zone;
  ClusterResult result;
};

}  // namespace oxbowmill::simulation
