// Reads settings in YAML strictly: each key is read once, and a key that remains unread is an error.
#pragma once

#include <yaml-cpp/yaml.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "oxbowmill/error.h"

namespace oxbowmill::yaml {

/// An error message "file: key: reason", or "file: reason" if `key` is empty.
std::string error_line(const std::string& file, const std::string& key, const std::string& reason);

/// A file that cannot be read as YAML, or a key in it that is unknown, missing or invalid.
class Error : public oxbowmill::Error {
 public:
  /// `key` is its path in the file; empty for the file as a whole.
  Error(std::string file, std::string key, std::string reason)
      : oxbowmill::Error(error_line(file, key, reason)),
        file_(std::move(file)),
        key_(std::move(key)),
        reason_(std::move(reason)) {}
  /// Path of the file, as passed to `load`.
  const std::string& file() const { return file_; }
  /// Path of the key, such as "markets.list[1].name"; empty for the file as a whole.
  const std::string& key() const { return key_; }
  /// The error, in one line.
  const std::string& reason() const { return reason_; }

 private:
  std::string file_, key_, reason_;
};

/// Loads a file. Throws Error if it cannot be opened, is not UTF-8 or is not valid YAML.
YAML::Node load(const std::string& file);

/// A map in a file, with the keys that have not been read yet. All readers throw Error.
class Map {
 public:
  /// `path` is the path of the map in the file; empty for the top level. Throws Error if the node is not a
  /// map.
  Map(std::string file, std::string path, const YAML::Node& yaml_node);
  /// Throws an Error about a key of this map.
  [[noreturn]] void fail(const std::string& key, const std::string& reason) const;
  /// The map at a key of this map. `key` may include the index of a list item.
  Map child(const std::string& key, const YAML::Node& yaml_node) const {
    return {file_, path(key), yaml_node};
  }
  /// Removes a key from the unread keys and returns its value; empty if it is missing.
  std::optional<YAML::Node> take(const std::string& key);
  /// Reads a key with yaml-cpp's conversion to T; leaves `out` unchanged if the key is missing. `type_error`
  /// is the reason in the error if the conversion fails.
  template <class T>
  Map& get(const std::string& key, T& out, const char* type_error = "wrong type of value") {
    auto yaml_node = take(key);
    if (!yaml_node) return *this;
    try {
      out = yaml_node->as<T>();
    } catch (const YAML::Exception&) {
      fail(key, type_error);
    }
    return *this;
  }
  /// Reads a finite number from `min_value` to `max_value`; leaves `out` unchanged if the key is missing.
  void number(const std::string& key, double& out, double min_value, double max_value);
  /// Reads true or false; leaves `out` unchanged if the key is missing.
  void flag(const std::string& key, bool& out) { get(key, out, "not true or false"); }
  /// Reads a text, which must not be missing or empty.
  std::string text(const std::string& key);
  /// Keys that have not been read yet, in alphabetical order.
  std::vector<std::string> keys() const;
  /// Throws Error on the first key that has not been read.
  void reject_unknown_keys() const;

 private:
  std::string path(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }
  std::string file_, path_;
  std::map<std::string, YAML::Node> unread_;
};

}  // namespace oxbowmill::yaml
