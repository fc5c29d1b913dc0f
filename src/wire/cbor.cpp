#include "oxbowmill/wire/cbor.h"

#include <algorithm>

#include "cbor_scanner.h"
#include "field_reader.h"
#include "oxbowmill/utf8.h"

namespace oxbowmill::wire {

namespace {

/// Receives the parts of a body in their order and builds its content. The items of the list that is read
/// item by item are built and handled one after another; in the content this list is empty. Nothing is built
/// of values that are left out.
class BodyBuilder {
 public:
  /// `list` is null if no list is read item by item.
  BodyBuilder(Json& content, const BodyRules& rules, const ListReader* list)
      : content_builder_(content), rules_(rules), list_(list) {}

  /// The field of the body with a text that is not UTF-8 in a value that was left out; empty if there is
  /// none.
  const std::optional<std::string>& field_with_invalid_text() const { return field_with_invalid_text_; }

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
    if (is_left_out()) check_text(value);
    return add_scalar([&value](Builder& builder) { return builder.string(value); });
  }
  bool binary(Json::binary_t& value) {
    return add_scalar([&value](Builder& builder) { return builder.binary(value); });
  }
  bool key(Json::string_t& name) {
    if (nesting_ == 1) field_ = name;
    if (!is_left_out() && rules_.known_fields != nullptr && !rules_.known_fields->contains(name))
      left_out_nesting_ = nesting_;
    if (!is_left_out()) return builder().key(name);
    check_text(name);
    return true;
  }

  bool start_object(std::size_t size) {
    open();
    return is_left_out() || builder().start_object(size);
  }
  bool end_object() { return is_left_out() ? close_left_out() : builder().end_object() && close(); }
  bool start_array(std::size_t size) {
    bool starts_list = list_ != nullptr && nesting_ == 1 && field_ == list_->field && !is_left_out();
    open();
    if (is_left_out()) return true;
    if (!builder().start_array(size)) return false;
    is_in_list_ = is_in_list_ || starts_list;
    return true;
  }
  bool end_array() {
    if (is_left_out()) return close_left_out();
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
  bool is_left_out() const { return left_out_nesting_ != 0; }
  void check_text(const std::string& text) {
    if (!field_with_invalid_text_ && !is_valid_utf8(text)) field_with_invalid_text_ = field_;
  }
  void start_item() {
    if (is_list_done_) {
      left_out_nesting_ = nesting_;
      return;
    }
    item_ = Json();
    item_builder_.emplace(item_);
  }
  void end_item() {
    list_->on_item(item_);
    is_list_done_ = list_->is_done && list_->is_done();
  }
  template <class Add>
  bool add_scalar(const Add& add) {
    if (is_between_items() && !is_left_out()) start_item();
    if (is_left_out()) {
      end_left_out_value();
      return true;
    }
    if (!add(builder())) return false;
    if (is_between_items()) end_item();
    return true;
  }
  void open() {
    if (is_between_items() && !is_left_out()) start_item();
    ++nesting_;
  }
  bool close() {
    --nesting_;
    if (is_between_items()) end_item();
    return true;
  }
  bool close_left_out() {
    --nesting_;
    end_left_out_value();
    return true;
  }
  void end_left_out_value() {
    if (nesting_ == left_out_nesting_) left_out_nesting_ = 0;
  }

  Builder content_builder_;
  std::optional<Builder> item_builder_;
  Json item_;
  std::string field_;  // of the top level; the last one that began
  std::optional<std::string> field_with_invalid_text_;
  std::size_t nesting_ = 0;
  std::size_t left_out_nesting_ = 0;  // of the map or list whose value is left out; 0: none is
  const BodyRules& rules_;
  const ListReader* list_;
  bool is_in_list_ = false, is_list_done_ = false;
};

bool is_valid_text(const Json& json) {
  return !json.is_string() || is_valid_utf8(json.get_ref<const std::string&>());
}

/// Whether all texts and all names of fields are UTF-8, at any depth.
bool has_valid_texts(const Json& json) {
  if (!json.is_structured()) return is_valid_text(json);
  // A caller may pass content that is nested too deeply for a recursive function.
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

/// What is wrong with a field that holds a text that is not UTF-8, or whose own name is not.
std::string invalid_text_in(const std::string& field) {
  return is_valid_utf8(field) ? field + ": text is not UTF-8" : "the name of a field is not UTF-8";
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

FieldNames::FieldNames(std::initializer_list<const char*> names) {
  for (std::string name : names) {
    if (by_length_.size() <= name.size()) by_length_.resize(name.size() + 1);
    by_length_[name.size()].push_back(name);
  }
}

bool FieldNames::contains(const std::string& name) const {
  if (name.size() >= by_length_.size()) return false;
  const std::vector<std::string>& names = by_length_[name.size()];
  return std::any_of(names.begin(), names.end(), [&name](const std::string& known) { return known == name; });
}

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
  BodyBuilder builder(json, rules, list);
  // Tags, for example, are well-formed, but the library does not accept them.
  try {
    Json::sax_parse(scanned.trimmed ? *scanned.trimmed : body, &builder, Json::input_format_t::cbor);
  } catch (const Json::exception& error) {
    return DecodedMap::invalid("not CBOR: " + message_of(error));
  }
  if (rules.text_check == TextCheck::whole_body) {
    if (builder.field_with_invalid_text())
      return DecodedMap::invalid(invalid_text_in(*builder.field_with_invalid_text()));
    if (auto invalid_text = find_invalid_text(json)) return DecodedMap::invalid(*invalid_text);
  }
  return DecodedMap(std::move(json));
}

std::optional<std::string> find_invalid_text(const Json& map) {
  for (const auto& [name, value] : map.items()) {
    if (!is_valid_utf8(name) || !has_valid_texts(value)) return invalid_text_in(name);
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
