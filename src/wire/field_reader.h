// Reads typed fields of one map and remembers the first that is missing or malformed, so that a reader can
// take all fields and check once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::wire {

constexpr std::size_t max_name_length = 120;

class FieldReader {
 public:
  /// `json` must outlive the reader.
  explicit FieldReader(const Json& json) : json_(json) {}
  [[nodiscard]] bool ok() const { return invalid_field_.empty(); }
  /// The first field that failed; empty: none.
  const std::string& invalid_field() const { return invalid_field_; }

  /// Text of 1 to max_name_length bytes; empty when it fails.
  std::string text(const char* field);
  bool flag(const char* field);
  /// A finite number from 0 to 1e12.
  double amount(const char* field);
  /// A whole number of at least 0.
  std::uint64_t count(const char* field);
  /// The field as it is; nullptr where it is missing or null.
  const Json* optional(const char* field) const;
  bool has(const char* field) const { return optional(field) != nullptr; }
  void fail(const char* field);

 private:
  const Json& json_;
  std::string invalid_field_;
};

}  // namespace oxbowmill::wire
