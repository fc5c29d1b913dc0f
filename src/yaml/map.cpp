#include "oxbowmill/yaml/map.h"

#include <cmath>
#include <fstream>
#include <sstream>

#include "oxbowmill/utf8.h"

namespace oxbowmill::yaml {

namespace {

/// Throws if a line is not UTF-8. The YAML library passes such bytes on as they are.
void check_text(const std::string& file, const std::string& content) {
  std::istringstream lines(content);
  std::size_t number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    if (!is_valid_utf8(line)) throw Error(file, "line " + std::to_string(number), "text is not UTF-8");
  }
}

}  // namespace

std::string error_line(const std::string& file, const std::string& key, const std::string& reason) {
  return file + ": " + (key.empty() ? "" : key + ": ") + reason;
}

YAML::Node load(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw Error(file, "", "cannot be opened");
  std::string content{std::istreambuf_iterator<char>(in), {}};
  check_text(file, content);
  try {
    return YAML::Load(content);
  } catch (const YAML::Exception& error) {
    throw Error(file, "", "cannot be read as YAML: " + error.msg);
  }
}

Map::Map(std::string file, std::string path, const YAML::Node& yaml_node)
    : file_(std::move(file)), path_(std::move(path)) {
  if (!yaml_node.IsMap()) throw Error(file_, path_, "not a map of settings");
  for (const auto& entry : yaml_node) unread_[entry.first.as<std::string>()] = entry.second;
}

void Map::fail(const std::string& key, const std::string& reason) const {
  throw Error(file_, path(key), reason);
}

std::optional<YAML::Node> Map::take(const std::string& key) {
  auto it = unread_.find(key);
  if (it == unread_.end()) return std::nullopt;
  YAML::Node value = it->second;
  unread_.erase(it);
  return value;
}

void Map::number(const std::string& key, double& out, double min_value, double max_value) {
  if (unread_.count(key) == 0) return;
  double value = 0;
  get(key, value, "not a number");
  if (!std::isfinite(value) || value < min_value || value > max_value) {
    fail(key,
         "must be from " + YAML::Dump(YAML::Node(min_value)) + " to " + YAML::Dump(YAML::Node(max_value)));
  }
  out = value;
}

std::string Map::text(const std::string& key) {
  auto value = take(key);
  if (!value || !value->IsScalar() || value->Scalar().empty()) fail(key, "missing or not text");
  return value->Scalar();
}

std::vector<std::string> Map::keys() const {
  std::vector<std::string> out;
  for (const auto& [key, value] : unread_) out.push_back(key);
  return out;
}

void Map::reject_unknown_keys() const {
  if (!unread_.empty()) fail(unread_.begin()->first, "unknown setting");
}

}  // namespace oxbowmill::yaml
