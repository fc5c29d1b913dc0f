#include "oxbowmill/service/admission.h"

#include "oxbowmill/service/transaction_body.h"
#include "oxbowmill/state/keys.h"

namespace oxbowmill::service {

namespace {
constexpr int bad_request_status = 400;
constexpr double bytes_per_kb = 1024;
constexpr double retry_window_s = 60;  // for which users repeat a submission, by the protocol
constexpr std::size_t max_remembered_attempts = 5000;
}  // namespace

double FirstAttempts::record_attempt(const wire::Json& body, double wall_time_s) {
  auto ref = body.find("ref");
  if (ref == body.end() || !ref->is_string() || !wire::valid_id(ref->get_ref<const std::string&>()))
    return wall_time_s;
  expire(wall_time_s);
  auto [it, is_new] = first_attempt_times_.try_emplace(ref->get<std::string>(), wall_time_s);
  if (is_new) order_.push_back(it->first);
  return std::min(wall_time_s, it->second);
}

void FirstAttempts::expire(double wall_time_s) {
  // Entries are in the order of arrival, so some stay longer if the wall clock was set back.
  while (!order_.empty() && (order_.size() >= max_remembered_attempts ||
                             first_attempt_times_.at(order_.front()) < wall_time_s - retry_window_s)) {
    first_attempt_times_.erase(order_.front());
    order_.pop_front();
  }
}

Admission admit(const wire::Json& body, const Names& names, const Settings& settings,
                const std::vector<MachineType>& catalog, double submitted_at) {
  Admission admission;
  admission.rejection = wire::read_submission(body, names, admission.submission);
  admission.is_permanent = admission.rejection && admission.rejection->status == bad_request_status;
  if (!admission.rejection)
    admission.rejection = wire::check_runnable(admission.submission.spec, settings, catalog);
  if (admission.rejection) return admission;
  admission.submission.spec.submitted_at = submitted_at;
  admission.record = state::job_value(admission.submission, JobPhase::open, names);
  if (static_cast<double>(wire::to_json_text(admission.record).size()) > settings.max_value_kb * bytes_per_kb)
    admission.rejection = wire::Rejection{bad_request_status, "too large"};
  return admission;
}

wire::Json submission_txn(const std::string& ref, const wire::Json& record) {
  return TransactionBody()
      .require(state::job_key(ref), 0)
      .require(state::final_key(ref), 0)
      .put(state::job_key(ref), record)
      .json();
}

wire::Json withdrawal_txn(const std::string& ref, const wire::Json& record, Revision revision) {
  return TransactionBody()
      .require(state::job_key(ref), revision)
      .put(state::job_key(ref), state::with_phase(record, JobPhase::cancelled))
      .json();
}

}  // namespace oxbowmill::service
