// Transactions on their way to the state service, as they were first sent.
#pragma once

#include <unordered_map>

#include "oxbowmill/state/keys.h"

namespace oxbowmill::service {

class WriteQueue {
 public:
  struct SentTransaction {
    wire::Json body;
    std::vector<std::pair<std::string, Change>> changes;
  };
  /// A repeated transaction is the very same one: what it names may have changed in the tables since, or be
  /// gone.
  SentTransaction& get_or_create(const Write& write, ClusterState& model);
  SentTransaction* find(std::uint64_t id);
  /// It will not be repeated.
  void drop(std::uint64_t id) { transactions_.erase(id); }

 private:
  std::unordered_map<std::uint64_t, SentTransaction> transactions_;
};

}  // namespace oxbowmill::service
