// Bodies of the market protocol (docs/market-protocol.md); the names of all fields are in
// src/wire/market_codec.cpp. Markets are not trusted: a number that is not finite, negative or implausibly
// large reads as malformed. Stateless.
#pragma once

#include <cstddef>
#include <string>

#include "oxbowmill/cluster/settings.h"
#include "oxbowmill/market/calls.h"
#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::wire {

/// A call in its HTTP form.
struct MarketRequest {
  bool is_post = false;  ///< otherwise a GET
  std::string path;      ///< with the query, if there is one
  Json body;             ///< null: none
};
/// The request that a call stands for.
MarketRequest write_market_call(const market::Call& call, const Names& names);

/// Longest body that is read from a market, in bytes.
constexpr std::size_t max_market_body_size = std::size_t{256} * 1024;
/// Reads the response to a call; status 0: there was none. What cannot be read gives AnswerKind::malformed
/// and no contents.
market::Answer read_market_answer(const market::Call& call, int status, const std::string& body,
                                  double retry_after_s, const Names& names);

}  // namespace oxbowmill::wire
