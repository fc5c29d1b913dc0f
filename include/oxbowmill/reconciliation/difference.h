// In what a worker's report and the stored state differ: pure, by kind. What follows from each, on which
// proof, stands in docs/reconciliation.md; the scheduler carries it out.
#pragma once

#include <array>
#include <cstdint>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill::reconciliation {

enum class Difference : std::uint8_t {
  stale_token,       // the worker has not shown the present owner's token: what it lacks proves nothing yet
  not_reported,      // placed here, the worker does not list it: lost, or never started
  not_placed,        // the worker runs what has no placement anywhere
  placed_elsewhere,  // it runs what is placed on another machine: an earlier start whose end was proved
  other_attempt,     // it runs another attempt than the one placed here
  ended_unreported,  // placed here, and it ended while nobody listened
  job_finished,      // it runs a task of a job that is done or cancelled
  gang_broken,     // a member of a gang is not reported, ended or lost while others of its attempt are there
  uncleared_task,  // it lists an ended task without a placement: to be cleared
  market_managed,  // its record is a market's: only its own word and its lease count
};
constexpr std::size_t difference_kind_count = 10;
const char* name_of(Difference difference);

struct Differences {
  std::array<std::uint32_t, difference_kind_count> count{};
  void add(Difference difference) { ++count[static_cast<std::size_t>(difference)]; }
  std::uint32_t operator[](Difference difference) const {
    return count[static_cast<std::size_t>(difference)];
  }
  Differences& operator+=(const Differences& o) {
    for (std::size_t i = 0; i < difference_kind_count; ++i) count[i] += o.count[i];
    return *this;
  }
  /// Something that an order, a record or a proof has yet to settle.
  bool any() const;
};

/// The report as it stands against the tables, before anything is concluded from it.
Differences compare(const ClusterState& model, MachineIndex machine_index, const WorkerReport& report);

/// What a report says before it is compared at all.
enum class ReportValidity : std::uint8_t {
  unregistered,  // a machine without a record
  not_owned,     // another controller's
  stale,         // older than one that was judged already, or from before the takeover
  higher_token,  // the worker has seen a later authority than ours
  valid,         // to be compared
};
ReportValidity check_validity(const ClusterState& model, bool owned, MachineIndex machine_index,
                              const WorkerReport& report);

}  // namespace oxbowmill::reconciliation
