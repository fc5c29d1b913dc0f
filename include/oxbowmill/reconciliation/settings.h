// Operators' settings for reconciliation after a failover and for suspicions. Plain data, constant once set.
#pragma once

namespace oxbowmill::reconciliation {

/// Settings of reconciliation and suspicion, read from the operators' file by the package `config`.
struct Settings {
  /// Whether controllers reconcile. If not, no machine is suspected and nothing waits for reports.
  bool enabled = false;
  /// Fraction of a zone's expected machines that must have reported before its silent machines are suspected.
  double reported_fraction = 0.6;
  /// Fraction of a partition's expected machines whose reports are enough to decide on scale outs.
  double sufficient_fraction = 0.9;
  /// After a failover a machine is suspected after a silence of this factor times the delay of the latest
  /// first report of its zone, once `reported_fraction` of the zone's expected machines have reported. The
  /// silence is at least the time in which an agent without an owner reports, and at most
  /// `first_report_timeout_s` of the cluster's settings.
  double threshold_multiplier = 1.5;
  /// Seconds from the takeover of the idle pool during which demand is observed and no idle machine is
  /// returned.
  double demand_window_s = 30;
  /// Returns per second while returns ramp down, and deletions of suspected machines per second, as a
  /// fraction of the write rate of the state service.
  double return_rate_fraction = 0.1;
  /// Replacements requested before a loss is proved are at most this fraction of the machines that have
  /// booted.
  double max_replacement_fraction = 0.15;
  /// Whether suspected machines are deleted before their leases expire where that is expected to be
  /// worthwhile.
  bool delete_suspects = true;
};

}  // namespace oxbowmill::reconciliation
