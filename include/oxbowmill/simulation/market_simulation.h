// Simulates leaders that bid on simulated markets, on a simulated clock: demand arrives, and machines are
// bought, used and returned. MarketSimulation owns the markets, the stored records, the present leader and
// the jobs.
#pragma once

#include <memory>

#include "oxbowmill/market/bidding_service.h"
#include "oxbowmill/simulation/simulated_market.h"

namespace oxbowmill::simulation {

/// How demand is allocated to offers: by the planner, by a simple baseline, or by the planner with perfect
/// knowledge of the markets (`oracle`).
enum class Policy : std::uint8_t { planner, cheapest, single_market, even_split, oracle };
/// All policies, in the order of the enumerators.
constexpr Policy policies[] = {Policy::planner, Policy::cheapest, Policy::single_market, Policy::even_split,
                               Policy::oracle};
/// Name of the policy in options and reports.
const char* name_of(Policy policy);

/// A job of the scenario; each of its tasks takes one machine. Times are in seconds.
struct JobArrival {
  double arrives_at = 0,                 ///< time from the start of the simulation
      run_s = 300,                       ///< run time of each task
      due_s = 600;                       ///< deadline, counted from its arrival
  std::uint32_t machines = 4;            ///< number of its tasks, and so of the machines that it needs
  Priority priority = Priority::normal;  ///< priority among other jobs
  bool guaranteed = false;               ///< within its team's guarantee
};

/// Jobs, cloud, markets and spending limits of a simulation. Times are in seconds.
struct MarketScenario {
  std::string name;                  ///< for reports
  double duration_s = 1500;          ///< simulated time
  double zone_loss_at_s = 60;        ///< when a zone fails and its jobs need other machines
  std::uint32_t jobs = 16;           ///< number of jobs
  std::uint32_t max_machines = 6;    ///< most machines of a job
  double run_s = 300,                ///< mean run time of a task
      slack_s = 150;                 ///< mean time between the end of that run time and the deadline
  double guaranteed_fraction = 0.4,  ///< fraction of the jobs that are guaranteed
      best_effort_fraction = 0.2;    ///< fraction of the jobs that have low priority
  std::uint32_t cloud_capacity = 8;  ///< most machines that the cloud rents out at once
  double cloud_price = 10,           ///< price per machine and hour
      cloud_ready_s = 60;            ///< boot time of a cloud machine, before random variation
  market::Settings settings;  ///< settings of the bidding service; their markets are replaced by `markets`
  std::vector<MarketBehavior> markets;  ///< behaviour of each market
};
/// Reads a scenario file (YAML). Throws an Error with file, key and reason if it is invalid.
MarketScenario load_scenario(const std::string& file);

/// Results of one run.
struct MarketResult {
  std::uint32_t jobs = 0,             ///< all jobs
      in_time = 0,                    ///< jobs that met their deadlines
      guaranteed = 0,                 ///< guaranteed jobs
      guaranteed_in_time = 0;         ///< guaranteed jobs that met their deadlines
  std::uint32_t bought_machines = 0,  ///< machines delivered by markets
      unused_machines = 0;            ///< those of them that were never used
  double cost = 0;                    ///< cost of the machines of markets and the cloud
  int breaches = 0;                   ///< steps in which paid and reserved money exceeded a limit
  int suspended_markets = 0;          ///< markets that the present leader has suspended
};

/// One run of a scenario in steps of half a second. The same scenario, policy and seed give the same result.
class MarketSimulation {
 public:
  /// Generates the jobs. The first leader starts in the first step.
  MarketSimulation(const MarketScenario& scenario, Policy policy, std::uint64_t seed);
  /// Advances the clock by half a second.
  void step();
  /// Simulates the whole scenario.
  MarketResult run();
  /// Results so far.
  MarketResult result() const;

  /// Injects a fault: the leader crashes; another one acquires ownership a second later.
  void end_leader();
  /// Injects a fault: while `down`, no transaction is executed and no leader can start.
  void set_state_down(bool down) { state_down_ = down; }
  /// Injects a fault: the next `count` transactions are applied without a response.
  void lose_write_responses(int count) { write_responses_to_lose_ = count; }
  /// Injects a fault: transactions are withheld until `release_writes`.
  void delay_writes(bool delay) { delaying_writes_ = delay; }
  /// Applies the withheld transactions.
  void release_writes();
  /// Injects a fault: calls to markets are withheld until `release_calls`; by then the leader may have timed
  /// them out.
  void delay_calls(bool delay) { delaying_calls_ = delay; }
  /// Delivers the withheld calls to the markets; their answers are discarded.
  void release_calls();

