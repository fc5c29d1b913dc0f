// Simulated users of a scale run: submissions at random times, polls and withdrawals through any controller.
// It owns the users and their connections. One thread: that of its event loop.
#pragma once

#include <memory>
#include <random>

#include "oxbowmill/simulation/agent_simulator.h"

namespace oxbowmill::simulation {

/// Plays all users from its construction on, on the given event loop.
class ScaleUsers {
 public:
  /// References and `base` have to outlive it; `now`: steady clock, in seconds.
  ScaleUsers(event_base* base, const ScaleSettings& settings, const ScaleAddresses& addresses,
             ScaleEventWriter& events, std::function<double()> now);

 private:
  enum class Step : std::uint8_t { submitting, polling, withdrawing, finished };
  struct User {
    std::string ref;
    Step step = Step::submitting;
    double first_attempt_at = 0, next_request_at = 0, withdraws_at = -1;
    bool request_pending = false;
  };
  void tick();
  void arrive(std::size_t class_index, double now);
  void act(User& user, double now);
  void submit(User& user);
  void poll(User& user);
  void withdraw(User& user);
  void on_submitted(User& user, const net::Response& response);
  void on_polled(User& user, const net::Response& response);
  void on_withdrawn(User& user, const net::Response& response);
  /// `answer`: open or a final phase.
  void record_answer(const User& user, JobAnswer answer);
  net::HttpClient& any_controller();
  void write_counts();

  const ScaleSettings& settings_;
  ScaleEventWriter& events_;
  std::function<double()> now_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<net::HttpClient>> controllers_;
  std::vector<std::unique_ptr<User>> users_;
  std::vector<double> next_arrival_;
  std::vector<std::uint32_t> arrived_;  // by class
  double expected_tick_ = 0, next_counts_at_ = 0, max_lateness_s_ = 0, requests_ = 0, refused_ = 0,
         bytes_ = 0;
  net::Timer timer_;
};

}  // namespace oxbowmill::simulation
