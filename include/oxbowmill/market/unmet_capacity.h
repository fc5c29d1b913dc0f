// Tracks and logs the demand that the last plan left unserved. Used on the controller's thread only.
#pragma once

#include <cstdint>
#include <vector>

#include "oxbowmill/market/ledger.h"
#include "oxbowmill/market/planner.h"

namespace oxbowmill::market {

/// Demand that the last plan left unserved, and its probable reason.
class UnmetCapacity {
 public:
  /// `settings` must outlive this object.
  explicit UnmetCapacity(const Settings& settings) : settings_(settings) {}

  /// Evaluates a plan and logs unserved demand at a limited rate. `reference_price`: the cloud's lowest
  /// posted price of a machine, in the currency per hour.
  void update(const std::vector<Demand>& demands, const Plan& plan, const Ledger& ledger,
              double reference_price, Seconds now);
  /// Resets the figures when there is no unmet demand.
  void clear();
  /// Number of machines within guarantees that the last plan left unserved.
  std::uint32_t guaranteed_machines() const { return guaranteed_machines_; }
  /// Whether the remaining money does not cover the unserved machines of a guaranteed demand.
  bool budget_exhausted() const { return budget_exhausted_; }

 private:
  const char* reason(const Ledger::Usage& usage) const;

  const Settings& settings_;
  std::uint32_t guaranteed_machines_ = 0;
  bool budget_exhausted_ = false;
  Seconds logged_at_ = never;
};

}  // namespace oxbowmill::market
