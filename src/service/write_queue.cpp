#include "oxbowmill/service/write_queue.h"

#include <spdlog/spdlog.h>

#include "oxbowmill/service/transaction_body.h"

namespace oxbowmill::service {

WriteQueue::SentTransaction& WriteQueue::get_or_create(const Write& write, ClusterState& state) {
  auto [it, is_new] = transactions_.try_emplace(write.id);
  SentTransaction& transaction = it->second;
  if (!is_new) return transaction;
  TransactionBody body;
  for (const Guard& guard : write.txn.guards)
    body.require(state::encode_key(guard.key, state), guard.revision);
  for (const Change& change : write.txn.changes) {
    std::string key = state::encode_key(change.key, state);
    if (change.is_removal()) {
      body.remove(key);
    } else {
      body.put(key, state::encode_value(change, state));
    }
    transaction.changes.emplace_back(std::move(key), change);
  }
  transaction.body = body.json();
  SPDLOG_DEBUG("transaction created id={} operations={}", write.id,
               wire::to_json_text(transaction.body["apply"]));
  return transaction;
}

WriteQueue::SentTransaction* WriteQueue::find(std::uint64_t id) {
  auto it = transactions_.find(id);
  return it == transactions_.end() ? nullptr : &it->second;
}

}  // namespace oxbowmill::service
