// The users' interface: submissions, polls and withdrawals on any controller.
#pragma once

#include <unordered_map>

#include "oxbowmill/service/admission.h"
#include "oxbowmill/service/enquiry.h"
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
  struct Question {
    std::string ref;
    Enquiry enquiry;
    Stamp stamp = 0;  // of the job's own key, where that was found
    wire::Json value;
    std::function<void(EnquiryStep)> done;  // answer, absent or refuse
  };
  using QuestionPtr = std::shared_ptr<Question>;
  void go_on(const QuestionPtr& q, EnquiryStep step);
  /// Asks the keys themselves.
  void ask(const std::string& ref, std::function<void(const Question&, EnquiryStep)> fn);
  void answer_status(const std::string& ref, JobPhase phase, const net::ResponderPtr& to);
  bool overloaded() const;
  state::Store& store_;
  Model& model_;
  std::function<double()> now_, wall_;
  std::unordered_map<std::string, JobPhase> finals_;  // final phases do not change: answered from memory
  std::deque<std::string> finals_order_;
  FirstTries tries_;
};

}  // namespace oxbowmill::service
