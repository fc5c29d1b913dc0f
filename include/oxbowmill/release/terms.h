// What operators say of a release: paired editions of one source revision, whose publishing waits for all of
// them. Written in the calendar file, kept in the controllers' shared state; docs/release.md.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/release/times.h"

namespace oxbowmill::release {

/// Names jobs: one by its id, or so many by class and image where ids are not known ahead.
struct Matcher {
  std::string ref;
  std::string job_class, image;
  std::uint32_t count = 1;
};

struct Edition {
  std::string name;
  std::vector<Matcher> renders;
  Matcher publish;
};

struct Terms {
  std::string name;
  std::string revision;  // of the source
  std::vector<Edition> editions;
  std::optional<Appointed> when;  // nothing publishes before; none: as soon as all is rendered
};

struct Calendar {
  std::uint64_t version = 0;  // controllers whose files differ agree on the newer one
  std::vector<Terms> releases;
  bool empty() const { return version == 0; }
};

/// As it stands in a record. Throws nothing: text that cannot be read gives none.
std::string to_text(const Terms& terms);
std::optional<Terms> from_text(const std::string& text);
/// What is wrong with the terms, or empty.
std::string fault_of(const Terms& terms);

}  // namespace oxbowmill::release
