// Leaders that bid on simulated markets on a simulated clock: demand arrives, machines are bought, used and
// returned.
#pragma once

#include <memory>

#include "oxbowmill/market/bidding_service.h"
#include "oxbowmill/simulation/simulated_market.h"

namespace oxbowmill::simulation {

enum class Policy : std::uint8_t { planner, cheapest, single_market, even_split, oracle };
constexpr Policy policies[] = {Policy::planner, Policy::cheapest, Policy::single_market, Policy::even_split,
                               Policy::oracle};
const char* name_of(Policy policy);

struct JobArrival {
  double arrives_at = 0, run_s = 300, due_s = 600;  // due after its arrival
  std::uint32_t machines = 4;
  Priority priority = Priority::normal;
  bool guaranteed = false;
};

struct MarketScenario {
  std::string name;
  double duration_s = 1500;
  double drop_at_s = 60;  // when a zone drops and its work wants other machines
  std::uint32_t jobs = 16;
  std::uint32_t max_machines = 6;
  double run_s = 300, slack_s = 150;
  double guaranteed_fraction = 0.4, best_effort_fraction = 0.2;
  std::uint32_t cloud_capacity = 8;
  double cloud_price = 10, cloud_ready_s = 60;
  market::Settings settings;  // without markets: these come from the characters
  std::vector<MarketBehavior> markets;
};
/// Reads a scenario file (YAML); throws Error with file, key and reason.
MarketScenario load_scenario(const std::string& file);

struct MarketResult {
  std::uint32_t jobs = 0, in_time = 0, guaranteed = 0, guaranteed_in_time = 0;
  std::uint32_t bought = 0, unused = 0;  // machines of markets
  double cost = 0;
  int breaches = 0;   // steps in which paid and committed were above the limit
  int suspended = 0;  // markets that the last leader had suspended
};

class MarketSimulation {
 public:
  MarketSimulation(const MarketScenario& scenario, Policy policy, std::uint64_t seed);
  /// Advances the clock by half a second.
  void step();
  MarketResult run();
  MarketResult result() const;

  // Faults.
  /// The leader ends at once; another one acquires ownership a second later.
  void end_leader();
  void set_state_down(bool down) { state_down_ = down; }
  /// The next `count` transactions are applied without a response.
  void lose_write_responses(int count) { write_responses_to_lose_ = count; }
  /// Transactions are withheld until `release_writes`.
  void delay_writes(bool delay) { delaying_writes_ = delay; }
  void release_writes();
  /// Calls are withheld until `release_calls`, when their leader may have given them up.
  void delay_calls(bool delay) { delaying_calls_ = delay; }
  void release_calls();

  static constexpr double start_s = 1000;  // the clock at the start; scenarios count from it
  double now = start_s;
  market::Settings settings;
  std::vector<SimulatedMarket> markets;
  std::vector<JobArrival> arrivals;
  market::BiddingService* bidding_service() { return leader_ ? &leader_->bidding_service : nullptr; }
  ClusterState* state() { return leader_ ? &leader_->cluster_state : nullptr; }
  /// Highest sum of what was paid and what open records may cost, over the ceiling of the window; at most 1.
  double highest_use = 0, max_hourly_spend = 0;
  /// Most machines that were on their way or there for a part, over what it needed then and the extra ones.
  double most_bought = 0;
  std::set<std::string> bid_names;
  int reused_names = 0;
  int breaches = 0;

 private:
  struct Leader {
    Leader(MarketSimulation& simulation, std::uint64_t term);
    ClusterState cluster_state;
    ControllerLease lease;
    Scheduler scheduler;
    market::BiddingService bidding_service;
    std::set<std::string> adopted;  // machines with a record
  };
  struct Machine {
    PartitionIndex partition;
    double ready_at = 0, busy_until = -1, idle_since = 0, price = 0, since = 0;
    std::size_t job = 0;
    bool from_market = false, used = false;
  };
  struct Job {
    JobArrival arrival;
    std::uint32_t pending = 0, running = 0, done = 0;
    double done_at = -1;
  };
  struct InFlight {
    market::Call call;
    double answer_at = 0;
    market::Answer answer;
    std::uint64_t term = 0;
  };
  std::vector<UnmetDemand> unmet_demand() const;
  std::vector<std::size_t> by_urgency() const;
  void write(const Write& w);
  bool apply(const Transaction& transaction, Revision& revision);
  void publish(const Change& change, Revision revision);
  void send(const market::Call& call);
  market::Answer ask_market(const market::Call& call);
  /// Makes machines of jobs that have arrived pending.
  void admit_arrivals();
  /// A new leader takes over from what the store holds.
  void begin_leader();
  /// The policy's plan; keeps the highest ratio of bought to wanted machines.
  market::Plan plan_and_measure(const std::vector<market::Demand>& demands,
                                const std::vector<market::Offer>& offers, const market::Ledger& ledger,
                                double reference, const market::Settings& planner_settings);
  void adopt_delivered(const market::HostUpdate& delivery, const MachineRecord& record);
  /// Takes the work off a machine, so that it is returned in this step.
  void vacate(MachineIndex machine_index);
  void deliver_due_answers();
  void run_leader_cycle();
  void advance_jobs();
  void end_runs_and_lost_machines();
  void start_runs();
  void return_idle_machines();
  void scale_out(const std::vector<UnmetDemand>& needs, const std::vector<std::uint32_t>& tasks);
  void check();
  std::vector<CloudOffer> cloud_offers() const;

  MarketScenario scenario_;
  Policy policy_;
  std::mt19937_64 random_;
  ClusterState known_state_;  // names that all leaders share; its tables stay empty
  std::vector<MachineType> catalog_;
  std::unique_ptr<Leader> leader_;
  std::uint64_t last_term_ = 0;
  double next_leader_at_ = 0;
  std::vector<Job> jobs_;
  std::map<std::string, Machine> machines_;
  std::vector<InFlight> in_flight_;
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

/// The plan by the given policy: the planner, one of its baselines, or the planner with perfect knowledge.
market::Plan baseline(Policy policy, const std::vector<MarketBehavior>& truth, double now,
                      const std::vector<market::Demand>& demands, std::vector<market::Offer> offers,
                      const market::Ledger& ledger, double reference, const market::Settings& settings);

}  // namespace oxbowmill::simulation
