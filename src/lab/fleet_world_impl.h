// The cluster's parts and what each does in a step; a source file for each subject.
#pragma once

#include <algorithm>
#include <cmath>

#include "oxbowmill/lab/fleet_world.h"
#include "oxbowmill/lab/rules.h"
#include "oxbowmill/service/admission.h"
#include "oxbowmill/service/enquiry.h"

namespace oxbowmill::lab {

constexpr double step_s = 0.1;
constexpr double image_gb[] = {4, 6, 8, 10, 12};
constexpr double save_every_s = 30, flush_s = 3;
constexpr double undone_s = 60;  // a return is undone by a rental within this time
constexpr double listed_dead_s = 30;
constexpr double list_lag_s = 4;

struct FleetWorld::Impl {
  struct Node {
    std::unique_ptr<Controller> core;  // none: down
    double back_at = -1, frozen_until = -1, next_renew = 0, next_news = 0, next_sync = 0, up_since = 0,
           cut_until = -1, refused_until = -1, alone_until = -1, registered_at = -1e9;
    bool listed = false;
    std::map<std::uint32_t, double> claim_at;
    std::array<std::deque<Write>, 6> queues;
    struct Answer {
      double at;
      Write write;
      std::optional<State::Result> result;
    };
    std::deque<Answer> answers;
    TokenBucket changes{1, 1};
    std::set<std::uint32_t> past_parts;
    struct Hearing {  // a watch under way
      double at, asked;
      std::size_t events;
      std::uint64_t revision;
    };
    std::deque<Hearing> hearings;
    std::map<std::string, JobPhase> finals;  // told or read here
    service::FirstTries tries;
  };
  struct Host {
    std::unique_ptr<Worker> worker;
    std::uint32_t zone = 0;
    bool spot = false, alive = true, known = false, used = false;
    double up_at = 0, born = 0, died = -1, hung_until = -1, next_report = 0, deaf_until = -1, mute_until = -1,
           waits_until = -1;
    std::size_t node = 0;
    std::uint64_t tenure = 1;
    std::map<std::uint32_t, double> images;  // and when fetched
  };
  struct Run {
    std::string host, id;
    Host* at = nullptr;
    double ready_at = 0, started = -1, gathers_since = -1;
  };
  struct JobInfo {
    std::uint32_t cls = 0, team = 0, tasks = 0, image = 0;
    double run_s = 0, gpus = 1, spread = 0;
    double run_of(TaskNo t) const { return run_s * (1 + spread * t); }
    std::map<TaskNo, Run> runs;      // by task, as its machine has it
    std::map<TaskNo, double> saved;  // progress in a checkpoint
    double gang_started = -1, gang_saved = 0, gang_lost_at = -1;
    std::set<TaskNo> done;
    double submitted = 0;
    std::map<TaskNo, double> begun;  // when, of each task that has run for long enough to count
    void note_begun(TaskNo t, double at) { begun.try_emplace(t, at); }
  };

  Impl(FleetScenario scenario, Way way_, std::uint64_t seed);
  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(random); }
  std::uint32_t pick(std::uint32_t n);
  std::string node_name(std::size_t i) const { return "node-" + std::to_string(i); }

  Settings settings(std::size_t i) const;
  Names names() const;
  std::vector<MachineType> catalog() const;

  // --- Controllers.

  void boot(std::size_t i);
  void down(std::size_t i, double back_at);
  void collect(const Node& n);
  bool acts(const Node& n) const { return n.core && now >= n.frozen_until; }

  void tend(std::size_t i);
  void tell(const Controller& from, Controller& to) const;
  void put(Controller& c, const Key& key);
  bool reaches_state(const Node& n) const;
  double delay_s() const { return now < delay_until ? state_delay : 0; }
  bool lucky(double share) { return std::uniform_real_distribution<double>(0, 1)(luck) < share; }
  double drawn(double a, double b) { return std::uniform_real_distribution<double>(a, b)(luck); }

  /// The transaction gets no answer, and is carried out after newer ones.
  bool loses(const Json& body);
  bool loses_one() { return now < late_writes_until && lucky(late_write_share); }
  /// It is carried out, and its answer lost.
  bool loses_answer() { return now < lost_answers_until && lucky(lost_answers_share); }
  /// Both are on the same side of a cut.
  std::uint32_t zone_of(std::size_t node) const { return static_cast<std::uint32_t>(node) % s.zones; }
  bool apart(std::uint32_t zone) const { return now < apart_until && zone_names[zone] == apart_zone; }
  bool linked(std::size_t node, const Host& h) const { return apart(zone_of(node)) == apart(h.zone); }

  void end_past(Node& n, Controller& c);
  void claim(Node& n, Controller& c);
  void pump(Node& n, Controller& c);
  bool loses_next(Controller& c, const Write& w);

  // --- The cloud.

  void add_host(std::uint32_t zone, bool spot, bool at_start);

  struct Call {
    std::size_t node;
    double at;
    RentOrder rent;
    std::vector<MachineIndex> deletes;
    bool list;
  };

  void serve_calls();
  void rent(const RentOrder& r, Fleet& fleet);
  /// As many as the cloud has of these.
  std::vector<std::string> new_hosts(const RentOrder& r);
  void remove(const std::string& name);
  std::vector<ListedMachine> listed();

  // --- Users.

