#include "oxbowmill/service/outbox.h"

#include <spdlog/spdlog.h>

namespace oxbowmill::service {

using wire::Json;

Outbox::Sent& Outbox::keep(const Write& w, Model& model) {
  auto [it, fresh] = sent_.try_emplace(w.id);
  Sent& s = it->second;
  if (!fresh) return s;
  s.body = {{"guards", Json::array()}, {"apply", Json::array()}};
  for (const Guard& g : w.txn.guards)
    s.body["guards"].push_back({{"k", state::encode_key(g.key, model)}, {"stamp", g.stamp}});
  for (const Change& c : w.txn.changes) {
    std::string key = state::encode_key(c.key, model);
    Json op;
    if (c.removal()) {
      op["delete"] = key;
    } else {
      op["put"] = key;
      op["value"] = state::encode_value(c, model);
    }
    s.body["apply"].push_back(std::move(op));
    s.changes.emplace_back(std::move(key), c);
  }
  SPDLOG_DEBUG("transaction {}: {}", w.id, s.body["apply"].dump());
  return s;
}

Outbox::Sent* Outbox::find(std::uint64_t id) {
  auto it = sent_.find(id);
  return it == sent_.end() ? nullptr : &it->second;
}

}  // namespace oxbowmill::service
