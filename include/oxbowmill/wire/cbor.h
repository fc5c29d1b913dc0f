// Bodies on the wire are CBOR maps. Stateless.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace oxbowmill::wire {

/// A body, read or to be sent.
using Json = nlohmann::json;

/// Longest body that is read, in bytes; markets have a limit of their own.
constexpr std::size_t max_body_size = std::size_t{64} * 1024;

/// Decodes a body; nothing when it is not CBOR, has trailing bytes, is too large or is not a map.
std::optional<Json> decode_map(const std::string& body);
/// The CBOR form of a body.
std::string encode(const Json& json);

/// Whether a name that others chose can be used as a name here: up to 120 letters, digits, '-', '_' and '.'.
bool valid_id(const std::string& text);

}  // namespace oxbowmill::wire
