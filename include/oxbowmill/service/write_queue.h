// Transactions without a final outcome yet, in the form in which they were first sent.
#pragma once

#include <unordered_map>

#include "oxbowmill/state/keys.h"

namespace oxbowmill::service {

/// Owns the encoded form of the scheduler's transactions from the first attempt to the final outcome.
class WriteQueue {
 public:
  /// A transaction as the state service gets it.
  struct SentTransaction {
    wire::Json body;  ///< as it is committed
    /// By key of the state service; what the replica gets once it is committed.
    std::vector<std::pair<std::string, Change>> changes;
  };
  /// The encoded transaction. A retry sends the very same one: names in the cluster state may have changed
  /// since, or be gone. The reference is valid until `drop`.
  SentTransaction& get_or_create(const Write& write, ClusterState& state);
  /// Null if the transaction has its final outcome, or never was sent.
  SentTransaction* find(std::uint64_t id);
  /// The transaction will not be retried.
  void drop(std::uint64_t id) { transactions_.erase(id); }

 private:
  std::unordered_map<std::uint64_t, SentTransaction> transactions_;
};

}  // namespace oxbowmill::service
