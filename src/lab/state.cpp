#include "oxbowmill/lab/state.h"

namespace oxbowmill::lab {

void State::change(const std::string& key, std::optional<Json> value, std::uint64_t hold) {
  events_.push_back({revision_, key, value});
  if (value) {
    keys_[key] = {*value, revision_, hold};
  } else {
    keys_.erase(key);
  }
}

std::vector<State::Event> State::take_events() {
  std::vector<Event> taken;
  taken.swap(events_);
  return taken;
}

State::Result State::txn(const Json& body) {
  if (outage_) return {503, Json::object()};
  if (body.at("apply").size() > txn_ops || body.at("guards").size() > 4 * txn_ops) {
    return {400, {{"error", "too large"}}};
  }
  for (const Json& op : body.at("apply")) {
    if (op.contains("put") && op.at("value").dump().size() > value_bytes)
      return {400, {{"error", "too large"}}};
  }
  for (const Json& op : body.at("apply")) {
    if (op.contains("grant") && holds_.count(op["grant"].get<std::uint64_t>()) == 0) {
      return {400, {{"error", "no such lease"}}};
    }
  }
  Json failed = Json::array();
  for (const Json& g : body.at("guards")) {
    auto it = keys_.find(g.at("k").get<std::string>());
    std::uint64_t stamp = it == keys_.end() ? 0 : it->second.stamp;
    if (stamp != g.at("stamp").get<std::uint64_t>()) failed.push_back(g["k"]);
  }
  if (!failed.empty()) return {409, {{"failed", failed}, {"ledger_rev", revision_}}};
  if (!body["apply"].empty()) ++revision_;
  for (const Json& op : body["apply"]) {
    if (op.contains("put")) {
      change(op["put"].get<std::string>(), op.at("value"), op.value("grant", std::uint64_t{0}));
    } else if (keys_.count(op.at("delete").get<std::string>()) != 0) {
      change(op["delete"].get<std::string>(), std::nullopt, 0);
    }
  }
  return {200, {{"ledger_rev", revision_}}};
}

std::uint64_t State::open_hold(double life_s, double now) {
  holds_[++next_hold_] = {life_s, now + life_s};
  return next_hold_;
}

bool State::renew(std::uint64_t id, double now) {
  expire(now);
  auto it = holds_.find(id);
  if (outage_ || it == holds_.end()) return false;
  it->second.ends = now + it->second.life;
  return true;
}

void State::end_hold(std::uint64_t id) {
  if (id == 0) return;  // keys without a hold have this number
  holds_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, e] : keys_) {
    if (e.hold == id) keys.push_back(key);
  }
  if (!keys.empty()) ++revision_;
  for (const std::string& key : keys) change(key, std::nullopt, 0);
}

void State::expire(double now) {
  if (outage_) return;
  std::vector<std::uint64_t> over;
  for (const auto& [id, h] : holds_) {
    if (h.ends < now) over.push_back(id);
  }
  for (std::uint64_t id : over) end_hold(id);
}

void State::set_outage(bool on, double now) {
  outage_ = on;
  if (!on) {
    for (auto& [id, h] : holds_) h.ends = now + h.life;
  }
}

}  // namespace oxbowmill::lab
