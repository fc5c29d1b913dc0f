#include "oxbowmill/wire/cbor.h"

#include <algorithm>

#include "cbor_scanner.h"
#include "field_reader.h"
#include "oxbowmill/utf8.h"

namespace oxbowmill::wire {

namespace {

/// Receives the parts of a body in their order and builds its content. The items of the list that is read
/// item by item are built and handled one after another; in the content this list is empty.
class BodyBuilder {
 public:
  /// `list` is null if no list is read item by item.
  BodyBuilder(Json& content, const ListReader* list) : content_builder_(content), list_(list) {}

  bool null() {
    return add_scalar([](Builder& builder) { return builder.null(); });
  }
  bool boolean(bool value) {
    return add_scalar([value](Builder& builder) { return builder.boolean(value); });
  }
  bool number_integer(Json::number_integer_t value) {
    return add_scalar([value](Builder& builder) { return builder.number_integer(value); });
  }
  bool number_unsigned(Json::number_unsigned_t value) {
    return add_scalar([value](Builder& builder) { return builder.number_unsigned(value); });
  }
  bool number_float(Json::number_float_t value, const Json::string_t& text) {
    return add_scalar([value, &text](Builder& builder) { return builder.number_float(value, text); });
  }
  bool string(Json::string_t& value) {
    return add_scalar([&value](Builder& builder) { return builder.string(value); });
  }
  bool binary(Json::binary_t& value) {
    return add_scalar([&value](Builder& builder) { return builder.binary(value); });
  }
  bool key(Json::string_t& name) {
    if (nesting_ == 1) field_ = name;
    return builder().key(name);
  }

  bool start_object(std::size_t size) {
    open();
    return builder().start_object(size);
  }
  bool end_object() { return builder().end_object() && close(); }
  bool start_array(std::size_t size) {
    bool starts_list = list_ != nullptr && nesting_ == 1 && field_ == list_->field;
    open();
    if (!builder().start_array(size)) return false;
    is_in_list_ = is_in_list_ || starts_list;
    return true;
  }
  bool end_array() {
    if (nesting_ == list_nesting) is_in_list_ = false;
    return builder().end_array() && close();
  }
  template <class Exception>
  bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/, const Exception& error) {
    throw error;
  }

 private:
  using Builder = nlohmann::detail::json_sax_dom_parser<Json>;
  static constexpr std::size_t list_nesting = 2;  // open maps and lists between two items of the list

  Builder& builder() { return is_in_list_ ? *item_builder_ : content_builder_; }
  bool is_between_items() const { return is_in_list_ && nesting_ == list_nesting; }
  void start_item() {
    item_ = Json();
    item_builder_.emplace(item_);
  }
  template <class Add>
  bool add_scalar(const Add& add) {
    if (is_between_items()) start_item();
    if (!add(builder())) return false;
    if (is_between_items()) list_->on_item(item_);
    return true;
  }
  void open() {
    if (is_between_items()) start_item();
    ++nesting_;
  }
  bool close() {
    --nesting_;
    if (is_between_items()) list_->on_item(item_);
    return true;
  }

  Builder content_builder_;
  std::optional<Builder> item_builder_;
  Json item_;
  std::string field_;  // of the top level; the last one that began
  std::size_t nesting_ = 0;
  const ListReader* list_;
  bool is_in_list_ = false;
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
    // Iterators, because items() makes a text of each index of an array.
    for (auto item = next.begin(); item != next.end() && next.is_structured(); ++item) {
      if (next.is_object() && !is_valid_utf8(item.key())) return false;
      if (item->is_string() || item->is_structured()) unchecked.push_back(&*item);
    }
  }
  return true;
}

/// Whether the first item of a body that is not empty is a map.
bool begins_map(const std::string& body) {
  constexpr unsigned major_type_shift = 5, map_type = 5;
  return static_cast<std::uint8_t>(body.front()) >> major_type_shift == map_type;
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

DecodedMap decode_map(const std::string& body, const BodyRules& rules, const ListReader* list) {
  if (body.size() > rules.max_size)
    return DecodedMap::invalid("larger than " + std::to_string(rules.max_size) + " bytes");
  // The library's decoder calls itself for each level, so it gets only bodies with few of them.
  ScannedBody scanned = scan_cbor(body, {rules.max_nesting, max_kept_nesting, rules.max_field_items});
  if (!scanned.error.empty()) return DecodedMap::invalid(std::move(scanned.error));
  if (!begins_map(body)) return DecodedMap::invalid("not a map");
  Json json;
  BodyBuilder builder(json, list);
  // Tags, for example, are well-formed, but the library does not accept them.
  try {
    Json::sax_parse(scanned.trimmed ? *scanned.trimmed : body, &builder, Json::input_format_t::cbor);
  } catch (const Json::exception& error) {
    return DecodedMap::invalid("not CBOR: " + message_of(error));
  }
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
