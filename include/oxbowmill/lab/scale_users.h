// The users of a scale run: submissions at random times, polls and withdrawals through any controller.
#pragma once

#include <memory>
#include <random>

#include "oxbowmill/lab/hollow_fleet.h"

namespace oxbowmill::lab {

class ScaleUsers {
 public:
  ScaleUsers(event_base* base, const ScaleSettings& settings, const ScaleAddresses& addresses,
             ScaleEventWriter& events, std::function<double()> now);

 private:
  enum class Step : std::uint8_t { submitting, following, withdrawing, over };
  struct User {
    std::string ref;
    Step step = Step::submitting;
    double first_try = 0, next = 0, withdraws_at = -1;
    bool asking = false;
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
  /// What the answer says of the job; open or a final phase.
  void tell(const User& user, Told told);
  net::HttpClient& any_controller();
  void tell_counts();

  const ScaleSettings& settings_;
  ScaleEventWriter& events_;
  std::function<double()> now_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<net::HttpClient>> controllers_;
  std::vector<std::unique_ptr<User>> users_;
  std::vector<double> next_arrival_;
  std::vector<std::uint32_t> arrived_;  // by class
  double expected_tick_ = 0, next_told_ = 0, late_s_ = 0, asked_ = 0, refused_ = 0, bytes_ = 0;
  net::Timer timer_;
};

}  // namespace oxbowmill::lab
