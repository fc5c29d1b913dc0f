// Reads the keys of a table in a TOML file. Unknown keys are ignored.
#pragma once

#include <toml++/toml.h>

#include <string>
#include <vector>

#include "oxbowmill/net/http.h"

namespace oxbowmill::config {

/// A table in a parsed TOML file, which must outlive it. Unless stated otherwise, readers throw ConfigError
/// if the key is missing or has the wrong type.
class TomlTable {
 public:
  /// `path` is the path of the table in the file; empty for the top level.
  TomlTable(std::string file, std::string path, const toml::table* table)
      : file_(std::move(file)), path_(std::move(path)), table_(table) {}

  /// Throws a ConfigError about a key of this table.
  [[noreturn]] void fail(const std::string& key, const std::string& reason) const;
  bool has(const char* key) const { return table_->contains(key); }
  std::string text(const char* key) const;
  /// A finite number of at least `min_value`.
  double number(const char* key, double min_value) const;
  /// Like `number`, but `default_value` if the key is missing.
  double number_or(const char* key, double min_value, double default_value) const;
  net::Address address(const char* key, net::Address (*parse)(const std::string&) = net::parse_address) const;
  TomlTable table(const char* key) const;
  /// The tables in a list; empty if the key is missing.
  std::vector<TomlTable> tables(const char* key) const;
  /// A list of texts, which must not be empty.
  std::vector<std::string> texts(const char* key) const;

 private:
  std::string path_of(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }
  std::string file_, path_;
  const toml::table* table_;
};

}  // namespace oxbowmill::config
