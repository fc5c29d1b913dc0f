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

Map::Map(std::string file, std::string machine_name, const YAML::Node& yaml_node)
    : file_(std::move(file)), path_(std::move(machine_name)) {
  if (!yaml_node.IsMap())
    throw Error(file_ + ": " + (path_.empty() ? "" : path_ + ": ") + "not a map of settings");
  for (const auto& e : yaml_node) unread_[e.first.as<std::string>()] = e.second;
}

void Map::fail(const std::string& key, const std::string& why) const {
  throw Error(file_ + ": " + path(key) + ": " + why);
}

std::optional<YAML::Node> Map::take(const std::string& key) {
  auto it = unread_.find(key);
  if (it == unread_.end()) return std::nullopt;
  YAML::Node n = it->second;
  unread_.erase(it);
  return n;
}

void Map::number(const std::string& key, double& out, double least, double most) {
  if (unread_.count(key) == 0) return;
  double value = 0;
  get(key, value, "not a number");
  if (!std::isfinite(value) || value < least || value > most) {
    fail(key, "must be from " + YAML::Dump(YAML::Node(least)) + " to " + YAML::Dump(YAML::Node(most)));
  }
  out = value;
}

std::string Map::text(const std::string& key) {
  auto n = take(key);
  if (!n || !n->IsScalar() || n->Scalar().empty()) fail(key, "missing or not text");
  return n->Scalar();
}

std::vector<std::string> Map::keys() const {
  std::vector<std::string> out;
  for (const auto& [k, n] : unread_) out.push_back(k);
  return out;
}

void Map::reject_unknown_keys() const {
  if (!unread_.empty()) fail(unread_.begin()->first, "unknown setting");
}

}  // namespace oxbowmill::yaml
