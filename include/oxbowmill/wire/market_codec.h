// Encodes and decodes the messages of the market protocol (docs/market-protocol.md).
// src/wire/market_codec.cpp defines the names of the fields. Markets are not trusted: a number that is
// negative, not finite or implausibly large is malformed. Stateless.
#pragma once

#include <cstddef>
#include <string>

#include "oxbowmill/cluster/settings.h"
#include "oxbowmill/market/calls.h"
#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::wire {

/// A call as an HTTP request.
struct MarketRequest {
  bool is_post = false;  ///< whether the method is POST; otherwise it is GET
  std::string path;      ///< path with the query, if there is one
  Json body;             ///< null: no body
};
/// Encodes a call.
MarketRequest write_market_call(const market::Call& call, const Names& names);

/// Size limit of a body from a market, in bytes.
constexpr std::size_t max_market_body_size = std::size_t{256} * 1024;
/// Decodes the response to a call. `status` is the HTTP status, or 0 without a response. A body that cannot
/// be read gives AnswerKind::malformed without content.
market::Answer read_market_answer(const market::Call& call, int status, const std::string& body,
                                  double retry_after_s, const Names& names);

}  // namespace oxbowmill::wire
