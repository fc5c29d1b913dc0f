#include "oxbowmill/decisions/decision_kind.h"

#include <algorithm>

namespace oxbowmill::decisions {

bool DecisionKind::allows(const std::string& from, const std::string& to) const {
  return std::any_of(transitions.begin(), transitions.end(), [&](const Transition& transition) {
    return transition.from == from && transition.to == to;
  });
}

}  // namespace oxbowmill::decisions
