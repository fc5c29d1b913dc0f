#include "oxbowmill/scheduling/failed_selections.h"

#include <algorithm>

namespace oxbowmill {

namespace {
constexpr std::size_t max_failures = 64;
}  // namespace

void FailedSelections::add(const Job& job, std::size_t tasks, bool avoid_whole_machines, bool may_preempt) {
  // A job with placements or with tasks spread over zones is not noted, because its selection also depends on
  // the zones of its other tasks. The list is bounded, because searching a long one would cost more than it
  // saves.
  if (!job.placements.empty() || job.spec.spread_zones || failures_.size() >= max_failures) return;
  failures_.push_back({&job.spec, tasks, avoid_whole_machines, may_preempt});
}

bool FailedSelections::covers(const Job& job, std::size_t tasks, bool avoid_whole_machines,
                              bool may_preempt) const {
  if (!job.placements.empty()) return false;
  const JobSpec& spec = job.spec;
  return std::any_of(failures_.begin(), failures_.end(), [&](const Failure& failure) {
    const JobSpec& other = *failure.spec;
    bool same_constraints = other.types == spec.types && other.zone == spec.zone && other.spot == spec.spot &&
                            other.single_zone == spec.single_zone && other.shape == spec.shape &&
                            failure.avoid_whole_machines == avoid_whole_machines;
    bool needs_as_much = other.task_resources.cpus <= spec.task_resources.cpus &&
                         other.task_resources.gpus <= spec.task_resources.gpus &&
                         other.task_resources.memory_gb <= spec.task_resources.memory_gb &&
                         (spec.shape != JobShape::gang || failure.task_count <= tasks);
    bool preempts_no_more = !may_preempt || (failure.may_preempt && other.priority >= spec.priority);
    return same_constraints && needs_as_much && preempts_no_more;
  });
}

}  // namespace oxbowmill
