// What the controllers' durable decisions (docs/accord.md) say of jobs: whether their tasks may be placed,
// and what their placement has to find unchanged. Core asks, `accord` answers; without a counsel nothing is
// held.
#pragma once

#include <limits>
#include <vector>

#include "oxbowmill/core/records.h"

namespace oxbowmill {

struct Advice {
  static constexpr std::uint32_t any = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t most = any;   // tasks that may be on machines at the same time
  std::vector<Guard> guards;  // a placement that finds one of these changed is not made
  double pull_s = 0;          // goes in its rank as if it had come so much earlier
};

class Counsel {
 public:
  virtual ~Counsel() = default;
  /// Narrows what is already in the advice; never widens it. Must answer by the tables alone: a job that was
  /// read a moment ago is held as surely as one known for long.
  virtual void advise(JobIndex job, Advice& advice) const = 0;
  /// Tasks of the part that are to leave their machines, with time to save.
  virtual std::vector<TaskId> unwanted(PartIndex) const { return {}; }
};

}  // namespace oxbowmill
