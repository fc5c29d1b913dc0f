#include "oxbowmill/cluster/job_table.h"

namespace oxbowmill {

JobIndex JobTable::find(const std::string& ref) const {
  auto it = by_name_.find(ref);
  return it == by_name_.end() ? JobIndex{} : it->second;
}

JobIndex JobTable::intern(const std::string& ref) {
  auto [it, added] = by_name_.try_emplace(ref, JobIndex{next_index_});
  if (added) {
    jobs_[next_index_].spec.ref = ref;
    ++next_index_;
  }
  return it->second;
}

const Job* JobTable::known(JobIndex job_index) const {
  auto it = jobs_.find(job_index.value);
  return it == jobs_.end() ? nullptr : &it->second;
}

Job* JobTable::live(JobIndex job_index) {
  auto it = jobs_.find(job_index.value);
  return it == jobs_.end() || it->second.revision == no_record ? nullptr : &it->second;
}

const Job* JobTable::live(JobIndex job_index) const {
  const Job* job = known(job_index);
  return job == nullptr || job->revision == no_record ? nullptr : job;
}

void JobTable::add_live(JobIndex job_index) {
  live_by_partition_[at(job_index).spec.partition.value].insert(job_index);
}

void JobTable::remove_live(JobIndex job_index) {
  PartitionIndex partition = at(job_index).spec.partition;
  if (partition.valid()) live_by_partition_[partition.value].erase(job_index);
}

bool JobTable::erase_if_unused(JobIndex job_index) {
  auto it = jobs_.find(job_index.value);
  if (it == jobs_.end()) return false;
  const Job& job = it->second;
  if (job.revision != no_record || !job.chunks.empty() || !job.placements.empty()) return false;
  by_name_.erase(job.spec.ref);
  jobs_.erase(it);
  return true;
}

}  // namespace oxbowmill
