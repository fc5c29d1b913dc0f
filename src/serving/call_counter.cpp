#include "oxbowmill/serving/call_counter.h"

#include <algorithm>

#include "oxbowmill/decisions/open_jobs.h"

namespace oxbowmill::serving {

namespace {

constexpr std::uint32_t max_failed_attempts = 5;
constexpr double long_running_s = 60;  // an attempt of this duration does not count as a failure

}  // namespace

bool is_call_job(const std::vector<ClassIndex>& call_classes, const JobSpec& spec) {
  return spec.shape != JobShape::service &&
         std::find(call_classes.begin(), call_classes.end(), spec.job_class) != call_classes.end();
}

std::uint32_t CallCounter::count(const std::vector<ClassIndex>& call_classes, Seconds now) {
  std::uint32_t calls = 0;
  decisions::for_each_open_job(state_, [&](JobIndex job_index, const Job& job) {
    if (is_call_job(call_classes, job.spec) && !fails_repeatedly(job_index, job, now)) ++calls;
  });
  return calls;
}

bool CallCounter::fails_repeatedly(JobIndex job_index, const Job& job, Seconds now) {
  CallAttempts& call = call_attempts_[job_index];
  if (job.done_count != call.tasks_done) call = {job.done_count, 0, call.last_attempt, now};
  Attempt latest_attempt = 0;
  for (const auto& [task, placement] : job.placements)
    latest_attempt = std::max(latest_attempt, placement.attempt);
  if (latest_attempt > call.last_attempt) {
    call.last_attempt = latest_attempt;
    call.observed_at = now;
    ++call.attempts;
  }
  if (latest_attempt == call.last_attempt && latest_attempt != 0 && now - call.observed_at > long_running_s)
    call.attempts = std::min(call.attempts, 1U);
  return call.attempts > max_failed_attempts;
}

void CallCounter::forget_finished() {
  for (auto it = call_attempts_.begin(); it != call_attempts_.end();) {
    it = state_.live_job(it->first) == nullptr ? call_attempts_.erase(it) : std::next(it);
  }
}

}  // namespace oxbowmill::serving
