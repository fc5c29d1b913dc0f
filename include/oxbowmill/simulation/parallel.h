// Functions that all experiments use: running many simulations on several threads, and medians. No state.
#pragma once

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace oxbowmill::simulation {

/// Calls `run` with each number from 0 to `n` - 1 on `threads` threads (at least one) and waits until all
/// calls have returned. `run` must be safe to call concurrently and must not throw.
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

/// The median of the values; 0 if there are none.
inline double median(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return (values[(values.size() - 1) / 2] + values[values.size() / 2]) / 2;
}

}  // namespace oxbowmill::simulation
