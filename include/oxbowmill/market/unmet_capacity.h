// What the last plan left unserved, why, and its log line. Owns these figures; used on the controller's
// thread only.
#pragma once

#include <cstdint>
#include <vector>

#include "oxbowmill/market/ledger.h"
#include "oxbowmill/market/planner.h"

namespace oxbowmill::market {

/// Machines that the last plan did not buy.
class UnmetCapacity {
 public:
  /// The settings must outlive it.
  explicit UnmetCapacity(const Settings& settings) : settings_(settings) {}

  /// Takes the result of a plan; logs it now and then. `reference`: ordinary price of a machine, in the
  /// currency per hour.
  void update(const std::vector<Demand>& demands, const Plan& plan, const Ledger& ledger, double reference,
              Seconds now);
  /// Nothing is needed.
  void clear();
  /// Machines within guarantees that the last plan left unserved.
  std::uint32_t guaranteed_machines() const { return guaranteed_machines_; }
  /// Whether money lacked for one of these.
  bool budget_exhausted() const { return budget_exhausted_; }

 private:
  const char* reason(const Ledger::Usage& usage) const;

  const Settings& settings_;
  std::uint32_t guaranteed_machines_ = 0;
  bool budget_exhausted_ = false;
  Seconds logged_at_ = never;
};

}  // namespace oxbowmill::market