  void submit(std::uint32_t cls);
  /// A user of one job: submits it, asks each 5 s, perhaps withdraws it. Each time through any node.
  struct User {
    std::string ref;
    Json body;  // as it is sent
    double next = 0, withdraws_at = 1e18, looks_until = -1;
    bool accepted = false, over = false, withdrawn = false, final = false;
  };

  void tick_users();
  /// What the user asks of node `k`, and hears.
  enum class Asks { submission, status, withdrawal };
  Told ask(std::size_t k, User& u, Asks what);
  void heard(User& u, Told what) const;
  void look_closely(User& u);
  void send_odd_request();
  User* user_of(const std::string& ref);
  std::map<std::string, Rules::Usable> usable() const;
  service::KeyRead read(const Node& n, const std::string& key, Json* value = nullptr,
                        std::uint64_t* stamp = nullptr) const;
  Told follow(Node& n, const std::string& ref, service::Enquiry& e, service::EnquiryStep step,
              Json* value = nullptr, std::uint64_t* stamp = nullptr) const;
  static Told tell_user(Node& n, const std::string& ref, JobPhase phase);
  Told poll(Node& n, const std::string& ref) const;
  std::optional<State::Result> user_txn(const Node& n, const Json& body);
  Told submit(Node& n, const User& u);
  Told withdraw(Node& n, const User& u);

  // --- Workers.

  static std::pair<std::string, TaskNo> split(const std::string& id);
  bool reachable(const Host& h) const;
  void deliver(std::size_t node, const DirectOrders& d);
  void command(std::map<std::string, Host>::iterator h, const DirectOrders& d);
  void report(const std::string& name, Host& h);
  void take_answer(const std::string& name, Host& h, const ReportAnswer& a);
  /// Tasks that have just started or stopped on this worker.
  void after_orders(const std::string& name, Host& h);
  double progress(const JobInfo& j, const Run& r) const;
  /// The task is off its machine; what it had not saved is lost.
  void stopped(JobInfo& j, TaskNo task, bool saved);
  void lose_all(const std::string& name, Host& h);
  void tick_workers();
  void tick_tasks();
  void tick_gang(JobInfo& j, bool all_ready, std::vector<TaskNo>& ended);
  void finish(JobInfo& j, TaskNo t, EndCause cause);
  void count_gpus(const JobInfo& j, std::size_t tasks);

  // --- Faults and rules.

  std::size_t busiest() const;
  /// Machines that are up, in an order of this seed's.
  std::vector<std::string> some_hosts(std::uint32_t count);
  void die(const std::string& name);
  void apply(const Fault& f);
  void tick_faults();
  /// What was kept of reports, as a part's new owner begins.
  void give_kept_copies();
  template <class T>
  struct Late {
    double at;
    T what;
  };
  struct Copy {
    double at;
    std::size_t node;
    WorkerReport what;
  };
  template <class T>
  struct Held {
    double at;
    std::string host;
    T what;
  };
  /// Those whose time has come are done with; those that `fn` puts off stay.
  template <class T, class Fn>
  void each_due(std::vector<T>& all, Fn fn) {
    auto due = std::move(all);
    all.clear();
    for (T& x : due) {
      if (x.at > now || !fn(x)) all.push_back(std::move(x));
    }
  }

  /// When the last trouble is over.
  double troubles_end() const;
  Second& second() { return result.seconds.back(); }

  FleetResult play();
  /// By job, from outside: who was served, and how late the last of their tasks began.
  void count_served();
  void note_squared();

  FleetScenario s;
  Way way;
  std::mt19937_64 random;
  double now = 0;
  static constexpr double wall_ahead = 1e-6;  // known, and as good as none
  std::vector<std::string> zone_names;
  State state;
  RunLog log;
  std::mt19937_64 luck;  // of users and of what goes wrong on the way: the days' jobs do not depend on it
  TokenBucket writes, cloud;
  Rules rules;
  std::vector<User> users;
  std::vector<Late<Json>> late_writes;
  std::vector<Copy> copies;
  std::vector<Held<DirectOrders>> held_commands;
  std::vector<Held<ReportAnswer>> held_answers;
  double lost_answers_share = 0, lost_answers_until = -1, kept_share = 0, kept_until = -1, apart_until = -1,
         end_cancel_share = 0, end_cancels_until = -1, looks_until = -1, odd_until = -1, quick_until = -1,
         next_odd = 0, longest_held_up = 6;
  std::vector<WorkerReport> kept;
  std::map<std::uint32_t, Stamp> terms;  // by part: of the owner that was last seen to begin
  std::uint64_t odd = 0;
  std::string apart_zone;
  double late_write_share = 0, late_writes_until = -1, copies_share = 0, copies_until = -1, held_up_share = 0,
         held_up_until = -1, state_delay = 0, delay_until = -1, next_stranger = 0;
  std::vector<Node> nodes;
  std::map<std::string, Host> hosts;
  std::map<std::string, JobInfo> jobs;
  std::deque<Call> calls;
  std::vector<double> returned_at;
  std::vector<Fault> faults;
  std::vector<WorkerReport> late;
  std::uint32_t hold_late = 0, rented = 0, rented_spot = 0;
  std::uint64_t submitted = 0;
  double late_at = 0, outage_until = 0, slow_until = 0, cloud_down_until = -1, cut_until = -1,
         first_fault = 1e9;
  std::string cut_zone;
  FleetResult result;
};

}  // namespace oxbowmill::lab
