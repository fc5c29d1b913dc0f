#include "oxbowmill/simulation/state_store.h"

#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::simulation {

void StateStore::change(const std::string& key, std::optional<Json> value, std::uint64_t lease_id) {
  events_.push_back({revision_, key, value});
  if (value) {
    keys_[key] = {*value, revision_, lease_id};
  } else {
    keys_.erase(key);
  }
}

std::vector<StateStore::Event> StateStore::take_events() {
  std::vector<Event> taken;
  taken.swap(events_);
  return taken;
}

StateStore::Result StateStore::txn(const Json& body) {
  if (outage_) return {503, Json::object()};
  if (body.at("apply").size() > txn_ops || body.at("guards").size() > 4 * txn_ops) {
    return {400, {{"error", "too large"}}};
  }
  for (const Json& op : body.at("apply")) {
    if (op.contains("put") && wire::to_json_text(op.at("value")).size() > value_bytes)
      return {400, {{"error", "too large"}}};
  }
  for (const Json& op : body.at("apply")) {
    if (op.contains("grant") && leases_.count(op["grant"].get<std::uint64_t>()) == 0) {
      return {400, {{"error", "no such lease"}}};
    }
  }
  Json failed_keys = Json::array();
  for (const Json& guard : body.at("guards")) {
    auto it = keys_.find(guard.at("k").get<std::string>());
    std::uint64_t revision = it == keys_.end() ? 0 : it->second.revision;
    if (revision != guard.at("stamp").get<std::uint64_t>()) failed_keys.push_back(guard["k"]);
  }
  if (!failed_keys.empty()) return {409, {{"failed", failed_keys}, {"ledger_rev", revision_}}};
  if (!body["apply"].empty()) ++revision_;
  for (const Json& operation : body["apply"]) {
    if (operation.contains("put")) {
      change(operation["put"].get<std::string>(), operation.at("value"),
             operation.value("grant", std::uint64_t{0}));
    } else if (keys_.count(operation.at("delete").get<std::string>()) != 0) {
      change(operation["delete"].get<std::string>(), std::nullopt, 0);
    }
  }
  return {200, {{"ledger_rev", revision_}}};
}

std::uint64_t StateStore::grant_lease(double duration_s, double now) {
  leases_[++next_lease_id_] = {duration_s, now + duration_s};
  return next_lease_id_;
}

bool StateStore::renew_lease(std::uint64_t id, double now) {
  expire_leases(now);
  auto it = leases_.find(id);
  if (outage_ || it == leases_.end()) return false;
  it->second.expires_at = now + it->second.duration_s;
  return true;
}

void StateStore::revoke_lease(std::uint64_t id) {
  if (id == 0) return;  // 0 is the lease id of keys without a lease
  leases_.erase(id);
  std::vector<std::string> attached_keys;
  for (const auto& [key, entry] : keys_) {
    if (entry.lease_id == id) attached_keys.push_back(key);
  }
  if (!attached_keys.empty()) ++revision_;
  for (const std::string& key : attached_keys) change(key, std::nullopt, 0);
}

void StateStore::expire_leases(double now) {
  if (outage_) return;
  std::vector<std::uint64_t> expired_ids;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_at < now) expired_ids.push_back(id);
  }
  for (std::uint64_t id : expired_ids) revoke_lease(id);
}

void StateStore::set_outage(bool on, double now) {
  outage_ = on;
  if (!on) {
    for (auto& [id, lease] : leases_) lease.expires_at = now + lease.duration_s;
  }
}

}  // namespace oxbowmill::simulation
