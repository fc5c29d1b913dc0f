#include "oxbowmill/service/admission.h"

#include "oxbowmill/state/keys.h"

namespace oxbowmill::service {

namespace {
constexpr int malformed = 400;
constexpr double tried_for_s = 60;  // PROTOCOL: users repeat a submission for so long
constexpr std::size_t most_tries_known = 5000;
}  // namespace

double FirstTries::tried(const wire::Json& body, double wall) {
  auto ref = body.find("ref");
  if (ref == body.end() || !ref->is_string() || !wire::valid_id(ref->get_ref<const std::string&>()))
    return wall;
  forget(wall);
  auto [it, fresh] = first_.try_emplace(ref->get<std::string>(), wall);
  if (fresh) order_.push_back(it->first);
  return std::min(wall, it->second);
}

void FirstTries::forget(double wall) {
  // In the order in which they came; a clock that was set back makes some stay longer.
  while (!order_.empty() &&
         (order_.size() >= most_tries_known || first_.at(order_.front()) < wall - tried_for_s)) {
    first_.erase(order_.front());
    order_.pop_front();
  }
}

Admission admit(const wire::Json& body, Names& names, const Settings& settings,
                const std::vector<MachineType>& catalog, double submitted_at) {
  Admission a;
  a.rejection = wire::read_submission(body, names, a.spec);
  a.for_good = a.rejection && a.rejection->status == malformed;
  if (!a.rejection) a.rejection = wire::check_runnable(a.spec, settings, catalog);
  if (a.rejection) return a;
  a.spec.submitted_at = submitted_at;
  a.record = state::job_value(a.spec, JobPhase::open, names);
  if (static_cast<double>(a.record.dump().size()) > settings.value_kb * 1024)
    a.rejection = wire::Rejection{malformed, "too large"};
  return a;
}

wire::Json submission_txn(const std::string& ref, const wire::Json& record) {
  return {
      {"guards", {{{"k", state::job_key(ref)}, {"stamp", 0}}, {{"k", state::final_key(ref)}, {"stamp", 0}}}},
      {"apply", {{{"put", state::job_key(ref)}, {"value", record}}}}};
}

wire::Json withdrawal_txn(const std::string& ref, const wire::Json& record, Stamp stamp) {
  return {
      {"guards", {{{"k", state::job_key(ref)}, {"stamp", stamp}}}},
      {"apply", {{{"put", state::job_key(ref)}, {"value", state::with_phase(record, JobPhase::cancelled)}}}}};
}

}  // namespace oxbowmill::service
