// Reads the bodies of the state service's responses. An empty result stands for a body that cannot be read: a
// field is missing or has another type than the protocol says. Stateless.
#pragma once

#include <optional>
#include <string>

#include "oxbowmill/cluster/types.h"
#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::state {

/// A key as it was read, or a change of a key.
struct KeyUpdate {
  std::string key;                    ///< not checked for UTF-8
  const wire::Json* value = nullptr;  ///< part of the response; null: the key was removed
  Revision revision = 0;              ///< of the key's last change
};

/// A page of keys.
struct KeyPage {
  const wire::Json* items = nullptr;  ///< list of keys, for `read_key`; part of the response
  Revision revision = 0;              ///< of the state service when it listed the keys
  bool has_more = false;              ///< whether more pages follow
};

/// Field of the list of events in the response to a watch.
constexpr const char* events_field = "news";

/// Reads the response for a single key, or an item of a page of keys.
std::optional<KeyUpdate> read_key(const wire::Json& item);
/// Reads an event of the response to a watch.
std::optional<KeyUpdate> read_event(const wire::Json& event);
/// Reads the revision of the state service in the response to a transaction.
std::optional<Revision> read_revision(const wire::Json& body);
/// Reads the revision of the response to a watch, which must have a list of events.
std::optional<Revision> read_watch_revision(const wire::Json& body);
/// Reads a page of keys.
std::optional<KeyPage> read_page(const wire::Json& body);
/// Reads the id of a granted lease.
std::optional<std::uint64_t> read_lease_id(const wire::Json& body);

}  // namespace oxbowmill::state
