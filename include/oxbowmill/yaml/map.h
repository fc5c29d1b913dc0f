// Settings written by people in YAML: every key is read once, and what is left over is an error.
#pragma once

#include <yaml-cpp/yaml.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "oxbowmill/error.h"

namespace oxbowmill::yaml {

/// "file: key: reason"; without the key where it is empty.
std::string error_line(const std::string& file, const std::string& key, const std::string& reason);

/// A file cannot be read as YAML, or a key in it is unknown, missing or out of bounds.
class Error : public oxbowmill::Error {
 public:
  /// `key`: its path in the file; empty: the file as a whole.
  Error(std::string file, std::string key, std::string reason)
      : oxbowmill::Error(error_line(file, key, reason)),
        file_(std::move(file)),
        key_(std::move(key)),
        reason_(std::move(reason)) {}
  /// The file as it was named to `load`.
  const std::string& file() const { return file_; }
  /// Path of the key, such as "markets.list[1].name"; empty: the file as a whole.
  const std::string& key() const { return key_; }
  /// What is wrong, in one line.
  const std::string& reason() const { return reason_; }

 private:
  std::string file_, key_, reason_;
};

/// Throws Error where there is no such file, or no YAML in it.
YAML::Node load(const std::string& file);

/// One map of a file, with the keys that have not been read yet. All readers throw Error.
class Map {
 public:
  /// `path`: where in the file the map is; empty: the whole file. Throws Error when it is no map.
  Map(std::string file, std::string path, const YAML::Node& yaml_node);
  /// Throws an Error on a key of this map.
  [[noreturn]] void fail(const std::string& key, const std::string& reason) const;
  /// The map that is the value of a key, or an item of such a value.
  Map child(const std::string& key, const YAML::Node& yaml_node) const {
    return {file_, path(key), yaml_node};
  }
  /// The value of a key, which then counts as read; nothing where it is missing.
  std::optional<YAML::Node> take(const std::string& key);
  /// Reads a key, if it is there, in the way that yaml-cpp reads this type; `wrong` is the reason given
  /// where it cannot.
  template <class T>
  Map& get(const std::string& key, T& out, const char* wrong = "not of the right kind") {
    auto yaml_node = take(key);
    if (!yaml_node) return *this;
    try {
      out = yaml_node->as<T>();
    } catch (const YAML::Exception&) {
      fail(key, wrong);
    }
    return *this;
  }
  /// A finite number within bounds, if it is there.
  void number(const std::string& key, double& out, double least, double most);
  /// True or false, if it is there.
  void flag(const std::string& key, bool& out) { get(key, out, "not true or false"); }
  /// Text that must be there and not be empty.
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
