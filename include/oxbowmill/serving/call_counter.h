// Counts the open calls of models. CallCounter owns what it has seen of each call's attempts; it learns from
// the cluster state only, so that calls owned by other controllers count alike. Used on the controller's loop
// only.
#pragma once

#include <map>
#include <vector>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill::serving {

/// Counts calls, except those that fail repeatedly: they must not keep a model warm for ever.
class CallCounter {
 public:
  /// `state` must outlive this object.
  explicit CallCounter(const ClusterState& state) : state_(state) {}
  /// Number of open jobs of these classes that do not fail repeatedly. To be called regularly, as it observes
  /// attempts.
  std::uint32_t count(const std::vector<ClassIndex>& call_classes, Seconds now);
  /// Forgets the attempts of jobs that are not live any more.
  void forget_finished();

 private:
  /// How often a call was attempted since a task of it was done.
  struct CallAttempts {
    std::uint32_t tasks_done = 0;
    std::uint32_t attempts = 0;
    Attempt last_attempt = 0;
    Seconds since = 0;  // of the last attempt, or of the last task that was done
  };
  bool fails_repeatedly(JobIndex job_index, const Job& job, Seconds now);

  const ClusterState& state_;
  std::map<JobIndex, CallAttempts> call_attempts_;
};

/// Whether the job is a call: not a service, and of one of these classes.
bool is_call_job(const std::vector<ClassIndex>& call_classes, const JobSpec& spec);

}  // namespace oxbowmill::serving
