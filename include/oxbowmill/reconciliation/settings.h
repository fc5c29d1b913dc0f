// Operators' settings of reconciliation after a failover and of suspicions. Plain data, read only once set.
#pragma once

namespace oxbowmill::reconciliation {

/// Settings of reconciliation and suspicion; `config::Config` reads them.
struct Settings {
  /// Whether controllers reconcile at all; without it nothing is suspected and nothing waits for reports.
  bool enabled = false;
  /// A zone's machines are judged by each other once this share of those expected there has reported.
  double reported_fraction = 0.6;
  /// This share of all machines of a partition makes its recorded state good enough to scale out by.
  double sufficient_fraction = 0.9;
  /// After a failover a machine is suspected after a silence of this times the delay of the latest first
  /// report of its zone, once `reported_fraction` of the zone's expected machines have reported. At least the
  /// time in which an agent without an owner reports, at most `first_report_timeout_s` of the cluster's
  /// settings.
  double threshold_multiplier = 1.5;
  /// How long demand is observed anew before idle machines are returned by it.
  double demand_window_s = 30;
  /// Returns a second while a start ramps down, as a share of the state service's writes a second.
  double return_rate_fraction = 0.1;
  /// Replacements requested ahead of proof, at most this share of the machines that are up.
  double max_replacement_fraction = 0.15;
  /// Delete suspects early where that is expected to pay.
  bool delete_suspects = true;
};

}  // namespace oxbowmill::reconciliation
