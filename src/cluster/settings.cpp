#include "oxbowmill/cluster/settings.h"

namespace oxbowmill {

namespace {
constexpr double max_read_only_period_s = 12;
}  // namespace

double Settings::read_only_period_s() const {
  // Controller lease, read-only period, machine lease and margins together must stay below the cancel
  // deadline, so that by then no task runs any more that an owner kept alive while it was cut off.
  double remaining_s =
      cancel_deadline_s - operator_settings.controller_lease_s - lease_expiry_s() - 2 * safety_margin_s;
  return std::clamp(remaining_s, 0.0, max_read_only_period_s);
}

}  // namespace oxbowmill
