// Makes the report of a scale run from the resource usage of its processes and from its evaluator. Stateless.
#pragma once

#include <string>
#include <vector>

#include "oxbowmill/simulation/scale_evaluator.h"
#include "oxbowmill/simulation/scale_run.h"
#include "scale_process.h"

namespace oxbowmill::simulation {

/// Makes the report. `unexpectedly_ended`: roles of processes that ended unexpectedly; `measured_s`: seconds
/// since the end of the warm-up.
ScaleReport make_report(const ScaleSettings& settings, const ScaleEvaluator& evaluator,
                        const std::vector<ScaleProcess>& processes,
                        const std::vector<std::string>& unexpectedly_ended, double measured_s);

}  // namespace oxbowmill::simulation
