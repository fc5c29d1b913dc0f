// Simulates the users of a scale run: they submit jobs at random times, poll them and withdraw some, each
// time through a random controller. ScaleUsers owns the users and their connections. All code runs on the
// thread of the event loop.
#pragma once

#include <memory>
#include <random>

#include "oxbowmill/simulation/agent_simulator.h"

namespace oxbowmill::simulation {

/// Simulates all users on the given event loop, starting with its construction.
class ScaleUsers {
 public:
  /// `base`, `settings` and `events` must outlive this object. `now` returns the steady clock's time in
  /// seconds.
  ScaleUsers(event_base* base, const ScaleSettings& settings, const ScaleAddresses& addresses,
             ScaleEventWriter& events, std::function<double()> now);

 private:
  enum class UserStep : std::uint8_t { submitting, polling, withdrawing, finished };
  /// A user with one job. Times are in seconds of the steady clock; `withdraws_at` below 0: never.
  struct User {
    std::string ref;
    UserStep step = UserStep::submitting;
    double first_attempt_at = 0, next_request_at = 0, withdraws_at = -1;
    bool request_pending = false;
  };
  void tick();
  void add_user(std::size_t class_index, double now);
  void send_next_request(User& user, double now);
  void submit(User& user);
  void poll(User& user);
  void withdraw(User& user);
  void on_submitted(User& user, const net::Response& response);
  void on_polled(User& user, const net::Response& response);
  void on_withdrawn(User& user, const net::Response& response);
  /// Reports an answer to the evaluating process; `no_answer` counts as refused.
  void record_answer(const User& user, JobAnswer answer);
  net::HttpClient& random_controller();
  void write_counts();

  const ScaleSettings& settings_;
  ScaleEventWriter& events_;
  std::function<double()> now_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<net::HttpClient>> controllers_;
  std::vector<std::unique_ptr<User>> users_;
  std::vector<double> next_arrival_at_;        // by class
  std::vector<std::uint32_t> arrival_counts_;  // by class
  double expected_tick_ = 0, next_counts_at_ = 0, max_lateness_s_ = 0, request_count_ = 0, refused_count_ = 0,
         transferred_bytes_ = 0;
  net::Timer timer_;
};

}  // namespace oxbowmill::simulation
