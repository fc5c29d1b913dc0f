// Controllers' decisions on a simulated clock, joined to the stand-ins without sockets.
#pragma once

#include <deque>
#include <memory>

#include "oxbowmill/core/fleet.h"
#include "oxbowmill/lab/market.h"
#include "oxbowmill/lab/state.h"
#include "oxbowmill/lab/worker.h"
#include "oxbowmill/market/desk.h"
#include "oxbowmill/models/keeper.h"
#include "oxbowmill/recovery/start.h"
#include "oxbowmill/release/planner.h"
#include "oxbowmill/service/outbox.h"

namespace oxbowmill::lab {

/// What becomes of a controller's next transactions.
enum class Fate { answered, answer_lost, not_arrived };

Settings test_settings(const std::string& node);
Names test_names();
std::vector<MachineType> test_catalog();

/// What a transaction that was answered so has come to.
Outcome outcome_of(const std::optional<State::Result>& r);

class Controller {
 public:
  Controller(std::string name, State& state, Settings settings, Names names = test_names(),
             std::vector<MachineType> catalog = test_catalog());

  /// Reads what there is, as a controller that has just started does.
  void list(double now);
  /// Hears what changed up to now, as the watch would tell it.
  void sync(double now) { hear_up_to(state_.events().size(), state_.revision(), now, now); }
  /// Hears the first so many changes, up to that revision, in the answer to a watch that was opened at
  /// `asked`.
  void hear_up_to(std::size_t count, std::uint64_t revision, double asked, double now);
  bool claim(PartIndex part, double now);
  void claim_all(double now);
  void renew(double now);
  void pass(double now);
  /// The first half of a pass: what is to be done, with nothing sent yet.
  Effects decide(double now);
  /// Writes a transaction down as its tables stand now; sent later, it is the same.
  void keep(const Write& w) { outbox_.keep(w, model); }
  /// Sends one transaction; null where it does not arrive.
  std::optional<State::Result> send(const Write& w);
  /// What the sender hears of it.
  void answered(const Write& w, Outcome outcome, Stamp revision, double now);
  ReportAnswer hear(const WorkerReport& r, double now);
  /// Starts are squared from now on, as `deploy/recovery.yaml` switches it on.
  void square(const recovery::Settings& settings);
  /// Keeps to this calendar, and to these models, from now on.
  void agree(release::Calendar calendar, models::Settings models = {});
  /// Trades with these markets from now on; their names are known to the model.
  void trade(const market::Settings& settings, std::vector<Market>& markets);

  std::string name;
  Model model;
  Hold hold;
  Scheduler scheduler;
  Fleet fleet;
  Fate fate = Fate::answered;
  std::vector<Json> lost;  // bodies of transactions that did not arrive (yet)
  std::deque<DirectOrders> direct;
  std::vector<RentOrder> rents;
  std::vector<MachineIndex> deletes;
  int refused = 0;
  std::unique_ptr<market::Desk> desk;
  std::unique_ptr<recovery::Start> start;
  std::unique_ptr<accord::Desk> accord;
  std::unique_ptr<release::Planner> planner;
  std::unique_ptr<models::Keeper> keeper;

 private:
  State& state_;
  std::size_t heard_ = 0;
  double asked_at_ = 0;
  service::Outbox outbox_;
  accord::Council council_;
  std::vector<Market>* markets_ = nullptr;
};

/// Two controllers, a state service and workers, with time that only moves when told.
class Cluster {
 public:
  explicit Cluster(int controllers = 2);
  Controller& node(std::size_t i) { return *nodes_.at(i); }
  void add_machine(const std::string& name, const std::string& zone = "a", const std::string& part = "red",
                   bool spot = false);
  /// A machine that reports though nobody has a record of it.
  void add_stranger(const std::string& name, const std::string& zone = "a");
  /// All controllers trade with this market; machines that it delivers report.
  void add_market(const lab::Character& c);
  std::vector<Market> markets;
  market::Settings trading;
  Worker& worker(const std::string& name) { return *workers_.at(name); }
  void submit(JobSpec spec);
  /// The user's withdrawal; the status of its transaction.
  int withdraw(const std::string& ref);
  /// One exchange of a worker with a controller; `lost`: the response does not arrive.
  ReportAnswer exchange(const std::string& name, std::size_t node, bool lost = false);
  /// Passes and exchanges of node `n` with all workers that are not silenced, for this long.
  void run(double seconds, std::size_t n = 0);
  void kill_node(std::size_t n);
  /// Node `from` ends; `to` takes all parts up after so long.
  void hand_over(std::size_t from, std::size_t to, double after_s);
  /// Node `n` has registered under a new hold, as one that has just started does; the hold, which lasts.
  std::uint64_t register_node(std::size_t n);
  std::string phase(const std::string& ref) const;
  /// Machines on which the task is placed durably.
  std::vector<std::string> placed(const std::string& ref, TaskNo task) const;

  State state;
  RunLog log;
  double now = 1000;
  std::set<std::string> silenced;

 private:
  std::vector<std::unique_ptr<Controller>> nodes_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
};

JobSpec test_job(const std::string& ref, std::uint32_t tasks, double gpus = 1);

}  // namespace oxbowmill::lab
