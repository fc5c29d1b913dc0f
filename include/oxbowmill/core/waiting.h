// Why a job has not begun with all its tasks: for whoever reads the log. Pure.
#pragma once

#include "oxbowmill/core/promise.h"

namespace oxbowmill {

const char* name_of(WaitCause c);

/// Of the tasks that have not begun: how many, and what the first of them waits for. Seconds.
struct Wait {
  std::uint32_t tasks = 0;
  WaitCause cause = WaitCause::none;
};
Wait wait_of(const Model& model, const Job& j, Seconds now);

}  // namespace oxbowmill
