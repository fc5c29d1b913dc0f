#include "oxbowmill/release_calendar/release_state.h"

#include <algorithm>
#include <iterator>
#include <sstream>

namespace oxbowmill::release_calendar {

namespace {

// Stored data: these strings must not change.
constexpr decisions::StateNames<ReleaseStatus, 6> release_status_names = {{{
    {ReleaseStatus::none, ""},
    {ReleaseStatus::rendering, "rendering"},
    {ReleaseStatus::decided, "decided"},
    {ReleaseStatus::published, "published"},
    {ReleaseStatus::broken, "broken"},
    {ReleaseStatus::withdrawn, "lifted"},
}}};
constexpr decisions::StateNames<SpecStatus, 3> spec_status_names = {{{
    {SpecStatus::none, ""},
    {SpecStatus::active, "stands"},
    {SpecStatus::removed, "removed"},
}}};
// Names of notes in the records. All other notes of a decision record are named by RequiredJobs::bound_field.
const std::string spec_field = "terms";
const std::string withheld_field = "held";

std::set<std::string> split_words(const std::string& text) {
  std::istringstream in(text);
  return {std::istream_iterator<std::string>(in), std::istream_iterator<std::string>()};
}

std::string join_words(const std::set<std::string>& words) {
  std::string text;
  for (const std::string& word : words) text += (text.empty() ? "" : " ") + word;
  return text;
}

std::string note_of(const DecisionRecord& record, const std::string& field) {
  auto note = record.notes.find(field);
  return note == record.notes.end() ? std::string() : note->second;
}

void parse_spec_record(const Decision& decision, ReleaseState& release) {
  if (release.spec_revision == decision.revision) return;
  release.spec_revision = decision.revision;
  SpecStatus status = spec_status_names.parse(decision.record.state, SpecStatus::unknown);
  release.desired_spec =
      status == SpecStatus::active ? from_text(note_of(decision.record, spec_field)) : std::nullopt;
  // Controllers that can read a spec of a later version advance the release; this one withholds all jobs.
  release.is_readable = status == SpecStatus::removed || release.desired_spec;
}

void parse_decision_record(const Decision& decision, ReleaseState& release) {
  if (release.decision_revision == decision.revision) return;
  release.decision_revision = decision.revision;
  release.status = release_status_names.parse(decision.record.state, ReleaseStatus::unknown);
  release.active_spec = from_text(note_of(decision.record, spec_field));
  release.withheld_jobs = split_words(note_of(decision.record, withheld_field));
  release.bound_jobs.clear();
  for (const auto& [field, text] : decision.record.notes) {
    if (field != spec_field && field != withheld_field) release.bound_jobs[field] = split_words(text);
  }
}

}  // namespace

std::string stored_name(ReleaseStatus status) {
  return release_status_names.stored_name(status);
}

std::string stored_name(SpecStatus status) {
  return spec_status_names.stored_name(status);
}

const decisions::DecisionKind& decision_kind() {
  using Status = ReleaseStatus;
  // `decided` may change to `published` only: an edition may already be published, and if another round
  // replaced the decision, the other editions would stay at an older revision.
  static const decisions::DecisionKind kind =
      decisions::make_kind<Status>("release", release_status_names,
                                   {{Status::none, Status::rendering},
                                    {Status::rendering, Status::rendering},
                                    {Status::rendering, Status::decided},
                                    {Status::rendering, Status::broken},
                                    {Status::rendering, Status::withdrawn},
                                    {Status::broken, Status::rendering},
                                    {Status::broken, Status::withdrawn},
                                    {Status::decided, Status::decided},
                                    {Status::decided, Status::published},
                                    {Status::published, Status::rendering},
                                    {Status::published, Status::withdrawn},
                                    {Status::withdrawn, Status::rendering}});
  return kind;
}

const decisions::DecisionKind& spec_kind() {
  static const decisions::DecisionKind kind =
      decisions::make_kind<SpecStatus>("calendar", spec_status_names,
                                       {{SpecStatus::none, SpecStatus::active},
                                        {SpecStatus::active, SpecStatus::active},
                                        {SpecStatus::active, SpecStatus::removed},
                                        {SpecStatus::removed, SpecStatus::active},
                                        {SpecStatus::removed, SpecStatus::removed}});
  return kind;
}

void write_spec(DecisionRecord& record, const ReleaseSpec& release_spec) {
  record.notes[spec_field] = to_text(release_spec);
}

void write_withheld_jobs(DecisionRecord& record, const std::set<std::string>& refs) {
  if (!refs.empty()) record.notes[withheld_field] = join_words(refs);
}

void write_bound_jobs(DecisionRecord& record, const std::string& bound_field,
                      const std::set<std::string>& refs) {
  if (!refs.empty()) record.notes[bound_field] = join_words(refs);
}

void ReleaseRecords::refresh(const decisions::DecisionLog& decision_log) {
  decision_log.for_each(spec_kind(), [this](const std::string& name, const Decision& decision) {
    parse_spec_record(decision, releases_[name]);
  });
  decision_log.for_each(decision_kind(), [this](const std::string& name, const Decision& decision) {
    parse_decision_record(decision, releases_[name]);
  });
}

const ReleaseState* ReleaseRecords::find(const std::string& name) const {
  auto release = releases_.find(name);
  return release == releases_.end() ? nullptr : &release->second;
}

}  // namespace oxbowmill::release_calendar
