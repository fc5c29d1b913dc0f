// Integers that a 64-bit type cannot hold.
#include <gtest/gtest.h>

#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

using wire::Json;

/// A negative integer of CBOR: -1 minus the argument.
std::string negative_integer(std::uint64_t argument) {
  std::string item = "\x3b";
  for (int shift = 56; shift >= 0; shift -= 8) item.push_back(static_cast<char>(argument >> shift & 0xff));
  return item;
}

/// The body with this item in place of the number that stands behind the field's name.
std::string with_item(const Json& map, const std::string& field, const std::string& item) {
  Json changed = map;
  changed[field] = 0;  // one byte
  std::string body = wire::encode(changed);
  std::size_t value = body.find(field) + field.size();
  return body.replace(value, 1, item);
}

Json submission() {
  return wire::write_submission(simulation::test_job("run-1", 1), simulation::test_names());
}

std::optional<wire::Rejection> read(const std::string& body) {
  auto decoded = wire::decode_map(body, wire::submission_rules);
  if (!decoded) return wire::Rejection{400, decoded.error()};
  Names names = simulation::test_names();
  JobSpec spec;
  return wire::read_submission(*decoded, names, spec);
}

// Guards against a submission that is accepted with another amount than the one that was sent.
TEST(IntegerRange, AmountBelowTheRangeIsRefused) {
  const std::uint64_t lowest = std::uint64_t{1} << 63;  // the argument of -2^63 - 1
  for (std::uint64_t argument : {std::uint64_t{0}, lowest - 1, lowest, ~std::uint64_t{0}}) {
    for (const char* field : {"vcpus", "shards", "runtime_s"}) {
      auto rejection = read(with_item(submission(), field, negative_integer(argument)));
      ASSERT_TRUE(rejection.has_value()) << field << " " << argument;
      EXPECT_EQ(rejection->status, 400);
      EXPECT_EQ(rejection->reason, std::string(field) + ": missing or invalid");
    }
  }
}

// Guards against a sound submission that is refused for a number in a field that the receiver must ignore.
TEST(IntegerRange, NumberBelowTheRangeInAnUnknownFieldIsIgnored) {
  for (const std::string& item :
       {negative_integer(~std::uint64_t{0}), "\x83\x01" + negative_integer(~std::uint64_t{0}) + "\x02",
        std::string(100, '\x81') + negative_integer(~std::uint64_t{0})})
    EXPECT_FALSE(read(with_item(submission(), "unknown", item)).has_value());
}

// Guards against a number that changes on its way although its type can hold it.
TEST(IntegerRange, LowestIntegerIsReadAsItIs) {
  auto decoded =
      wire::decode_map(with_item(Json::object(), "x", negative_integer((std::uint64_t{1} << 63) - 1)));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->at("x").get<std::int64_t>(), std::numeric_limits<std::int64_t>::min());
}

}  // namespace
}  // namespace oxbowmill
