#include "oxbowmill/core/waiting.h"

namespace oxbowmill {

const char* name_of(WaitCause c) {
  static constexpr const char* names[] = {"nothing",
                                          "its turn",
                                          "its team's limit",
                                          "machines with room",
                                          "cheap machines that come",
                                          "room that is being left or comes",
                                          "machines with its image, which the leader is asked for",
                                          "the rest of it, while changes are scarce",
                                          "a transaction",
                                          "a pause after failures",
                                          "its earlier attempt to end",
                                          "word from its machine after a takeover",
                                          "its start order to be taken",
                                          "its image",
                                          "the rest of its gang",
                                          "its stop"};
  return names[static_cast<int>(c)];
}

namespace {

WaitCause cause_of(const Placement& p) {
  switch (p.state) {
    case PlacementState::placed:
      return p.taken_over ? WaitCause::word : WaitCause::start;
    case PlacementState::sent:
      return WaitCause::start;
    case PlacementState::seen:
      return p.phase == TaskPhase::fetching    ? WaitCause::image
             : p.phase == TaskPhase::gathering ? WaitCause::gang
                                               : WaitCause::none;
    case PlacementState::stopping:
      return WaitCause::stop;
    case PlacementState::finished:
    case PlacementState::gone:
      return WaitCause::transaction;
  }
  return WaitCause::none;
}

}  // namespace

Wait wait_of(const Model& model, const Job& j, Seconds now) {
  Wait w;
  if (j.phase != JobPhase::open || model.settings.op.begin_within_s <= 0) return w;
  for (const auto& [t, p] : j.placed) {
    if (p.state == PlacementState::finished || j.has_begun(t) || p.has_begun(now)) continue;
    WaitCause cause = cause_of(p);
    if (cause == WaitCause::none) continue;  // it runs, though not for long
    ++w.tasks;
    if (w.cause == WaitCause::none) w.cause = cause;
  }
  // What has no place waits longest.
  if (!waits_to_begin(j)) return w;
  w.tasks += j.pending();
  w.cause = j.waits_for;
  return w;
}

}  // namespace oxbowmill
