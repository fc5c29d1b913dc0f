// Leaders trading with stand-in markets on a simulated clock: needs come, machines are bought, work and go
// back.
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
/// Reads a scenario file (YAML); throws std::runtime_error with file, key and reason.
MarketScenario load_scenario(const std::string& file);

struct MarketResult {
  std::uint32_t jobs = 0, in_time = 0, guaranteed = 0, guaranteed_in_time = 0;
  std::uint32_t bought = 0, unused = 0;  // machines of markets
  double cost = 0;
  int breaches = 0;   // moments at which paid and committed stood above the ceiling
  int suspended = 0;  // markets that the last leader had shut out
};

class MarketSimulation {
 public:
  MarketSimulation(const MarketScenario& scenario, Policy policy, std::uint64_t seed);
  void step();  // half a second
  MarketResult run();
  MarketResult result() const;

  // Faults.
  void end_leader();  // ends at once; another one claims a second later
  void set_state_down(bool down) { state_down_ = down; }
  /// What becomes of the next transactions: applied without an answer, or held back until `release_writes`.
  void lose_write_responses(int position) { write_responses_to_lose_ = position; }
  void delay_writes(bool delay) { delaying_writes_ = delay; }
  void release_writes();
  /// Calls that are held back reach their market later, though their leader has given them up.
  void delay_calls(bool delay) { delaying_calls_ = delay; }
  void release_calls();

  double now = 1000;
  market::Settings settings;
  std::vector<SimulatedMarket> markets;
  std::vector<JobArrival> arrivals;
  market::BiddingService* bidding_service() { return leader_ ? &leader_->bidding_service : nullptr; }
  ClusterState* state() { return leader_ ? &leader_->cluster_state : nullptr; }
  /// Highest sum of what was paid and what open records may cost, over the ceiling of the window; at most 1.
  double highest_use = 0, max_hourly_spend = 0;
  /// Most machines that were on their way or there for a part, over what it needed then and the spare.
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
  void advance_jobs();
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

/// The allocations that the planner is held against.
market::Plan baseline(Policy policy, const std::vector<MarketBehavior>& truth, double now,
                      const std::vector<market::Demand>& demands, std::vector<market::Offer> offers,
                      const market::Ledger& ledger, double reference, const market::Settings& settings);

}  // namespace oxbowmill::simulation
