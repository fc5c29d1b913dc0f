// Holds the transactions without a final outcome, encoded as they were first sent. Performs no I/O.
#pragma once

#include <unordered_map>

#include "oxbowmill/state/keys.h"

namespace oxbowmill::service {

/// Owns the encoded form of the scheduler's transactions from the first attempt until the final outcome.
class WriteQueue {
 public:
  /// A transaction as it is sent to the state service.
  struct SentTransaction {
    wire::Json body;  ///< of the request that commits the transaction
    /// Changes with their keys in the state service, to be applied to the replica after the commit.
    std::vector<std::pair<std::string, Change>> changes;
  };
  /// Returns the encoded transaction, and encodes it at the first call. A retry sends the same encoding,
  /// because the names in the cluster state may have changed or be gone by then. Valid until `drop`.
  SentTransaction& get_or_create(const Write& write, ClusterState& state);
  /// Null if the transaction has its final outcome or was never sent.
  SentTransaction* find(std::uint64_t id);
  /// Discards a transaction that will not be retried.
  void drop(std::uint64_t id) { transactions_.erase(id); }

 private:
  std::unordered_map<std::uint64_t, SentTransaction> transactions_;
};

}  // namespace oxbowmill::service
