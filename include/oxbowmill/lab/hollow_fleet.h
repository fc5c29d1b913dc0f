// Thousands of hollow workers in one process, with the cloud that rents them: real HTTP, reports, leases,
// sessions, tokens and images; a task is a timer.
#pragma once

#include <memory>
#include <queue>
#include <random>
#include <set>

#include "oxbowmill/core/token_bucket.h"
#include "oxbowmill/lab/scale_event.h"
#include "oxbowmill/lab/scale_settings.h"
#include "oxbowmill/lab/worker.h"
#include "oxbowmill/net/http.h"
#include "oxbowmill/wire/codec.h"

namespace oxbowmill::lab {

/// Where the processes of a scale run listen.
struct ScaleAddresses {
  std::uint16_t port = 0;
  net::Address controller(std::size_t i) const;
  net::Address peer(std::size_t i) const;
  net::Address state() const;
  net::Address cloud() const;
  net::Address worker(std::size_t i) const;
};
std::string scale_controller_name(std::size_t i);
std::string scale_zone_name(std::size_t i);
std::string scale_machine_name(std::size_t i);
std::size_t scale_machine_number(const std::string& name);

class HollowFleet {
 public:
  HollowFleet(event_base* base, const ScaleSettings& settings, const ScaleAddresses& addresses,
              ScaleEventWriter& events, std::function<double()> now);
  ~HollowFleet();

 private:
  struct Run {
    TaskNo task = 0;
    Attempt attempt = 0;
    double ready_at = 0, gathers_since = -1, started = -1, ends_at = 1e18;
  };
  struct Hollow;
  /// Members of one attempt of a gang, by task.
  struct Gang {
    Attempt attempt = 0;
    std::map<TaskNo, std::size_t> members;  // and the machine's number
    bool running = false;
    double lost_at = -1;
  };
  struct Due {
    double at = 0;
    std::size_t machine = 0;
    std::string id;
    Attempt attempt = 0;
    friend bool operator>(const Due& a, const Due& b) { return a.at > b.at; }
  };
  struct Counts {
    double reports = 0, report_bytes = 0, answer_bytes = 0, unanswered = 0, commands = 0, command_bytes = 0;
    double late_s = 0;  // the worst lateness of the loop since it was last told
  };
  /// Its name.
  std::string add_machine(std::size_t zone, double up_at);
  void power_off(Hollow& hollow);
  void tick();
  void tick_machine(Hollow& hollow, double now);
  void send_report(Hollow& hollow, double now);
  void on_answer(Hollow& hollow, const net::Response& response);
  void on_command(Hollow& hollow, net::Request&& request);
  /// Takes in what orders have started and stopped on the worker.
  void take_in_tasks(Hollow& hollow);
  void start_run(Hollow& hollow, const std::string& id, const TaskReport& task);
  void end_run(Hollow& hollow, const std::string& id, const Run& run, bool saved);
  void on_due(const Due& due, double now);
  void image_is_there(Hollow& hollow, const std::string& id, Run& run, double now);
  void begin_running(Hollow& hollow, const std::string& id, Run& run, double now);
  void member_is_ready(Hollow& hollow, const std::string& id, Run& run, double now);
  void finish(Hollow& hollow, const std::string& id, EndCause cause);
  void wake_for(Hollow& hollow, double now);
  void apply(const ScaleFault& fault, double now);
  std::vector<Hollow*> some_machines(std::uint32_t count);
  void serve_cloud(net::Request&& request);
  wire::Json catalog() const;
  wire::Json rent(const wire::Json& body);
  wire::Json list(const std::string& query) const;
  void tell_counts();
  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(random_); }

  event_base* base_;
  const ScaleSettings& settings_;
  ScaleAddresses addresses_;
  ScaleEventWriter& events_;
  std::function<double()> now_;
  std::mt19937_64 random_;
  RunLog log_;
  std::map<std::size_t, std::unique_ptr<Hollow>> machines_;  // by number
  std::vector<std::size_t> next_in_zone_;
  std::map<std::string, Gang> gangs_;
  std::set<std::string> done_;
  std::map<std::string, double> saved_s_;
  std::map<std::string, wire::Json> rentals_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::vector<net::ResponderPtr> held_;  // commands to machines that are cut off
  std::vector<ScaleFault> faults_;
  Counts counts_;
  std::size_t alive_ = 0;
  double began_ = 0, expected_tick_ = 0, next_told_ = 0;
  TokenBucket cloud_calls_;
  net::Timer timer_;
  std::unique_ptr<net::HttpServer> cloud_;
};

}  // namespace oxbowmill::lab
