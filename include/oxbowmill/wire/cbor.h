// Encodes and decodes message bodies, which are CBOR maps. Stateless.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace oxbowmill::wire {

/// Content of a message body.
using Json = nlohmann::json;

/// Size limit of a received body, in bytes. Bodies from markets have a limit of their own.
constexpr std::size_t max_body_size = std::size_t{64} * 1024;

/// Decodes a body; empty if it is not CBOR, has trailing bytes, is too large or is not a map.
std::optional<Json> decode_map(const std::string& body);
/// Encodes a body as CBOR.
std::string encode(const Json& json);

/// Whether a name from outside is valid: 1 to 120 characters, each a letter, a digit, '-', '_' or '.'.
bool valid_id(const std::string& text);

}  // namespace oxbowmill::wire
