// Table of the jobs that this controller knows, by index and by name. Owns the jobs, their names and the set
// of live jobs of each partition. Not thread-safe. References to a job stay valid until it is erased.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "oxbowmill/cluster/job.h"

namespace oxbowmill {

/// The known jobs. A job is live while it has a record; it is kept while anything of it is left.
class JobTable {
 public:
  /// For partitions with indices below `partition_count`.
  explicit JobTable(std::size_t partition_count) : live_(partition_count) {}

  /// The job's index, or an invalid one where nothing of it is known.
  [[nodiscard]] JobIndex find(const std::string& ref) const;
  /// The job's index; adds an empty job under a new name.
  JobIndex intern(const std::string& ref);
  /// A known job. Throws std::out_of_range for any other.
  Job& at(JobIndex job_index) { return jobs_.at(job_index.value); }
  /// A known job. Throws std::out_of_range for any other.
  const Job& at(JobIndex job_index) const { return jobs_.at(job_index.value); }
  /// Null where neither record nor placement of it is known.
  [[nodiscard]] const Job* known(JobIndex job_index) const;
  /// Null where it has no record.
  [[nodiscard]] Job* live(JobIndex job_index);
  /// Null where it has no record.
  [[nodiscard]] const Job* live(JobIndex job_index) const;
  /// Jobs of the partition that have a record.
  const std::set<JobIndex>& live_in(PartitionIndex partition) const { return live_[partition.value]; }
  /// Lists the job among the live ones of its partition.
  void list_live(JobIndex job_index);
  /// Takes the job off that list; without effect where its partition never became known.
  void unlist_live(JobIndex job_index);
  /// Erases the job if neither record nor chunk nor placement of it is left; says whether it did.
  [[nodiscard]] bool erase_if_unused(JobIndex job_index);

 private:
  std::unordered_map<std::string, JobIndex> by_name_;
  std::unordered_map<std::uint32_t, Job> jobs_;
  std::uint32_t next_index_ = 0;
  std::vector<std::set<JobIndex>> live_;
};

}  // namespace oxbowmill
