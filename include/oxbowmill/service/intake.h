// The users' interface: submissions, polls and withdrawals on any controller.
#pragma once

#include <unordered_map>

#include "oxbowmill/service/mirror.h"

namespace oxbowmill::service {

class Intake {
 public:
  Intake(state::Store& store, Model& model, std::function<double()> now, std::function<double()> wall)
      : store_(store), model_(model), now_(std::move(now)), wall_(std::move(wall)) {}

  void submit(const net::Request& r);
  void poll(const std::string& ref, const net::ResponderPtr& to);
  void withdraw(const std::string& ref, const net::ResponderPtr& to, int tries = 0);
  void note_final(const std::string& ref, JobPhase phase);
  /// Calls back when the tables are as new as the state service at this moment; false: read there.
  std::function<void(std::function<void(bool)>)> when_current;
  /// The tables are complete and the state service answers.
  std::function<bool()> ready;
  /// A job was accepted or cancelled at this revision: its owner should know soon.
  std::function<void(Stamp)> on_write;

 private:
  struct Found {
    enum class Kind : std::uint8_t { live, final, none, unknown } kind = Kind::unknown;
    JobPhase phase = JobPhase::open;
    Stamp stamp = 0;
    wire::Json value;
  };
  void look_up(const std::string& ref, std::function<void(const Found&)> fn);
  void answer_status(const std::string& ref, JobPhase phase, const net::ResponderPtr& to);
  bool overloaded(const net::ResponderPtr& to) const;
  state::Store& store_;
  Model& model_;
  std::function<double()> now_, wall_;
  std::unordered_map<std::string, JobPhase> finals_;  // final phases do not change: answered from memory
  std::deque<std::string> finals_order_;
};

}  // namespace oxbowmill::service
