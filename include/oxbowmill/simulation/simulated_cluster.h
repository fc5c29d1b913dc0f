// Controllers' decisions on a simulated clock, joined to the stand-ins without sockets.
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

/// What becomes of a controller's next transactions.
enum class WriteOutcome { answered, answer_lost, not_arrived };

Settings test_settings(const std::string& node);
Names test_names();
std::vector<MachineType> test_catalog();

/// What a transaction that was answered so has come to.
TransactionOutcome outcome_of(const std::optional<StateStore::Result>& r);

class SimulatedController {
 public:
  SimulatedController(std::string name, StateStore& state, Settings settings, Names names = test_names(),
                      std::vector<MachineType> catalog = test_catalog());

  /// Reads what there is, as a controller that has just started does.
  void load_state(double now);
  /// Hears what changed up to now, as the watch would tell it.
  void sync(double now) { apply_events_up_to(store_.events().size(), store_.revision(), now, now); }
  /// Hears the first so many changes, up to that revision, in the answer to a watch that was opened at
  /// `asked`.
  void apply_events_up_to(std::size_t count, std::uint64_t revision, double asked, double now);
  bool acquire_partition(PartitionIndex partition, double now);
  void acquire_all_partitions(double now);
  void renew(double now);
  void run_cycle(double now);
  /// The first half of a pass: what is to be done, with nothing sent yet.
  Effects decide(double now);
  /// Writes a transaction down as its tables stand now; sent later, it is the same.
  void queue_write(const Write& write) { write_queue_.get_or_create(write, cluster_state); }
  /// Sends one transaction; null where it does not arrive.
  std::optional<StateStore::Result> send(const Write& write);
  /// What the sender hears of it.
  void on_write_result(const Write& write, TransactionOutcome outcome, Revision revision, double now);
  ReportAnswer handle_report(const WorkerReport& report, double now);
  /// Starts are squared from now on, as `deploy/recovery.yaml` switches it on.
  void enable_reconciliation(const reconciliation::Settings& settings);
  /// Keeps to this calendar, and to these models, from now on.
  void enable_decisions(release_calendar::ReleaseCalendar calendar, serving::Settings models = {});
  /// Trades with these markets from now on; their names are known to the model.
  void enable_markets(const market::Settings& settings, std::vector<SimulatedMarket>& markets);

  std::string name;
  ClusterState cluster_state;
  ControllerLease lease;
  Scheduler scheduler;
  Autoscaler autoscaler;
  WriteOutcome write_outcome = WriteOutcome::answered;
  std::vector<Json> lost_writes;  // bodies of transactions that did not arrive (yet)
  std::deque<DirectCommands> direct_commands;
  std::vector<ScaleOutRequest> scale_outs;
  std::vector<MachineIndex> machines_to_delete;
  int refused_writes = 0;
  std::unique_ptr<market::BiddingService> bidding_service;
  std::unique_ptr<reconciliation::Reconciler> reconciler;
  std::unique_ptr<decisions::DecisionLog> decision_log;
  std::unique_ptr<release_calendar::ReleaseCoordinator> release_planner;
  std::unique_ptr<serving::ModelAutoscaler> model_autoscaler;

 private:
  StateStore& store_;
  std::size_t events_applied_ = 0;
  double watch_opened_at_ = 0;
  service::WriteQueue write_queue_;
  decisions::CombinedConstraints combined_constraints_;
  std::vector<SimulatedMarket>* markets_ = nullptr;
};

/// Two controllers, a state service and workers, with time that only moves when told.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(int controllers = 2);
  SimulatedController& controller(std::size_t i) { return *controllers_.at(i); }
  void add_machine(const std::string& name, const std::string& zone = "a",
                   const std::string& partition = "red", bool spot = false);
  /// A machine that reports though nobody has a record of it.
  void add_unregistered_machine(const std::string& name, const std::string& zone = "a");
  /// All controllers trade with this market; machines that it delivers report.
  void add_market(const simulation::MarketBehavior& c);
  std::vector<SimulatedMarket> markets;
  market::Settings market_settings;
  Worker& worker(const std::string& name) { return *workers_.at(name); }
  void submit(JobSpec spec);
  /// The user's withdrawal; the status of its transaction.
  int withdraw(const std::string& ref);
  /// One exchange of a worker with a controller; `lost`: the response does not arrive.
  ReportAnswer exchange_report(const std::string& name, std::size_t node, bool lost = false);
  /// Passes and exchanges of node `n` with all workers that are not silenced, for this long.
  void run(double seconds, std::size_t n = 0);
  void kill_controller(std::size_t n);
  /// Node `from` ends; `to` takes all parts up after so long.
  void fail_over(std::size_t from, std::size_t to, double after_s);
  /// Node `n` has registered under a new hold, as one that has just started does; the hold, which lasts.
  std::uint64_t register_controller(std::size_t n);
  std::string phase(const std::string& ref) const;
  /// Machines on which the task is placed durably.
  std::vector<std::string> machines_of_task(const std::string& ref, TaskNumber task) const;

  StateStore store;
  RunLog run_log;
  double now = 1000;
  std::set<std::string> silenced_workers;

 private:
  std::vector<std::unique_ptr<SimulatedController>> controllers_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
};

JobSpec test_job(const std::string& ref, std::uint32_t tasks, double gpus = 1);

}  // namespace oxbowmill::simulation
