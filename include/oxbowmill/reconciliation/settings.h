// Operators' settings of starts and of doubt about machines.
#pragma once

namespace oxbowmill::reconciliation {

struct Settings {
  bool enabled = false;
  // A zone's machines speak for it once this share of those expected there has been heard ...
  double reported_fraction = 0.6;
  // ... and this share of all makes a part's picture good enough to rent by.
  double sufficient_fraction = 0.9;
  // A machine is suspected at max(median of the earliest `reported_fraction` first words x multiplier,
  // floor). The floor is derived from the workers' report interval; this is the multiplier.
  double threshold_multiplier = 1.5;
  // How long demand is watched anew before idle machines go back by it.
  double demand_window_s = 30;
  // Returns a second while a start is eased out, as a share of the state service's changes a second.
  double return_rate_fraction = 0.1;
  // Replacements asked for ahead of proof, at most this share of the machines that are up.
  double max_replacement_fraction = 0.15;
  // Delete suspects early where that is expected to pay.
  bool delete_suspects = true;
};

}  // namespace oxbowmill::reconciliation
