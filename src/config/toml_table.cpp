#include "toml_table.h"

#include <cmath>

#include "oxbowmill/config/config.h"

namespace oxbowmill::config {

void TomlTable::fail(const std::string& key, const std::string& reason) const {
  throw ConfigError(file_, path_of(key), reason);
}

std::string TomlTable::text(const char* key) const {
  auto value = (*table_)[key].value<std::string>();
  if (!value || value->empty()) fail(key, "missing or not text");
  return *value;
}

double TomlTable::number(const char* key, double min_value) const {
  auto value = (*table_)[key].value<double>();
  if (!value) fail(key, "missing or not a number");
  if (!std::isfinite(*value)) fail(key, "not a finite number");
  if (*value < min_value) fail(key, "must be at least " + YAML::Dump(YAML::Node(min_value)));
  return *value;
}

double TomlTable::number_or(const char* key, double min_value, double default_value) const {
  return table_->contains(key) ? number(key, min_value) : default_value;
}

net::Address TomlTable::address(const char* key, net::Address (*parse)(const std::string&)) const {
  try {
    return parse(text(key));
  } catch (const std::invalid_argument& error) {
    fail(key, error.what());
  }
}

TomlTable TomlTable::table(const char* key) const {
  const toml::table* table = (*table_)[key].as_table();
  if (table == nullptr) fail(key, "missing or not a table");
  return {file_, path_of(key), table};
}

std::vector<TomlTable> TomlTable::tables(const char* key) const {
  std::vector<TomlTable> tables;
  if (!table_->contains(key)) return tables;
  const toml::array* list = (*table_)[key].as_array();
  if (list == nullptr) fail(key, "not a list of tables");
  std::size_t i = 0;
  for (const auto& item : *list) {
    std::string item_key = std::string(key) + "[" + std::to_string(i++) + "]";
    if (item.as_table() == nullptr) fail(item_key, "not a table");
    tables.emplace_back(file_, path_of(item_key), item.as_table());
  }
  return tables;
}

std::vector<std::string> TomlTable::texts(const char* key) const {
  const toml::array* list = (*table_)[key].as_array();
  if (list == nullptr || list->empty()) fail(key, "missing or not a list");
  std::vector<std::string> texts;
  for (const auto& item : *list) {
    auto text = item.value<std::string>();
    if (!text) fail(key, "not a list of text");
    texts.push_back(*text);
  }
  return texts;
}

}  // namespace oxbowmill::config
