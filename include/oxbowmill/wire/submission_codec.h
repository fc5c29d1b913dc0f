// Bodies that users and controllers exchange: submissions of jobs and answers on their status. The names of
// all fields are in src/wire/submission_codec.cpp. Stateless.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "oxbowmill/cluster/settings.h"
#include "oxbowmill/cluster/types.h"
#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::wire {

/// Why a submission is refused.
struct Rejection {
  int status = 400;    ///< HTTP status: 400 malformed, 422 well-formed but can never run
  std::string reason;  ///< one line for the user
};

/// Reads the fields of a submission into `out`; a rejection leaves `out` partly filled. Names of types, zones
/// and teams that do not exist are distinguished from malformed input: the former can never run (422), the
/// latter is 400.
std::optional<Rejection> read_submission(const Json& json, Names& names, JobSpec& out);
/// Whether an otherwise well-formed job can run at all.
std::optional<Rejection> check_runnable(const JobSpec& spec, const Settings& settings,
                                        const std::vector<MachineType>& catalog);
/// The body that reads back as this job.
Json write_submission(const JobSpec& spec, const Names& names);
/// Names of the machine types that a submission allows, known or not; what is no text is left out.
std::vector<std::string> submitted_types(const Json& submission);

/// The answer to a user's status query: counts are of tasks.
Json job_status(const std::string& ref, const std::string& phase, std::uint32_t done, std::uint32_t running);

}  // namespace oxbowmill::wire
