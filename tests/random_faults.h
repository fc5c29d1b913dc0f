// Faults that the random histories of releases and of served models inject.
#pragma once

#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {

enum class RandomFault {
  owner_crash,        // the owner ends and another controller takes over
  writes_unanswered,  // the owner's writes, or the responses to them, are lost for 0.5 s
  state_outage,       // the state service is down for 0.5 to 2 s
  delayed_duplicates  // all writes that did not arrive so far are applied late, possibly once more
};

/// Injects one fault into the cluster of `world`. It has three controllers; `world.owner` is the index of the
/// one that owns the partition. `pick(n)` returns a random number from 0 to n - 1.
template <class World, class Pick>
void inject_fault(World& world, RandomFault fault, Pick&& pick) {
  simulation::SimulatedController& owner = world.cluster.controller(world.owner);
  switch (fault) {
    case RandomFault::owner_crash:
      world.change_owner();
      break;
    case RandomFault::writes_unanswered:
      owner.write_outcome =
          pick(2) == 0 ? simulation::WriteOutcome::answer_lost : simulation::WriteOutcome::not_arrived;
      world.run(0.5);
      owner.write_outcome = simulation::WriteOutcome::answered;
      break;
    case RandomFault::state_outage:
      world.cluster.store.set_outage(true, world.cluster.now);
      world.run(0.5 * (1 + pick(4)));
      world.cluster.store.set_outage(false, world.cluster.now);
      break;
    case RandomFault::delayed_duplicates:
      for (std::size_t i = 0; i < 3; ++i) {
        for (const simulation::Json& body : world.cluster.controller(i).lost_writes)
          world.cluster.store.txn(body);
      }
      break;
  }
}

}  // namespace oxbowmill
