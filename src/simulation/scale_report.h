// Makes the report of a scale run from the resources that its processes used and from its evaluator. No
// state.
#pragma once

#include <string>
#include <vector>

#include "oxbowmill/simulation/scale_evaluator.h"
#include "oxbowmill/simulation/scale_run.h"
#include "scale_process.h"

namespace oxbowmill::simulation {

/// `ended`: roles of processes that ended by themselves; `measured_s`: time since the end of the warm-up.
ScaleReport make_report(const ScaleSettings& settings, const ScaleEvaluator& evaluator,
                        const std::vector<ScaleProcess>& processes, const std::vector<std::string>& ended,
                        double measured_s);

}  // namespace oxbowmill::simulation
