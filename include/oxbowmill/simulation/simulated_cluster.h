// Runs the decisions of controllers on a simulated clock, connected without sockets to the simulated state
// service, agents and markets. A simulated controller owns its replica, lease, scheduler and the components
// that were enabled; a simulated cluster owns its controllers, its agents and the stored state. For use by
// one thread.
#pragma once

#include <deque>
#include <memory>

#include "oxbowmill/autoscaling/autoscaler.h"
#include "oxbowmill/market/bidding_service.h"
#include "oxbowmill/reconciliation/reconciler.h"
#include "oxbowmill/release_calendar/release_coordinator.h"
#include "oxbowmill/service/write_queue.h"
#include "oxbowmill/serving/model_autoscaler.h"
#include "oxbowmill/simulation/agent.h"
#include "oxbowmill/simulation/simulated_market.h"
#include "oxbowmill/simulation/state_store.h"

namespace oxbowmill::simulation {

/// What happens to a controller's next transactions: applied with a response, applied but the response is
/// lost, or lost before they reach the state service.
enum class WriteOutcome { answered, answer_lost, not_arrived };

/// Settings of a small cluster for the controller `controller_name`.
Settings test_settings(const std::string& controller_name);
/// Partitions, zones, machine types, images and classes that match `test_settings`.
Names test_names();
/// A catalog with one machine type, which is available in two zones.
std::vector<MachineType> test_catalog();

/// The outcome of a transaction with this response; unknown if there is no response.
TransactionOutcome outcome_of(const std::optional<StateStore::Result>& result);

/// One controller without I/O. Times are in seconds on the caller's clock.
class SimulatedController {
 public:
  /// `state` must outlive the controller.
  SimulatedController(std::string name, StateStore& state, Settings settings, Names names = test_names(),
                      std::vector<MachineType> catalog = test_catalog());

  /// Reads all keys, as a controller does after its start.
  void load_state(double now);
  /// Applies all changes up to now, as if the watch had delivered them.
  void sync(double now) { apply_events_up_to(store_.events().size(), store_.revision(), now, now); }
  /// Applies the first `count` changes since the start of the state service, up to `revision`, as the
  /// response to a watch that was opened at `opened_at`.
  void apply_events_up_to(std::size_t count, std::uint64_t revision, double opened_at, double now);
  /// Writes the ownership of a partition under the controller's lease, which is granted first if it has none.
  /// Returns false if the partition has an owner or the state service refuses.
  bool acquire_partition(PartitionIndex partition, double now);
  /// Calls `acquire_partition` for each partition.
  void acquire_all_partitions(double now);
  /// Renews the controller lease if it has not expired in the state service.
  void renew(double now);
  /// Runs one scheduling cycle: decides, sends all transactions and market calls, and collects the direct
  /// commands and the requests to the cloud.
  void run_cycle(double now);
  /// Runs the decisions of a cycle and returns their effects, without sending anything.
  Effects decide(double now);
  /// Encodes a transaction by the present replica; later sends and retries use that encoding.
  void queue_write(const Write& write) { write_queue_.get_or_create(write, cluster_state); }
  /// Sends one transaction and returns the response; none if the transaction does not arrive.
  std::optional<StateStore::Result> send(const Write& write);
  /// Applies the outcome of a transaction as the controller sees it.
  void on_write_result(const Write& write, TransactionOutcome outcome, Revision revision, double now);
  /// Handles an agent's report and returns the response.
  ReportAnswer handle_report(const AgentReport& report, double now);
  /// Enables reconciliation after failovers, as `deploy/recovery.yaml` does.
  void enable_reconciliation(const reconciliation::Settings& settings);
  /// Enables coordinated releases by this calendar and the scaling of these models.
  void enable_decisions(release_calendar::ReleaseCalendar calendar, serving::Settings models = {});
  /// Enables bidding on these markets and adds their names to the replica's names. `markets` must outlive the
  /// controller.
  void enable_markets(const market::Settings& settings, std::vector<SimulatedMarket>& markets);

