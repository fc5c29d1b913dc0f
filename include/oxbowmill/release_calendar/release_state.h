// The releases as the shared state has them. Each has two durable decisions (docs/decisions.md): the
// operators' spec and the progress of its rounds. This header has their states, their stored format and
// ReleaseRecords, which owns the parsed form of both. Used on the controller's loop only.
#pragma once

#include <map>

#include "oxbowmill/decisions/decision_log.h"
#include "oxbowmill/release_calendar/release_spec.h"

namespace oxbowmill::release_calendar {

/// State of a release's decision. An epoch is one round for one source revision.
enum class ReleaseStatus : std::uint8_t {
  none,       ///< no record yet
  rendering,  ///< not all editions have rendered, or the publish time has not come
  decided,    ///< all have rendered: the publishing jobs of this revision may run
  published,  ///< the publishing jobs have run
  broken,     ///< a required job was cancelled: the release waits for a replacement
  withdrawn,  ///< operators removed the release: its jobs are ordinary jobs
  unknown,    ///< a state that this version does not know
};

/// State of the operators' spec, as the newest file among the controllers has it.
enum class SpecStatus : std::uint8_t {
  none,     ///< no record yet
  active,   ///< the newest file names the release
  removed,  ///< the newest file does not name it any more
  unknown,  ///< a state that this version does not know
};

/// The name that records store.
std::string stored_name(ReleaseStatus status);
/// The name that records store.
std::string stored_name(SpecStatus status);

/// Kind of the decisions on the progress of releases, with the allowed changes of ReleaseStatus.
const decisions::DecisionKind& decision_kind();
/// Kind of the records that hold the operators' specs, with the allowed changes of SpecStatus.
const decisions::DecisionKind& spec_kind();

/// One release as its two records have it, parsed once for each change of them.
struct ReleaseState {
  Revision spec_revision = 0;                  ///< of the spec record that was parsed
  Revision decision_revision = 0;              ///< of the decision record that was parsed
  std::optional<ReleaseSpec> desired_spec;     ///< by the operators; none: removed, or not readable
  std::optional<ReleaseSpec> active_spec;      ///< of the current round
  bool is_readable = true;                     ///< whether the operators' spec could be read
  ReleaseStatus status = ReleaseStatus::none;  ///< progress of the current round
  std::map<std::string, std::set<std::string>>
      bound_jobs;                       ///< job ids found for each RequiredJobs::bound_field
  std::set<std::string> withheld_jobs;  ///< publishing jobs of abandoned revisions, which may not run
  std::string pending_reason;           ///< why the release has not been decided; not stored

  /// Whether the round has begun and is not decided.
  [[nodiscard]] bool is_undecided() const {
    return status == ReleaseStatus::rendering || status == ReleaseStatus::broken;
  }
};

/// Stores the spec in the notes of a spec or decision record.
void write_spec(DecisionRecord& record, const ReleaseSpec& release_spec);
/// Stores the publishing jobs of abandoned revisions in a decision record; an empty set is not stored.
void write_withheld_jobs(DecisionRecord& record, const std::set<std::string>& refs);
/// Stores the jobs found for one RequiredJobs::bound_field in a decision record; an empty set is not stored.
void write_bound_jobs(DecisionRecord& record, const std::string& bound_field,
                      const std::set<std::string>& refs);

/// The parsed form of all release records.
class ReleaseRecords {
 public:
  /// Parses the records whose revision changed since the last call.
  void refresh(const decisions::DecisionLog& decision_log);
  /// The release as last parsed; null if no record of it was seen.
  [[nodiscard]] const ReleaseState* find(const std::string& name) const;
  /// All releases by name, including removed ones.
  [[nodiscard]] const std::map<std::string, ReleaseState>& all() const { return releases_; }
  /// The same for those who update `pending_reason`.
  std::map<std::string, ReleaseState>& all() { return releases_; }

 private:
  std::map<std::string, ReleaseState> releases_;
};

}  // namespace oxbowmill::release_calendar
