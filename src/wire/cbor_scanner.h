// Checks the syntax of a CBOR body (RFC 8949, appendix C) without recursion, and cuts out what no message has
// and a decoder should not be given. Stateless.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace oxbowmill::wire {

/// What is refused or cut out.
struct ScanLimits {
  std::size_t accepted_nesting;  ///< a body with more levels of maps and arrays is refused
  std::size_t kept_nesting;      ///< maps and arrays below this level are cut out
  std::size_t max_field_items;   ///< a field of the body's map with more items, at any depth, is cut out
};

/// Result of a scan.
struct ScannedBody {
  std::string error;  ///< why the body is refused; empty if it is not
  /// The body with an empty byte string, which no field of a message may hold, for each item that was cut
  /// out; empty if there is none. Besides the maps and arrays beyond the limits, these are integers below
  /// -2^63, which the decoder would read as other numbers.
  std::optional<std::string> trimmed;
};

/// Scans a body. It is refused if it is not exactly one well-formed item or is nested too deeply. Takes time
/// and memory in proportion to the size of the body, and a fixed amount of stack.
ScannedBody scan_cbor(const std::string& body, const ScanLimits& limits);

}  // namespace oxbowmill::wire
