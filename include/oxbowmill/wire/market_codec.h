// The market protocol's names and forms (docs/market-protocol.md). What a market sends is read with
// suspicion: a number that is not finite, negative or beyond reason is no number.
#pragma once

#include <cstddef>

#include "oxbowmill/market/calls.h"
#include "oxbowmill/wire/codec.h"

namespace oxbowmill::wire {

struct MarketRequest {
  bool is_post = false;
  std::string path;
  Json body;  // null: none
};
MarketRequest write_market_call(const market::Call& call, const Names& names);

constexpr std::size_t max_market_body_size = std::size_t{256} * 1024;
/// Reads a response; status 0: there was none.
market::Answer read_market_answer(const market::Call& call, int status, const std::string& body,
                                  double retry_after_s, const Names& names);

}  // namespace oxbowmill::wire
