// Troubles that the random histories of releases and models share.
#pragma once

#include "oxbowmill/lab/cluster.h"

namespace oxbowmill {

enum class Trouble { owner_ends, answers_lost, state_outage, late_copies };

/// `world` has a cluster of three controllers, one of which owns; `pick(n)` draws from 0 to n - 1.
template <class World, class Pick>
void trouble(World& world, Trouble what, Pick&& pick) {
  lab::Controller& owner = world.c.node(world.owner);
  switch (what) {
    case Trouble::owner_ends:
      world.change_owner();
      break;
    case Trouble::answers_lost:
      owner.fate = pick(2) == 0 ? lab::Fate::answer_lost : lab::Fate::not_arrived;
      world.run(0.5);
      owner.fate = lab::Fate::answered;
      break;
    case Trouble::state_outage:
      world.c.state.set_outage(true, world.c.now);
      world.run(0.5 * (1 + pick(4)));
      world.c.state.set_outage(false, world.c.now);
      break;
    case Trouble::late_copies:
      for (std::size_t i = 0; i < 3; ++i) {
        for (const lab::Json& body : world.c.node(i).lost) world.c.state.txn(body);
      }
      break;
  }
}

}  // namespace oxbowmill
