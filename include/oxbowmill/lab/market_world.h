// Leaders trading with stand-in markets on a simulated clock: needs come, machines are bought, work and go
// back.
#pragma once

#include <memory>

#include "oxbowmill/lab/market.h"
#include "oxbowmill/market/desk.h"

namespace oxbowmill::lab {

enum class Policy : std::uint8_t { planner, cheapest, one, even, bound };
constexpr Policy policies[] = {Policy::planner, Policy::cheapest, Policy::one, Policy::even, Policy::bound};
const char* name_of(Policy p);

struct Work {
  double at = 0, run_s = 300, due_s = 600;  // due after its arrival
  std::uint32_t machines = 4;
  Rank rank = Rank::normal;
  bool guaranteed = false;
};

struct Scenario {
  std::string name;
  double length_s = 1500;
  double drop_at_s = 60;  // when a zone drops and its work wants other machines
  std::uint32_t jobs = 16;
  std::uint32_t most_machines = 6;
  double run_s = 300, slack_s = 150;
  double guaranteed_share = 0.4, best_effort_share = 0.2;
  std::uint32_t cloud_capacity = 8;
  double cloud_price = 10, cloud_ready_s = 60;
  market::Settings settings;  // without markets: these come from the characters
  std::vector<Character> markets;
};
/// Reads a scenario file (YAML); throws std::runtime_error with file, key and reason.
Scenario load_scenario(const std::string& file);

struct Result {
  std::uint32_t jobs = 0, in_time = 0, guaranteed = 0, guaranteed_in_time = 0;
  std::uint32_t bought = 0, unused = 0;  // machines of markets
  double cost = 0;
  int breaches = 0;  // moments at which paid and committed stood above the ceiling
  int shut = 0;      // markets that the last leader had shut out
};

class MarketWorld {
 public:
  MarketWorld(const Scenario& s, Policy policy, std::uint64_t seed);
  void step();  // half a second
  Result run();
  Result result() const;

  // Faults.
  void end_leader();  // ends at once; another one claims a second later
  void set_state_down(bool down) { state_down_ = down; }
  /// What becomes of the next transactions: applied without an answer, or held back until `release_writes`.
  void lose_write_answers(int n) { lose_answers_ = n; }
  void hold_writes(bool hold) { holding_writes_ = hold; }
  void release_writes();
  /// Calls that are held back reach their market later, though their leader has given them up.
  void hold_calls(bool hold) { holding_calls_ = hold; }
  void release_calls();

  double now = 1000;
  market::Settings settings;
  std::vector<Market> markets;
  std::vector<Work> work;
  market::Desk* desk() { return leader_ ? &leader_->desk : nullptr; }
  Model* model() { return leader_ ? &leader_->model : nullptr; }
  /// Highest sum of what was paid and what open records may cost, over the ceiling of the window; at most 1.
  double highest_use = 0, highest_hour = 0;
  /// Most machines that were on their way or there for a part, over what it needed then and the spare.
  double most_bought = 0;
  std::set<std::string> bid_names;
  int reused_names = 0;
  int breaches = 0;

 private:
  struct Leader {
    Leader(MarketWorld& w, std::uint64_t term);
    Model model;
    Hold hold;
    Scheduler scheduler;
    market::Desk desk;
    std::set<std::string> taken;  // machines with a record
  };
  struct Machine {
    PartIndex part;
    double ready_at = 0, busy_until = -1, idle_since = 0, price = 0, since = 0;
    std::size_t job = 0;
    bool of_market = false, used = false;
  };
  struct Job {
    Work work;
    std::uint32_t pending = 0, running = 0, done = 0;
    double done_at = -1;
  };
  struct InFlight {
    market::Call call;
    double answer_at = 0;
    market::Answer answer;
    std::uint64_t term = 0;
  };
  std::vector<Need> needs_now() const;
  std::vector<std::size_t> by_urgency() const;
  void write(const Write& w);
  bool apply(const Transaction& t, Stamp& revision);
  void tell(const Change& c, Stamp revision);
  void send(const market::Call& c);
  market::Answer ask_market(const market::Call& c);
  void work_on();
  void rent(const std::vector<Need>& needs, const std::vector<std::uint32_t>& tasks);
  void check();
  std::vector<CloudOffer> cloud_offers() const;

  Scenario scenario_;
  Policy policy_;
  std::mt19937_64 random_;
  Model known_;  // names that all leaders share; its tables stay empty
  std::vector<MachineType> catalog_;
  std::unique_ptr<Leader> leader_;
  std::uint64_t terms_ = 0;
  double next_leader_at_ = 0;
  std::vector<Job> jobs_;
  std::map<std::string, Machine> machines_;
  std::vector<InFlight> in_flight_;
  struct Entry {
    Change change;
    Stamp stamp = 0;
  };
  std::map<std::string, Entry> store_;
  Stamp revision_ = 100;
  std::vector<Transaction> held_writes_;
  std::vector<market::Call> held_calls_;
  bool state_down_ = false, holding_writes_ = false, holding_calls_ = false;
  int lose_answers_ = 0;
  std::uint64_t cloud_named_ = 0;
  double cloud_cost_ = 0;
  std::uint32_t used_ = 0;
};

/// The allocations that the planner is held against.
market::Plan baseline(Policy policy, const std::vector<Character>& truth, double now,
                      const std::vector<market::Demand>& demands, std::vector<market::Offer> offers,
                      const market::Ledger& ledger, double reference, const market::Settings& s);

}  // namespace oxbowmill::lab
