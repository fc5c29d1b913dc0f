#include "oxbowmill/service/enquiry.h"

namespace oxbowmill::service {

using Kind = KeyRead::Kind;

EnquiryStep Enquiry::settle(JobPhase phase) {
  set_state(EnquiryState::answered);
  phase_ = phase;
  return EnquiryStep::answer;
}

EnquiryStep Enquiry::poll(std::optional<JobPhase> remembered) {
  // A final phase does not change.
  return remembered ? settle(*remembered) : EnquiryStep::wait_for_tables;
}

EnquiryStep Enquiry::on_tables(bool current, std::optional<JobPhase> live) {
  if (!current) return look_up();
  if (live) return settle(*live);
  // Its own key is not there, so that only the other needs to be read: two reads one after the other took
  // longer than a user waits while the state service was slow, and a job that was over got no answer
  // anywhere.
  set_state(EnquiryState::not_in_tables);
  return EnquiryStep::read_final;
}

EnquiryStep Enquiry::look_up() {
  // The job's own key first: it goes in the same transaction in which the final key comes, so a job that was
  // ever accepted is found under one of the two.
  set_state(EnquiryState::begun);
  return EnquiryStep::read_live;
}

EnquiryStep Enquiry::on_live(const KeyRead& r) {
  if (r.kind == Kind::found) return settle(r.phase);
  if (r.kind == Kind::unknown) return EnquiryStep::refuse;
  set_state(EnquiryState::not_live);
  return EnquiryStep::read_final;
}

EnquiryStep Enquiry::on_final(const KeyRead& r) {
  if (r.kind == Kind::found) return settle(r.phase);
  if (r.kind == Kind::unknown) return EnquiryStep::refuse;
  // The tables may lack a job whose record they cannot read: only the keys themselves say that there is none.
  return state_ == EnquiryState::not_live ? EnquiryStep::absent : look_up();
}

}  // namespace oxbowmill::service
