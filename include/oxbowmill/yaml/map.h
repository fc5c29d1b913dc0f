// Settings written by people in YAML: every key is read once, and what is left over is an error.
#pragma once

#include <yaml-cpp/yaml.h>

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace oxbowmill::yaml {

/// One line that names file, key and reason.
struct Error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Throws Error where there is no such file, or no YAML in it.
YAML::Node load(const std::string& file);

class Map {
 public:
  /// `at`: where in the file it stands; empty: the whole file.
  Map(std::string file, std::string machine_name, const YAML::Node& yaml_node);
  [[noreturn]] void fail(const std::string& key, const std::string& why) const;
  Map child(const std::string& key, const YAML::Node& yaml_node) const {
    return {file_, path(key), yaml_node};
  }
  std::optional<YAML::Node> take(const std::string& key);
  /// Reads a key, if it is there, in the way that yaml-cpp reads this type.
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
  /// A finite number within bounds.
  void number(const std::string& key, double& out, double least, double most);
  void flag(const std::string& key, bool& out) { get(key, out, "not true or false"); }
  std::string text(const std::string& key);
  std::vector<std::string> keys() const;
  void reject_unknown_keys() const;

 private:
  std::string path(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }
  std::string file_, path_;
  std::map<std::string, YAML::Node> unread_;
};

}  // namespace oxbowmill::yaml
