#include "oxbowmill/service/write_queue.h"

#include <spdlog/spdlog.h>

namespace oxbowmill::service {

using wire::Json;

WriteQueue::SentTransaction& WriteQueue::get_or_create(const Write& write, ClusterState& model) {
  auto [it, fresh] = transactions_.try_emplace(write.id);
  SentTransaction& transaction = it->second;
  if (!fresh) return transaction;
  transaction.body = {{"guards", Json::array()}, {"apply", Json::array()}};
  for (const Guard& g : write.txn.guards)
    transaction.body["guards"].push_back({{"k", state::encode_key(g.key, model)}, {"stamp", g.revision}});
  for (const Change& change : write.txn.changes) {
    std::string key = state::encode_key(change.key, model);
    Json operation;
    if (change.is_removal()) {
      operation["delete"] = key;
    } else {
      operation["put"] = key;
      operation["value"] = state::encode_value(change, model);
    }
    transaction.body["apply"].push_back(std::move(operation));
    transaction.changes.emplace_back(std::move(key), change);
  }
  SPDLOG_DEBUG("transaction {}: {}", write.id, transaction.body["apply"].dump());
  return transaction;
}

WriteQueue::SentTransaction* WriteQueue::find(std::uint64_t id) {
  auto it = transactions_.find(id);
  return it == transactions_.end() ? nullptr : &it->second;
}

}  // namespace oxbowmill::service
