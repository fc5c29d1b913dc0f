// Counts the open calls of models. CallCounter owns the number of attempts that it has observed of each call.
// It reads the cluster state only, so calls in partitions of other controllers are counted the same way. Used
// on the controller's loop only.
#pragma once

#include <map>
#include <vector>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill::serving {

/// Counts calls, except those that fail repeatedly, which would keep a model running for ever.
class CallCounter {
 public:
  /// `state` must outlive this object.
  explicit CallCounter(const ClusterState& state) : state_(state) {}
  /// Number of open jobs of these classes that do not fail repeatedly. To be called regularly, because it
  /// also observes new attempts.
  std::uint32_t count(const std::vector<ClassIndex>& call_classes, Seconds now);
  /// Forgets the attempts of jobs that are no longer live.
  void forget_finished();

 private:
  /// Attempts of a call since a task of it was last done.
  struct CallAttempts {
    std::uint32_t tasks_done = 0;
    std::uint32_t attempts = 0;
    Attempt last_attempt = 0;
    Seconds observed_at = 0;  // when the last attempt or the last done task was observed
  };
  bool fails_repeatedly(JobIndex job_index, const Job& job, Seconds now);

  const ClusterState& state_;
  std::map<JobIndex, CallAttempts> call_attempts_;
};

/// Whether the job is a call: of one of these classes, and not a service.
bool is_call_job(const std::vector<ClassIndex>& call_classes, const JobSpec& spec);

}  // namespace oxbowmill::serving
