// Reads typed fields of a map and records the first one that is missing or malformed, so that a decoder can
// read all fields and check for errors once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::wire {

/// Size limit of a name in a message, in bytes.
constexpr std::size_t max_name_length = 120;

/// Reader of one map. A failed read returns an empty value and makes `ok()` false.
class FieldReader {
 public:
  /// `json` must outlive the reader.
  explicit FieldReader(const Json& json) : json_(json) {}
  [[nodiscard]] bool ok() const { return invalid_field_.empty(); }
  /// The first missing or malformed field; empty if there is none.
  const std::string& invalid_field() const { return invalid_field_; }

  /// A string of 1 to max_name_length bytes; empty on failure.
  std::string text(const char* field);
  bool flag(const char* field);
  /// A finite number from 0 to 1e12; 0 on failure.
  double amount(const char* field);
  /// An integer of at least 0; 0 on failure.
  std::uint64_t count(const char* field);
  /// The field without a check of its type; nullptr if it is missing or null.
  const Json* optional(const char* field) const;
  bool has(const char* field) const { return optional(field) != nullptr; }
  /// Records a field as malformed.
  void fail(const char* field);

 private:
  const Json& json_;
  std::string invalid_field_;
};

}  // namespace oxbowmill::wire
