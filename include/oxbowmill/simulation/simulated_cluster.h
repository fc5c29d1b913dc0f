// Controllers' decisions on a simulated clock, connected without sockets to the simulated state service,
// agents and markets. A simulated controller owns its replica, lease, scheduler and what was enabled; a
// simulated cluster owns its controllers, agents and the stored state. One thread.
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

/// What happens to a controller's next transactions: applied and answered, applied without an answer, or
/// lost on the way.
enum class WriteOutcome { answered, answer_lost, not_arrived };

/// Settings of a small cluster, for the controller with this name.
Settings test_settings(const std::string& node);
/// Teams, zones, types, images and classes that go with `test_settings`.
Names test_names();
/// One machine type in two zones.
std::vector<MachineType> test_catalog();

/// The outcome of a transaction by its response; none: unknown.
TransactionOutcome outcome_of(const std::optional<StateStore::Result>& r);

/// One controller without I/O. Times are in seconds on the caller's clock.
class SimulatedController {
 public:
  /// `state` has to outlive it.
  SimulatedController(std::string name, StateStore& state, Settings settings, Names names = test_names(),
                      std::vector<MachineType> catalog = test_catalog());

  /// Reads all keys, as a controller does that has just started.
  void load_state(double now);
  /// Applies all changes up to now, as if its watch had delivered them.
  void sync(double now) { apply_events_up_to(store_.events().size(), store_.revision(), now, now); }
  /// Applies the first `count` changes, up to `revision`, as the response to a watch that was opened at
  /// `asked`.
  void apply_events_up_to(std::size_t count, std::uint64_t revision, double asked, double now);
  /// Writes the ownership of a partition, under a controller lease granted where it has none; false where
  /// the partition has an owner or the state service refuses.
  bool acquire_partition(PartitionIndex partition, double now);
  /// `acquire_partition` for each partition.
  void acquire_all_partitions(double now);
  /// Renews its controller lease, where the state service still has it.
  void renew(double now);
  /// One cycle: decides, and sends all transactions, market calls and direct commands.
  void run_cycle(double now);
  /// The first half of a cycle: the effects, with nothing sent yet.
  Effects decide(double now);
  /// Encodes a transaction by the present replica; it is sent so, however late.
  void queue_write(const Write& write) { write_queue_.get_or_create(write, cluster_state); }
  /// Sends one transaction; none where it does not arrive.
  std::optional<StateStore::Result> send(const Write& write);
  /// Applies the outcome of a transaction, as its sender sees it.
  void on_write_result(const Write& write, TransactionOutcome outcome, Revision revision, double now);
  /// The response to an agent's report.
  ReportAnswer handle_report(const AgentReport& report, double now);
  /// Reconciles after failovers from now on, as `deploy/recovery.yaml` switches it on.
  void enable_reconciliation(const reconciliation::Settings& settings);
  /// Follows this calendar and scales these models from now on.
  void enable_decisions(release_calendar::ReleaseCalendar calendar, serving::Settings models = {});
  /// Bids on these markets from now on; their names are added to the replica's. `markets` has to outlive
  /// it.
  void enable_markets(const market::Settings& settings, std::vector<SimulatedMarket>& markets);

  std::string name;                                     ///< the controller's
  ClusterState cluster_state;                           ///< its replica
  ControllerLease lease;                                ///< its authority
  Scheduler scheduler;                                  ///< of its partitions
  Autoscaler autoscaler;                                ///< acts where it is the leader
  WriteOutcome write_outcome = WriteOutcome::answered;  ///< of the next transactions
  std::vector<Json> lost_writes;                 ///< bodies of transactions that have not arrived (yet)
  std::deque<DirectCommands> direct_commands;    ///< not yet delivered to agents
  std::vector<ScaleOutRequest> scale_outs;       ///< requests to the cloud
  std::vector<MachineIndex> machines_to_delete;  ///< deletions requested of the cloud
  int refused_writes = 0;                        ///< transactions refused by a guard
  std::unique_ptr<market::BiddingService> bidding_service;  ///< null: markets are not enabled
  std::unique_ptr<reconciliation::Reconciler> reconciler;   ///< null: reconciliation is not enabled
  std::unique_ptr<decisions::DecisionLog> decision_log;     ///< null: decisions are not enabled
  std::unique_ptr<release_calendar::ReleaseCoordinator> release_planner;  ///< null: decisions are not enabled
  std::unique_ptr<serving::ModelAutoscaler> model_autoscaler;             ///< null: no models are enabled

 private:
  StateStore& store_;
  std::size_t events_applied_ = 0;
  double watch_opened_at_ = 0;
  service::WriteQueue write_queue_;
  decisions::CombinedConstraints combined_constraints_;
  std::vector<SimulatedMarket>* markets_ = nullptr;
};

/// Controllers, a state service and agents, for tests; time moves only by `run` and `fail_over`.
class SimulatedCluster {
 public:
  /// The first controller owns all partitions.
  explicit SimulatedCluster(int controllers = 2);
  /// Throws std::out_of_range where there is none.
  SimulatedController& controller(std::size_t i) { return *controllers_.at(i); }
  /// A machine with its record in this partition, and its agent.
  void add_machine(const std::string& name, const std::string& zone = "a",
                   const std::string& partition = "red", bool spot = false);
  /// A machine that reports without a record.
  void add_unregistered_machine(const std::string& name, const std::string& zone = "a");
  /// All controllers bid on this market; machines that it delivers report.
  void add_market(const simulation::MarketBehavior& c);
  std::vector<SimulatedMarket> markets;  ///< those added
  market::Settings market_settings;      ///< for the next `add_market`
  /// The agent of a machine; throws std::out_of_range where there is none.
  Worker& worker(const std::string& name) { return *workers_.at(name); }
  /// Stores a job, submitted now.
  void submit(JobSpec spec);
  /// The user's withdrawal; returns the status of its transaction, 404 where there is no such job.
  int withdraw(const std::string& ref);
  /// One report of an agent to controller `node` and its response; `lost`: the response does not arrive.
  ReportAnswer exchange_report(const std::string& name, std::size_t node, bool lost = false);
  /// Cycles of controller `n` and reports to it from all agents that are not silenced, each half a second,
  /// for `seconds`.
  void run(double seconds, std::size_t n = 0);
  /// Revokes the controller lease of controller `n`.
  void kill_controller(std::size_t n);
  /// Controller `from` ends; `to` acquires all partitions `after_s` seconds later.
  void fail_over(std::size_t from, std::size_t to, double after_s);
  /// Registers controller `n` under a new controller lease that does not expire in a test; returns its id.
  std::uint64_t register_controller(std::size_t n);
  /// The stored phase of a job; "none" where it is not stored.
  std::string phase(const std::string& ref) const;
  /// Machines on which the task has a stored placement.
  std::vector<std::string> machines_of_task(const std::string& ref, TaskNumber task) const;

  StateStore store;                        ///< the state service
  RunLog run_log;                          ///< of all agents
  double now = 1000;                       ///< the clock, in seconds
  std::set<std::string> silenced_workers;  ///< machines whose agents send and receive nothing

 private:
  std::vector<std::unique_ptr<SimulatedController>> controllers_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
};

/// A job of the first team, by `test_names`.
JobSpec test_job(const std::string& ref, std::uint32_t tasks, double gpus = 1);

}  // namespace oxbowmill::simulation
