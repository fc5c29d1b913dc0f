#include "oxbowmill/wire/cbor.h"

#include <algorithm>

#include "field_reader.h"
#include "oxbowmill/utf8.h"

namespace oxbowmill::wire {

namespace {

/// Receives the items of a body in their order and builds the value. Stops at the limit of nesting, because
/// the decoder calls itself for each level.
class NestingLimitedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
 public:
  NestingLimitedBuilder(Json& out, std::size_t max_nesting)
      : json_sax_dom_parser(out), max_nesting_(max_nesting) {}
  bool start_object(std::size_t size) { return enter() && json_sax_dom_parser::start_object(size); }
  bool end_object() { return leave() && json_sax_dom_parser::end_object(); }
  bool start_array(std::size_t size) { return enter() && json_sax_dom_parser::start_array(size); }
  bool end_array() { return leave() && json_sax_dom_parser::end_array(); }

 private:
  bool enter() { return ++nesting_ <= max_nesting_; }
  bool leave() {
    --nesting_;
    return true;
  }
  std::size_t max_nesting_, nesting_ = 0;
};

bool is_valid_text(const Json& json) {
  return !json.is_string() || is_valid_utf8(json.get_ref<const std::string&>());
}

/// Whether all texts and all names of fields are UTF-8, at any depth.
bool has_valid_texts(const Json& json) {
  // A body can be nested too deeply for a recursive function.
  std::vector<const Json*> unchecked{&json};
  while (!unchecked.empty()) {
    const Json& next = *unchecked.back();
    unchecked.pop_back();
    if (!is_valid_text(next)) return false;
    if (!next.is_structured()) continue;
    for (const auto& [name, item] : next.items()) {
      if (next.is_object() && !is_valid_utf8(name)) return false;
      unchecked.push_back(&item);
    }
  }
  return true;
}

/// The library's message without the number of the exception, which stands before it in brackets.
std::string message_of(const Json::exception& error) {
  std::string message = error.what();
  std::size_t number_end = message.find("] ");
  return number_end == std::string::npos ? message : message.substr(number_end + 2);
}

}  // namespace

DecodedMap DecodedMap::invalid(std::string reason) {
  DecodedMap decoded;
  decoded.error_ = std::move(reason);
  return decoded;
}

DecodedMap decode_map(const std::string& body, const BodyRules& rules) {
  if (body.size() > rules.max_size)
    return DecodedMap::invalid("larger than " + std::to_string(rules.max_size) + " bytes");
  Json json;
  NestingLimitedBuilder builder(json, rules.max_nesting);
  // The library's option against exceptions covers errors of syntax alone: a count that a JSON value cannot
  // hold is thrown all the same.
  try {
    if (!Json::sax_parse(body, &builder, Json::input_format_t::cbor))
      return DecodedMap::invalid("nested more than " + std::to_string(rules.max_nesting) + " levels deep");
  } catch (const Json::exception& error) {
    return DecodedMap::invalid("not CBOR: " + message_of(error));
  }
  if (!json.is_object()) return DecodedMap::invalid("not a map");
  if (rules.text_check == TextCheck::whole_body) {
    if (auto invalid_text = find_invalid_text(json)) return DecodedMap::invalid(*invalid_text);
  }
  return DecodedMap(std::move(json));
}

std::optional<std::string> find_invalid_text(const Json& map) {
  for (const auto& [name, value] : map.items()) {
    if (!is_valid_utf8(name)) return "the name of a field is not UTF-8";
    if (!has_valid_texts(value)) return name + ": text is not UTF-8";
  }
  return std::nullopt;
}

std::string to_json_text(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
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
