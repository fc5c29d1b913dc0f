// Encodes and decodes the messages between users and controllers: submissions of jobs and answers to status
// queries. src/wire/submission_codec.cpp defines the names of the fields. Stateless.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "oxbowmill/cluster/settings.h"
#include "oxbowmill/cluster/types.h"
#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::wire {

/// For submissions. No field has more than the 64 items of a list of machine types.
extern const BodyRules submission_rules;

/// Reason for rejecting a submission.
struct Rejection {
  int status = 400;    ///< HTTP status: 400: malformed; 422: well-formed, but the job can never run
  std::string reason;  ///< explanation for the user, in one line
};

/// A submission whose names of the job class and of the image have no index yet, since names from users are
/// kept for good once they have one.
struct Submission {
  JobSpec spec;           ///< without job class and image
  std::string job_class;  ///< name of the job class
  std::string image;      ///< name of the image
};

/// Decodes a submission into `out`. Returns the rejection if it is malformed (400), or names a zone or team
/// that does not exist or only machine types that do not exist (422); `out` is then partly filled.
std::optional<Rejection> read_submission(const Json& json, const Names& names, Submission& out);
/// Decodes the submission of an accepted job: its names are added to `names`, unless it is rejected.
std::optional<Rejection> read_submission(const Json& json, Names& names, JobSpec& out);
/// Rejects a well-formed job that can never run with these machine types and team limits; empty if it can.
std::optional<Rejection> check_runnable(const JobSpec& spec, const Settings& settings,
                                        const std::vector<MachineType>& catalog);
/// Encodes a job such that `read_submission` returns it.
Json write_submission(const Submission& submission, const Names& names);
/// The same for a job whose job class and image are in `names`.
Json write_submission(const JobSpec& spec, const Names& names);
/// Names of the machine types that a submission allows, known or not. Items that are not strings are skipped.
std::vector<std::string> submitted_types(const Json& submission);

/// Encodes the answer to a user's status query, with the numbers of finished and of running tasks.
Json job_status(const std::string& ref, const std::string& phase, std::uint32_t done, std::uint32_t running);

}  // namespace oxbowmill::wire
