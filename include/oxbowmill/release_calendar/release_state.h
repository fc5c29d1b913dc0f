// Releases in the shared records. Each release has two decision records (docs/decisions.md): the operators'
// spec and the progress of its rounds. This header defines their states, their stored format and
// ReleaseRecords, which owns the parsed form of both. Used on the controller's loop only.
#pragma once

#include <map>

#include "oxbowmill/decisions/decision_log.h"
#include "oxbowmill/release_calendar/release_spec.h"

namespace oxbowmill::release_calendar {

/// State of a release's decision record. An epoch is the round for one source revision.
enum class ReleaseStatus : std::uint8_t {
  none,       ///< no record yet
  rendering,  ///< not all editions have rendered, or the publish time is not reached
  decided,    ///< all have rendered: the publishing jobs of this revision may run
  published,  ///< the publishing jobs are done, or one was cancelled
  broken,     ///< a required job was cancelled: the release waits for a replacement
  withdrawn,  ///< operators removed the release: its jobs are ordinary jobs
  unknown,    ///< a state that this version does not know
};

/// State of the spec record, as written from the newest calendar file of all controllers.
enum class SpecStatus : std::uint8_t {
  none,     ///< no record yet
  active,   ///< the file has the release
  removed,  ///< the file no longer has the release
  unknown,  ///< a state that this version does not know
};

/// Name of the state in stored records.
std::string stored_name(ReleaseStatus status);
/// Name of the state in stored records.
std::string stored_name(SpecStatus status);

/// Kind of the decision records of releases, with the allowed changes of ReleaseStatus.
const decisions::DecisionKind& decision_kind();
/// Kind of the records of the operators' specs, with the allowed changes of SpecStatus.
const decisions::DecisionKind& spec_kind();

/// One release, parsed from its two records whenever one of them changes.
struct ReleaseState {
  Revision spec_revision = 0;                  ///< revision of the spec record that was parsed
  Revision decision_revision = 0;              ///< revision of the decision record that was parsed
  std::optional<ReleaseSpec> desired_spec;     ///< spec of the operators; none: removed or not readable
  std::optional<ReleaseSpec> active_spec;      ///< spec of the current round; none: no round or not readable
  bool is_readable = true;                     ///< whether this version can read the spec record
  ReleaseStatus status = ReleaseStatus::none;  ///< progress of the current round
  std::map<std::string, std::set<std::string>>
      bound_jobs;                       ///< ids of the bound jobs, by RequiredJobs::bound_field
  std::set<std::string> withheld_jobs;  ///< publishing jobs of abandoned revisions, which may not run
  std::string pending_reason;           ///< why the release waits, as last logged; not stored

  /// Whether the current round is not decided yet.
  [[nodiscard]] bool is_undecided() const {
    return status == ReleaseStatus::rendering || status == ReleaseStatus::broken;
  }
};

/// Stores the spec as a note in a spec record or decision record.
void write_spec(DecisionRecord& record, const ReleaseSpec& release_spec);
/// Stores the publishing jobs of abandoned revisions in a decision record; an empty set is not stored.
void write_withheld_jobs(DecisionRecord& record, const std::set<std::string>& refs);
/// Stores the ids of the jobs bound under a RequiredJobs::bound_field; an empty set is not stored.
void write_bound_jobs(DecisionRecord& record, const std::string& bound_field,
                      const std::set<std::string>& refs);

/// Parsed form of all release records.
class ReleaseRecords {
 public:
  /// Parses the records whose revision has changed since the last call.
  void refresh(const decisions::DecisionLog& decision_log);
  /// The release as last parsed; null if no record of it has been parsed.
  [[nodiscard]] const ReleaseState* find(const std::string& name) const;
  /// All releases by name, including removed ones.
  [[nodiscard]] const std::map<std::string, ReleaseState>& all() const { return releases_; }
  /// All releases by name, for callers that update `pending_reason`.
  std::map<std::string, ReleaseState>& all() { return releases_; }

 private:
  std::map<std::string, ReleaseState> releases_;
};

}  // namespace oxbowmill::release_calendar
