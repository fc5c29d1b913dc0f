// What experiments share: many runs on several threads, and the middle of what they gave.
#pragma once

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace oxbowmill::simulation {

/// Calls `run` with 0 to n-1, on several threads.
inline void run_in_parallel(std::size_t n, unsigned threads, const std::function<void(std::size_t)>& run) {
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> worker_threads;
  for (unsigned t = 0; t < std::max(1U, threads); ++t) {
    worker_threads.emplace_back([&] {
      for (std::size_t i = 0; (i = next++) < n;) run(i);
    });
  }
  for (std::thread& t : worker_threads) t.join();
}

/// 0 of none.
inline double median(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return (values[(values.size() - 1) / 2] + values[values.size() / 2]) / 2;
}

}  // namespace oxbowmill::simulation
