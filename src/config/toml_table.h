// Reads the keys of one table of a TOML file; every error names file, key and reason.
#pragma once

#include <toml++/toml.h>

#include <string>
#include <vector>

#include "oxbowmill/net/http.h"

namespace oxbowmill::config {

/// All readers throw ConfigError. The parsed file must outlive its tables.
class TomlTable {
 public:
  /// `path`: where in the file the table is; empty: the whole file.
  TomlTable(std::string file, std::string path, const toml::table* table)
      : file_(std::move(file)), path_(std::move(path)), table_(table) {}

  [[noreturn]] void fail(const std::string& key, const std::string& reason) const;
  bool has(const char* key) const { return table_->contains(key); }
  std::string text(const char* key) const;
  double number(const char* key, double least) const;
  double number_or(const char* key, double least, double otherwise) const;
  net::Address address(const char* key, net::Address (*parse)(const std::string&) = net::parse_address) const;
  TomlTable table(const char* key) const;
  /// Empty where the key is missing.
  std::vector<TomlTable> tables(const char* key) const;
  /// A list of at least one text.
  std::vector<std::string> texts(const char* key) const;

 private:
  std::string path_of(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }
  std::string file_, path_;
  const toml::table* table_;
};

}  // namespace oxbowmill::config
