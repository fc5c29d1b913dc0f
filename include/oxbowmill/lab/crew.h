// What experiments share: many runs on several threads, and the middle of what they gave.
#pragma once

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace oxbowmill::lab {

/// Calls `run` with 0 to n-1, on several threads.
inline void in_parallel(std::size_t n, unsigned threads, const std::function<void(std::size_t)>& run) {
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> crew;
  for (unsigned t = 0; t < std::max(1U, threads); ++t) {
    crew.emplace_back([&] {
      for (std::size_t i = 0; (i = next++) < n;) run(i);
    });
  }
  for (std::thread& t : crew) t.join();
}

/// 0 of none.
inline double median(std::vector<double> v) {
  if (v.empty()) return 0;
  std::sort(v.begin(), v.end());
  return (v[(v.size() - 1) / 2] + v[v.size() / 2]) / 2;
}

}  // namespace oxbowmill::lab
