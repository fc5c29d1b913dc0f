#include "oxbowmill/service/admission.h"

#include "oxbowmill/state/keys.h"

namespace oxbowmill::service {

namespace {
constexpr int malformed = 400;
}  // namespace

Admission admit(const wire::Json& body, Names& names, const Settings& settings,
                const std::vector<MachineType>& catalog, double wall) {
  Admission a;
  a.rejection = wire::read_submission(body, names, a.spec);
  a.for_good = a.rejection && a.rejection->status == malformed;
  if (!a.rejection) a.rejection = wire::check_runnable(a.spec, settings, catalog);
  if (a.rejection) return a;
  a.spec.submitted_at = wall;
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
