#include "oxbowmill/wire/cbor.h"

#include <algorithm>

#include "field_reader.h"

namespace oxbowmill::wire {

std::optional<Json> decode_map(const std::string& body) {
  if (body.size() > max_body_size) return std::nullopt;
  Json json = Json::from_cbor(body, true, false);
  if (json.is_discarded() || !json.is_object()) return std::nullopt;
  return json;
}

std::string encode(const Json& json) {
  std::string out;
  Json::to_cbor(json, nlohmann::detail::output_adapter<char>(out));
  return out;
}

bool valid_id(const std::string& text) {
  if (text.empty() || text.size() > max_name_length) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  });
}

}  // namespace oxbowmill::wire
