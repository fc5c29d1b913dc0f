// The state of a gang, derived from its placements. Stateless functions.
#pragma once

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill {

/// The state of the gang's current attempt. Before the gang runs, a member that is lost or gave up waiting is
/// replaced under the same attempt number while the others continue fetching and waiting: stopping them all
/// would abort every fetch that takes longer than the gang waits, and the gang would never start.
GangState gang_state(const Job& job);
/// What has to be done with the members that are still on their machines.
enum class GangAction : std::uint8_t {
  none,        ///< nothing
  finish_all,  ///< one member is done, so all are
  stop_all,    ///< the gang cannot continue
};
/// The action that the state of the gang requires.
GangAction gang_action(const Job& job);

}  // namespace oxbowmill
