// Random message bodies: items of every kind of RFC 8949, well-formed or not, and messages of the project in
// which something is changed. The same seed gives the same bodies.
#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "nested_bodies.h"
#include "oxbowmill/wire/cbor.h"

namespace oxbowmill {

/// Generates bodies one after another.
class BodyGenerator {
 public:
  /// `messages` are bodies that the generator changes.
  BodyGenerator(std::uint64_t seed, std::vector<wire::Json> messages)
      : random_(seed), messages_(std::move(messages)) {}

  /// The next body. At most `max_levels` levels deep, unless `is_deep()`.
  std::string next() {
    is_deep_ = false;
    switch (below(8)) {
      case 0:
        return item(max_levels);
      case 1:
        return map_of_items();
      case 2:
      case 3:
      case 4:
        return message_with_changed_field();
      case 5:
        return changed_bytes(wire::encode(message()));
      case 6:
        return changed_bytes(message_with_changed_field());
      default:
        is_deep_ = true;
        return nested_body();
    }
  }
  /// Whether the last body may be nested too deeply for a recursive decoder.
  bool is_deep() const { return is_deep_; }

  std::size_t below(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }

 private:
  static constexpr int max_levels = 6;
  static constexpr std::size_t max_nested_size = 60'000;  // in bytes

  const wire::Json& message() { return messages_[below(messages_.size())]; }

  /// First byte and argument. The argument may take more bytes than it needs.
  std::string head(unsigned major_type, std::uint64_t argument) {
    std::size_t form = below(4);
    if (argument < 24 && form != 0) return {static_cast<char>(major_type << 5 | argument)};
    constexpr std::array<std::uint64_t, 4> limits = {0xff, 0xffff, 0xffffffff, ~std::uint64_t{0}};
    std::size_t power = below(4);
    while (argument > limits[power]) ++power;
    std::string out = {static_cast<char>(major_type << 5 | (24 + power))};
    for (std::size_t i = std::size_t{1} << power; i-- > 0;) out += static_cast<char>(argument >> (8 * i));
    return out;
  }

  std::uint64_t edge_value() {
    constexpr std::array<std::uint64_t, 14> values = {0,
                                                      1,
                                                      23,
                                                      24,
                                                      255,
                                                      256,
                                                      65535,
                                                      0x7fffffff,
                                                      0x80000000,
                                                      0xffffffff,
                                                      0x100000000U,
                                                      INT64_MAX,
                                                      UINT64_MAX - 1,
                                                      UINT64_MAX};
    return values[below(values.size())];
  }

  std::string bytes(std::size_t count) {
    std::string out;
    for (std::size_t i = 0; i < count; ++i) out += static_cast<char>(below(256));
    return out;
  }

  std::string string_item(unsigned major_type) {
    std::string content = below(4) == 0 ? bytes(below(6)) : std::string(below(30), 'a');
    if (below(5) == 0) return head(major_type, edge_value()) + content;
    if (below(4) != 0) return head(major_type, content.size()) + content;
    std::string out = {static_cast<char>(major_type << 5 | 31)};
    for (std::size_t parts = below(4); parts > 0; --parts) {
      unsigned part_type = below(10) == 0 ? 5 - major_type : major_type;
      out += head(part_type, content.size());
      out += content;
    }
    return below(10) == 0 ? out : out + '\xff';
  }

  std::string container(unsigned major_type, int levels) {
    std::size_t entries = below(4);
    std::uint64_t count = below(12) == 0 ? edge_value() : entries;
    bool is_indefinite = below(3) == 0;
    std::string out =
        is_indefinite ? std::string{static_cast<char>(major_type << 5 | 31)} : head(major_type, count);
    for (std::size_t i = 0; i < entries; ++i) {
      if (major_type == 5) out += below(8) == 0 ? item(levels - 1) : string_item(3);
      out += item(levels - 1);
    }
    return is_indefinite && below(12) != 0 ? out + '\xff' : out;
  }

  std::string simple_or_float() {
    switch (below(8)) {
      case 0:
        return {static_cast<char>(0xe0 | below(24))};
      case 1:
        return "\xf8" + bytes(1);
      case 2:
        return "\xf9" + bytes(2);
      case 3:
        return "\xfa" + bytes(4);
      case 4:
        return "\xfb" + bytes(8);
      case 5:
        return {static_cast<char>(0xfc + below(4))};
      default:
        return {static_cast<char>(0xf4 + below(3))};
    }
  }

  std::string item(int levels) {
    std::size_t kind = below(levels > 0 ? 12 : 8);
    if (kind < 2) return head(static_cast<unsigned>(kind), edge_value());
    if (kind < 4) return string_item(static_cast<unsigned>(kind));
    if (kind < 6) return wire::encode(wire::Json(static_cast<double>(below(2000)) / 8));
    if (kind < 8) return simple_or_float();
    if (kind < 11) return container(kind < 9 ? 4 : 5, levels);
    std::string tag = head(6, edge_value());
    return tag + item(levels - 1);
  }

  std::string map_of_items() {
    std::size_t fields = below(6);
    std::string out = head(5, fields);
    for (std::size_t i = 0; i < fields; ++i) {
      out += wire::encode(std::string(1 + below(8), 'f'));
      out += item(max_levels - 1);
    }
    return out;
  }

  /// A message in which the value of a field, at any depth, is another item.
  std::string message_with_changed_field() {
    wire::Json changed = message();
    wire::Json* place = &changed;
    do {
      if (place->empty()) break;
      auto chosen = place->begin();
      std::advance(chosen, static_cast<std::ptrdiff_t>(below(place->size())));
      place = &*chosen;
    } while (place->is_structured() && below(3) != 0);
    const std::string placeholder = "replaced by an item";
    *place = placeholder;
    std::string body = wire::encode(changed), encoded = wire::encode(wire::Json(placeholder));
    std::string replacement = below(4) == 0 ? nested_value() : item(max_levels - 2);
    return body.replace(body.find(encoded), encoded.size(), replacement);
  }

  std::string nested_value() {
    is_deep_ = true;
    const NestingKind& kind = nesting_kinds()[below(nesting_kinds().size())];
    // A statement for each draw, because the order in which arguments are evaluated is unspecified.
    std::size_t size = 100 + below(max_nested_size);
    bool is_closed = below(2) == 0;
    return nested_item(kind, size, is_closed);
  }

  std::string nested_body() {
    const BodyPosition& position = body_positions()[below(body_positions().size())];
    return position.before + nested_value() + position.after;
  }

  std::string with_inserted_bytes(std::string body) {
    std::size_t position = below(body.size());
    return body.insert(position, bytes(1 + below(3)));
  }

  /// Bytes that are cut short, continued, or in which one byte is another.
  std::string changed_bytes(std::string body) {
    if (body.empty()) return body;
    switch (below(4)) {
      case 0:
        return body.substr(0, below(body.size()));
      case 1:
        return body + bytes(1 + below(4));
      case 2:
        return with_inserted_bytes(std::move(body));
      default:
        body[below(body.size())] = static_cast<char>(below(256));
        return body;
    }
  }

  std::mt19937_64 random_;
  std::vector<wire::Json> messages_;
  bool is_deep_ = false;
};

}  // namespace oxbowmill
