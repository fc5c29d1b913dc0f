#include "oxbowmill/yaml/map.h"

#include <cmath>

namespace oxbowmill::yaml {

YAML::Node load(const std::string& file) {
  try {
    return YAML::LoadFile(file);
  } catch (const YAML::Exception& e) {
    throw Error(file + ": cannot be read as YAML: " + e.msg);
  }
}

Map::Map(std::string file, std::string at, const YAML::Node& n) : file_(std::move(file)), at_(std::move(at)) {
  if (!n.IsMap()) throw Error(file_ + ": " + (at_.empty() ? "" : at_ + ": ") + "not a map of settings");
  for (const auto& e : n) left_[e.first.as<std::string>()] = e.second;
}

void Map::fail(const std::string& key, const std::string& why) const {
  throw Error(file_ + ": " + path(key) + ": " + why);
}

std::optional<YAML::Node> Map::take(const std::string& key) {
  auto it = left_.find(key);
  if (it == left_.end()) return std::nullopt;
  YAML::Node n = it->second;
  left_.erase(it);
  return n;
}

void Map::number(const std::string& key, double& out, double least, double most) {
  if (left_.count(key) == 0) return;
  double v = 0;
  get(key, v, "not a number");
  if (!std::isfinite(v) || v < least || v > most) {
    fail(key, "must be from " + YAML::Dump(YAML::Node(least)) + " to " + YAML::Dump(YAML::Node(most)));
  }
  out = v;
}

std::string Map::text(const std::string& key) {
  auto n = take(key);
  if (!n || !n->IsScalar() || n->Scalar().empty()) fail(key, "missing or not text");
  return n->Scalar();
}

std::vector<std::string> Map::keys() const {
  std::vector<std::string> out;
  for (const auto& [k, n] : left_) out.push_back(k);
  return out;
}

void Map::done() const {
  if (!left_.empty()) fail(left_.begin()->first, "unknown setting");
}

}  // namespace oxbowmill::yaml