  std::string name;            ///< name of the controller
  ClusterState cluster_state;  ///< its replica of the records
  ControllerLease lease;       ///< its controller lease, from which its authority follows
  Scheduler scheduler;         ///< schedules its partitions
  Autoscaler autoscaler;       ///< acts only on the leader
  WriteOutcome write_outcome = WriteOutcome::answered;  ///< what happens to the next transactions
  std::vector<Json> lost_writes;  ///< bodies of transactions that did not arrive; a test may apply them later
  std::deque<DirectCommands> direct_commands;    ///< commands not yet delivered to agents
  std::vector<ScaleOutRequest> scale_outs;       ///< requests to the cloud
  std::vector<MachineIndex> machines_to_delete;  ///< machines whose deletion was requested from the cloud
  int refused_writes = 0;                        ///< transactions refused by a guard
  std::unique_ptr<market::BiddingService> bidding_service;  ///< null: markets are not enabled
  std::unique_ptr<reconciliation::Reconciler> reconciler;   ///< null: reconciliation is not enabled
  std::unique_ptr<decisions::DecisionLog> decision_log;     ///< null: decisions are not enabled
  std::unique_ptr<release_calendar::ReleaseCoordinator>
      release_coordinator;                                     ///< null: decisions are not enabled
  std::unique_ptr<serving::ModelAutoscaler> model_autoscaler;  ///< null: no models are enabled

 private:
  StateStore& store_;
  std::size_t events_applied_ = 0;
  double watch_opened_at_ = 0;
  service::WriteQueue write_queue_;
  decisions::CombinedConstraints combined_constraints_;
  std::vector<SimulatedMarket>* markets_ = nullptr;
};

/// Controllers, a state service and agents for tests. Only `run`, `fail_over` and the test itself move the
/// clock.
class SimulatedCluster {
 public:
  /// Creates `controllers` controllers, the first of which owns all partitions.
  explicit SimulatedCluster(int controllers = 2);
  /// The controller with this index. Throws std::out_of_range if there is none.
  SimulatedController& controller(std::size_t i) { return *controllers_.at(i); }
  /// Adds a machine with its agent and with a record in this partition.
  void add_machine(const std::string& name, const std::string& zone = "a",
                   const std::string& partition = "red", bool spot = false);
  /// Adds a machine whose agent reports although the machine has no record.
  void add_unregistered_machine(const std::string& name, const std::string& zone = "a");
  /// Adds a market on which all controllers bid; the machines that it delivers report.
  void add_market(const simulation::MarketBehavior& behavior);
  std::vector<SimulatedMarket> markets;  ///< the markets added
  market::Settings market_settings;      ///< bidding settings; `add_market` adds its market to them
  /// The agent of a machine. Throws std::out_of_range if there is none.
  Agent& agent(const std::string& name) { return *agents_.at(name); }
  /// Stores a job with the present time as its submission time.
  void submit(JobSpec spec);
  /// Withdraws a job as its user does. Returns the HTTP status of the transaction, 404 if there is no such
  /// job.
  int withdraw(const std::string& ref);
  /// Sends one report of an agent to controller `n` and returns the response, which does not reach the
  /// agent if `response_lost` is set.
  ReportAnswer exchange_report(const std::string& name, std::size_t n, bool response_lost = false);
  /// For `seconds`, runs a cycle of controller `n` every half second and then lets all agents that are not
  /// silenced report to it.
  void run(double seconds, std::size_t n = 0);
  /// Revokes the controller lease of controller `n`.
  void kill_controller(std::size_t n);
  /// Ends controller `from`; `to` acquires all partitions `after_s` seconds later.
  void fail_over(std::size_t from, std::size_t to, double after_s);
  /// Registers controller `n` under a new controller lease that does not expire in a test; returns its id.
  std::uint64_t register_controller(std::size_t n);
  /// The stored phase of a job; "none" if the job is not stored.
  std::string phase(const std::string& ref) const;
  /// The machines on which the task has a stored placement.
  std::vector<std::string> machines_of_task(const std::string& ref, TaskNumber task) const;

  StateStore store;                       ///< the state service
  RunLog run_log;                         ///< task starts and ends on all agents
  double now = 1000;                      ///< the clock, in seconds
  std::set<std::string> silenced_agents;  ///< machines whose agents neither send nor receive
  /// Reports, responses and direct commands over the protocol's size limit; agents take none of these.
  std::size_t oversized_messages = 0;

 private:
  void deliver_direct_commands(SimulatedController& controller);

  std::vector<std::unique_ptr<SimulatedController>> controllers_;
  std::map<std::string, std::unique_ptr<Agent>> agents_;
};

/// A job in the first partition of `test_names` after the idle pool, with `gpus` GPUs for each task.
JobSpec test_job(const std::string& ref, std::uint32_t tasks, double gpus = 1);

}  // namespace oxbowmill::simulation
