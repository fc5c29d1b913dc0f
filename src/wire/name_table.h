// Tables of enumerators and their names on the wire.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace oxbowmill::wire {

/// One row of a table.
template <class Enum>
struct WireName {
  const char* name;
  Enum value;
};

/// Empty if the name is not in the table.
template <class Enum, std::size_t Size>
std::optional<Enum> value_of(const WireName<Enum> (&table)[Size], const std::string& name) {
  for (const auto& entry : table) {
    if (name == entry.name) return entry.value;
  }
  return std::nullopt;
}

/// Empty if the enumerator is not in the table.
template <class Enum, std::size_t Size>
const char* name_on_wire(const WireName<Enum> (&table)[Size], Enum value) {
  for (const auto& entry : table) {
    if (entry.value == value) return entry.name;
  }
  return "";
}

}  // namespace oxbowmill::wire