  static constexpr double start_s = 1000;  ///< time at the start, to which scenario times are relative
  double now = start_s;                    ///< present simulated time, in seconds
  market::Settings settings;  ///< settings of the bidding service, with the markets of the scenario
  std::vector<SimulatedMarket> markets;  ///< in the order of the scenario
  std::vector<JobArrival> arrivals;      ///< jobs; more may be added during the simulation
  /// Bidding service of the present leader; null if there is no leader.
  market::BiddingService* bidding_service() { return leader_ ? &leader_->bidding_service : nullptr; }
  /// Cluster state of the present leader; null if there is no leader.
  ClusterState* state() { return leader_ ? &leader_->cluster_state : nullptr; }
  /// Highest spending relative to a limit, in which open bids count with their worst case; must not exceed 1.
  double max_window_spend_ratio = 0,  ///< paid money and open bids, relative to the limit per window
      max_hourly_spend_ratio = 0;     ///< hourly price limits of open bids, relative to the limit per hour
  /// Highest number of machines that a plan awarded a partition or that are overdue for it, relative to the
  /// machines that it needed, the allowed extra ones and two more; must not exceed 1.
  double max_purchase_ratio = 0;
  std::set<std::string> bid_names;  ///< names of all bids ever recorded
  int reused_names = 0;             ///< number of bids recorded under the name of an earlier bid
  int breaches = 0;                 ///< as in MarketResult

 private:
  struct Leader {
    Leader(MarketSimulation& simulation, std::uint64_t term);
    ClusterState cluster_state;
    ControllerLease lease;
    Scheduler scheduler;
    market::BiddingService bidding_service;
    std::set<std::string> adopted;  // names of machines with a record
  };
  /// A rented machine. Times are in seconds; `busy_until` below 0: no task runs on it.
  struct Machine {
    PartitionIndex partition;
    double ready_at = 0, busy_until = -1, idle_since = 0, price = 0, rented_since = 0;
    std::size_t job = 0;
    bool from_market = false, was_used = false;
  };
  /// A job with the numbers of its tasks by state; `done_at` below 0: not all tasks are done.
  struct Job {
    JobArrival arrival;
    std::uint32_t pending = 0, running = 0, done = 0;
    double done_at = -1;
  };
  /// A call to a market whose answer, or timeout, is delivered to the leader at `answer_at`.
  struct PendingCall {
    market::Call call;
    double answer_at = 0;
    market::Answer answer;
    std::uint64_t term = 0;
  };
  std::vector<UnmetDemand> unmet_demand() const;
  std::vector<std::size_t> jobs_by_urgency() const;
  void write(const Write& w);
  bool apply(const Transaction& transaction, Revision& revision);
  void publish(const Change& change, Revision revision);
  void send(const market::Call& call);
  market::Answer call_market(const market::Call& call);
  /// Adds new jobs and makes the tasks of those that have arrived pending.
  void admit_arrivals();
  /// Starts a new leader from the stored records.
  void begin_leader();
  /// Makes the policy's plan and updates the highest ratio of bought to needed machines.
  market::Plan plan_and_measure(const std::vector<market::Demand>& demands,
                                const std::vector<market::Offer>& offers, const market::Ledger& ledger,
                                double reference_price, const market::Settings& planner_settings);
  void adopt_delivered(const market::HostUpdate& delivery, const MachineRecord& record);
  /// Stops the task on a machine, so that the machine is returned in this step.
  void drain_machine(MachineIndex machine_index);
  void deliver_due_answers();
  void run_leader_cycle();
  void advance_jobs();
  void end_runs_and_lost_machines();
  void start_runs();
  void return_idle_machines();
  void scale_out(const std::vector<UnmetDemand>& needs, const std::vector<std::uint32_t>& tasks);
  void check_spending();
  std::vector<CloudOffer> cloud_offers() const;

  MarketScenario scenario_;
  Policy policy_;
  std::mt19937_64 random_;
  ClusterState name_registry_;  // only its name tables are used; all leaders share them
  std::vector<MachineType> catalog_;
  std::unique_ptr<Leader> leader_;
  std::uint64_t last_term_ = 0;
  double next_leader_at_ = 0;
  std::vector<Job> jobs_;
  std::map<std::string, Machine> machines_;
  std::vector<PendingCall> pending_calls_;
  struct Entry {
    Change change;
    Revision revision = 0;
  };
  std::map<std::string, Entry> store_;
  Revision revision_ = 100;
  std::vector<Transaction> delayed_writes_;
  std::vector<market::Call> delayed_calls_;
  bool state_down_ = false, delaying_writes_ = false, delaying_calls_ = false;
  int write_responses_to_lose_ = 0;
  std::uint64_t last_cloud_machine_number_ = 0;
  double cloud_cost_ = 0;
  std::uint32_t machines_used_ = 0;
};

/// Makes a plan by the given policy; has no side effects. `behaviors`: behaviour of each market, which only
/// the oracle uses; `reference_price`: that of the bidding service; `now`: seconds from the start.
market::Plan make_policy_plan(Policy policy, const std::vector<MarketBehavior>& behaviors, double now,
                              const std::vector<market::Demand>& demands, std::vector<market::Offer> offers,
                              const market::Ledger& ledger, double reference_price,
                              const market::Settings& settings);

}  // namespace oxbowmill::simulation
