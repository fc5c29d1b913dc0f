// Table of the jobs that this controller knows, by index and by name. Owns the jobs, their names and the sets
// of live jobs by partition. Not thread-safe. References to a job stay valid until it is erased.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "oxbowmill/cluster/job.h"

namespace oxbowmill {

/// The known jobs. A job is live while it has a record. It is kept while it has a record, chunks or
/// placements.
class JobTable {
 public:
  /// Starts empty, for partitions with indices below `partition_count`.
  explicit JobTable(std::size_t partition_count) : live_by_partition_(partition_count) {}

  /// The job's index, or an invalid one if the job is not known.
  [[nodiscard]] JobIndex find(const std::string& ref) const;
  /// The job's index. Adds an empty job if the name is new.
  JobIndex intern(const std::string& ref);
  /// A known job. Throws std::out_of_range for any other.
  Job& at(JobIndex job_index) { return jobs_.at(job_index.value); }
  /// A known job. Throws std::out_of_range for any other.
  const Job& at(JobIndex job_index) const { return jobs_.at(job_index.value); }
  /// The job, or null if it is not known; a known job may have placements but no record.
  [[nodiscard]] const Job* known(JobIndex job_index) const;
  /// The job, or null if it has no record.
  [[nodiscard]] Job* live(JobIndex job_index);
  /// The job, or null if it has no record.
  [[nodiscard]] const Job* live(JobIndex job_index) const;
  /// Jobs of the partition that have a record.
  const std::set<JobIndex>& live_in(PartitionIndex partition) const {
    return live_by_partition_[partition.value];
  }
  /// Adds the job to the live jobs of its partition.
  void add_live(JobIndex job_index);
  /// Removes the job from the live jobs of its partition. Has no effect if its partition never became known.
  void remove_live(JobIndex job_index);
  /// Erases the job if it has no record, no chunk and no placement. Returns whether it was erased.
  [[nodiscard]] bool erase_if_unused(JobIndex job_index);

 private:
  std::unordered_map<std::string, JobIndex> by_name_;
  std::unordered_map<std::uint32_t, Job> jobs_;
  std::uint32_t next_index_ = 0;
  std::vector<std::set<JobIndex>> live_by_partition_;
};

}  // namespace oxbowmill
