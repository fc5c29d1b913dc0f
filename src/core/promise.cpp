#include "oxbowmill/core/promise.h"

namespace oxbowmill {

namespace {
// Of the time within which a job is to begin, how much is left when it is no longer stopped, when it is first
// in its rank and when it goes before other ranks. What is put first costs others their deadlines, and where
// there is never room enough all would be put first in the end: so as late as room can still be gathered.
constexpr double protected_share = 0.4, pressing_share = 0.25, lifted_share = 0.12;
// A machine may fetch a third slower than its type says; where several tasks fit, the fetch of another's
// image may share its rate for as long.
constexpr double slow_fetch = 1.5, shared_fetch = 1;

}  // namespace

Seconds longest_fetch(const Model& model, const JobSpec& spec) {
  Seconds fetch = 0;
  for (std::uint32_t t = 0; t < model.catalog.size(); ++t) {
    const MachineType& type = model.catalog[t];
    if (!spec.allows(TypeIndex{t}) || type.fetch_gb_per_s <= 0) continue;
    bool shares = how_many_fit(spec.need, type.room) > 1;
    fetch = std::max(fetch, (slow_fetch + (shares ? shared_fetch : 0)) * spec.image_gb / type.fetch_gb_per_s);
  }
  return fetch;
}

const char* name_of(Promise p) {
  static constexpr const char* names[] = {"ample", "protected", "pressing", "lifted"};
  return names[static_cast<int>(p)];
}

Seconds promise_slack(const Model& model, const JobSpec& spec, double wall) {
  const Settings& s = model.settings;
  if (s.op.begin_within_s <= 0) return std::numeric_limits<double>::infinity();
  return spec.submitted_at + s.op.begin_within_s - longest_fetch(model, spec) - 2 * s.report_s - wall;
}

Promise promise_of(const Model& model, const JobSpec& spec, double wall) {
  Seconds slack = promise_slack(model, spec, wall);
  double within = model.settings.op.begin_within_s;
  return slack < lifted_share * within      ? Promise::lifted
         : slack < pressing_share * within  ? Promise::pressing
         : slack < protected_share * within ? Promise::protected_
                                            : Promise::ample;
}

bool waits_to_begin(const Job& j) {
  for (std::uint32_t w = 0; w < j.busy.size(); ++w) {
    std::uint32_t tasks = std::min<std::uint32_t>(64, j.spec.tasks - 64 * w);
    std::uint64_t all = tasks == 64 ? ~0ULL : (1ULL << tasks) - 1;
    std::uint64_t begun = w < j.begun.size() ? j.begun[w] : 0;
    if ((all & ~j.busy[w] & ~begun) != 0) return true;
  }
  return false;
}

bool may_be_stopped(const Model& model, const Job& j, const Placement& p, Clock clock) {
  if (j.has_begun(p.task) || p.has_begun(clock.now)) return true;
  // Who is not its owner hears no reports: it has begun when it should have.
  if (clock.now - p.known_at > begun_after_s + longest_fetch(model, j.spec) + 2 * model.settings.report_s)
    return true;
  return promise_of(model, j.spec, clock.wall) == Promise::ample;
}

}  // namespace oxbowmill
