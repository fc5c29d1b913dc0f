#include "oxbowmill/state/responses.h"

namespace oxbowmill::state {

using wire::Json;

namespace {

namespace field {
constexpr const char* key = "k";
constexpr const char* value = "value";
constexpr const char* stamp = "stamp";
constexpr const char* put = "put";
constexpr const char* removed = "delete";
constexpr const char* revision = "ledger_rev";
constexpr const char* items = "items";
constexpr const char* has_more = "truncated";
constexpr const char* lease_id = "grant";
}  // namespace field

std::optional<std::uint64_t> read_integer(const Json& json, const char* name) {
  auto it = json.find(name);
  if (it == json.end() || !it->is_number_integer()) return std::nullopt;
  return it->get<std::uint64_t>();
}

std::optional<std::string> read_name(const Json& json, const char* name) {
  auto it = json.find(name);
  if (it == json.end() || !it->is_string()) return std::nullopt;
  return it->get<std::string>();
}

/// The list in the field; nullptr if it is missing or no list.
const Json* find_list(const Json& json, const char* name) {
  auto it = json.find(name);
  return it != json.end() && it->is_array() ? &*it : nullptr;
}

/// A key with its value; the name of the key is in the field `key_field`.
std::optional<KeyUpdate> read_value(const Json& json, const char* key_field) {
  auto key = read_name(json, key_field);
  auto value = json.find(field::value);
  auto revision = read_integer(json, field::stamp);
  if (!key || value == json.end() || !revision) return std::nullopt;
  return KeyUpdate{std::move(*key), &*value, *revision};
}

}  // namespace

std::optional<KeyUpdate> read_key(const Json& item) {
  return read_value(item, field::key);
}

std::optional<KeyUpdate> read_event(const Json& event) {
  if (event.find(field::put) != event.end()) return read_value(event, field::put);
  auto key = read_name(event, field::removed);
  auto revision = read_integer(event, field::stamp);
  if (!key || !revision) return std::nullopt;
  return KeyUpdate{std::move(*key), nullptr, *revision};
}

std::optional<Revision> read_revision(const Json& body) {
  return read_integer(body, field::revision);
}

std::optional<Revision> read_watch_revision(const Json& body) {
  return find_list(body, events_field) != nullptr ? read_revision(body) : std::nullopt;
}

std::optional<KeyPage> read_page(const Json& body) {
  const Json* items = find_list(body, field::items);
  auto revision = read_revision(body);
  auto has_more = body.find(field::has_more);
  if (items == nullptr || !revision || has_more == body.end() || !has_more->is_boolean()) return std::nullopt;
  return KeyPage{items, *revision, has_more->get<bool>()};
}

std::optional<std::uint64_t> read_lease_id(const Json& body) {
  return read_integer(body, field::lease_id);
}

}  // namespace oxbowmill::state
