// Encodes and decodes message bodies, which are CBOR maps. Every body from outside the program is decoded
// here. Stateless.
#pragma once

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace oxbowmill::wire {

/// Content of a message body.
using Json = nlohmann::json;

/// Size limit of a received body, in bytes. Bodies from markets, the cloud's list of machines and answers of
/// the state service have limits of their own.
constexpr std::size_t max_body_size = std::size_t{64} * 1024;

/// Who checks that the texts in a body are UTF-8.
enum class TextCheck : std::uint8_t {
  whole_body,  ///< the decoder: one invalid text makes the whole body invalid
  by_caller,   ///< the caller, with find_invalid_text, so that the other values in the body stay readable
};

/// Names of the fields that a message can have, at any level.
class FieldNames {
 public:
  /// Keeps copies of the names.
  FieldNames(std::initializer_list<const char*> names);
  /// Whether it is one of the names.
  bool contains(const std::string& name) const;

 private:
  std::vector<std::vector<std::string>> by_length_;  // a look-up compares few names
};

/// What is accepted as a body.
struct BodyRules {
  std::size_t max_size = max_body_size;  ///< in bytes
  /// Levels of maps and arrays. The default admits every body of up to `max_body_size` bytes, since fields
  /// that the receiver does not know must be ignored.
  std::size_t max_nesting = max_body_size;
  TextCheck text_check = TextCheck::whole_body;  ///< who checks the texts
  /// Items, at any depth, in an array or map that is a field of the body. One with more items is an empty
  /// byte string in the content.
  std::size_t max_field_items = std::numeric_limits<std::size_t>::max();
  /// Fields with other names are left out of the content, at any level, since the receiver must ignore them.
  /// Null: all fields are kept.
  const FieldNames* known_fields = nullptr;
};
/// Levels of maps and arrays that are kept of a body. No message has more than 6 levels.
constexpr std::size_t max_kept_nesting = 64;
/// For bodies that no protocol limits in size.
constexpr BodyRules large_body_rules{std::numeric_limits<std::size_t>::max(), max_kept_nesting};

/// Reads a list item by item, so that a long one takes no more memory than its body and its largest item.
struct ListReader {
  std::string field;                              ///< of the map, whose value is the list
  std::function<void(const Json& item)> on_item;  ///< called for each item in turn
  std::function<bool()> is_done = {};  ///< asked after each item; if true, the others are passed over
};

/// Content of a received body, or the reason why it cannot be used.
class DecodedMap {
 public:
  /// The content; must be a map.
  explicit DecodedMap(Json map) : map_(std::move(map)) {}
  /// A body that cannot be used. `reason` is for logs and answers.
  static DecodedMap invalid(std::string reason);
  /// Whether there is content.
  explicit operator bool() const { return map_.has_value(); }
  /// The content. There must be some.
  const Json& operator*() const { return *map_; }
  /// The content, which may be moved from. There must be some.
  Json& operator*() { return *map_; }
  /// The content. There must be some.
  const Json* operator->() const { return &*map_; }
  /// What is wrong with the body; empty if there is content.
  const std::string& error() const { return error_; }

 private:
  DecodedMap() = default;
  std::optional<Json> map_;
  std::string error_;
};

/// Decodes a body. It has no content if it is not CBOR, has trailing bytes, is too large, is nested too
/// deeply, is not a map or holds a text that is not UTF-8. Maps and arrays deeper than `max_kept_nesting`
/// levels are empty byte strings in the content. The stack that is used does not depend on the body.
///
/// With `list`, that list is empty in the content, and its items are handled while the body is decoded. Their
/// texts are not checked. No item of a body that is not well-formed CBOR is handled.
DecodedMap decode_map(const std::string& body, const BodyRules& rules = {}, const ListReader* list = nullptr);
/// Encodes a body as CBOR.
std::string encode(const Json& json);

/// Looks for a text that is not UTF-8, among the names of fields too. Returns what is wrong, with the field
/// of the map that holds the text; empty if there is none.
std::optional<std::string> find_invalid_text(const Json& map);

/// Content as JSON text, for log lines and for the sizes of values. Bytes that are not UTF-8 become U+FFFD,
/// so that it does not throw.
std::string to_json_text(const Json& json);

/// Whether a name from outside is valid: 1 to 120 characters, each a letter, a digit, '-', '_' or '.'.
bool valid_id(const std::string& text);

}  // namespace oxbowmill::wire
