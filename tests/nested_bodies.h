// Bodies of CBOR items that are nested in each other, for the tests of what the programs receive.
#pragma once

#include <pthread.h>

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

namespace oxbowmill {

/// One way of nesting items: what begins a level, and the bytes that the innermost level holds.
struct NestingKind {
  std::string name;
  std::string begin;       ///< of each level
  std::string content;     ///< of the innermost level
  std::string end;         ///< of each level
  bool is_well_formed;     ///< whether RFC 8949 allows it, if all levels are closed
  bool is_in_json = true;  ///< whether the decoder accepts it, if it is well-formed
};

inline const std::vector<NestingKind>& nesting_kinds() {
  static const std::vector<NestingKind> kinds = {
      {"arrays", "\x81", "\x80", "", true},
      {"arrays of indefinite length", "\x9f", "", "\xff", true},
      {"maps", std::string("\xa1\x60"), "\xa0", "", true},
      {"maps of indefinite length", std::string("\xbf\x60"), "\xf6", "\xff", true},
      {"maps as keys", "\xa1", "\xa0", "\xf6", true, false},
      {"arrays as keys", "\xa1\x81", "\x80", "\xf6", true, false},
      {"tags", "\xc1", "\xf6", "", true, false},
      {"byte strings of indefinite length", "\x5f", "\x41x", "\xff", false},
      {"texts of indefinite length", "\x7f", "\x61x", "\xff", false},
      {"texts in byte strings", "\x5f\x7f", "\x61x", "\xff\xff", false},
      {"arrays and texts in turn", "\x81\x7f", "\x61x", "\xff", false},
  };
  return kinds;
}

/// The item with as many levels as fit into `size` bytes. `is_closed`: whether the levels are ended.
inline std::string nested_item(const NestingKind& kind, std::size_t size, bool is_closed) {
  std::size_t level_size = kind.begin.size() + (is_closed ? kind.end.size() : 0);
  std::size_t levels = (size - kind.content.size()) / level_size;
  std::string item;
  for (std::size_t i = 0; i < levels; ++i) item += kind.begin;
  if (!is_closed) return item;
  item += kind.content;
  for (std::size_t i = 0; i < levels; ++i) item += kind.end;
  return item;
}

/// Where a nested item stands in a body.
struct BodyPosition {
  std::string name, before, after;
};

inline const std::vector<BodyPosition>& body_positions() {
  static const std::vector<BodyPosition> positions = {
      {"the body", "", ""},
      {"an item of an array", "\xa1\x65items\x82\xf6", ""},
      {"the value of a field", "\xa1\x67unknown", ""},
      {"the key of a field", "\xa1", "\xf6"},
  };
  return positions;
}

/// Calls the function on a thread with a stack of 256 KiB, and waits for its end.
inline void run_on_small_stack(std::function<void()> function) {
  constexpr std::size_t stack_size = std::size_t{256} * 1024;
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, stack_size);
  pthread_t thread{};
  auto run = [](void* argument) -> void* {
    (*static_cast<std::function<void()>*>(argument))();
    return nullptr;
  };
  int error = pthread_create(&thread, &attributes, run, &function);
  pthread_attr_destroy(&attributes);
  if (error != 0) throw std::runtime_error("cannot create a thread");
  pthread_join(thread, nullptr);
}

}  // namespace oxbowmill
