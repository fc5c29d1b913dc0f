// What is asked of a market and what it answers, free of codecs; docs/market-protocol.md has the wire's form.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "oxbowmill/core/types.h"

namespace oxbowmill::market {

enum class CallKind : std::uint8_t { quotes, bid, status, confirm, withdraw, give_back, charges };

struct Call {
  std::uint64_t id = 0;
  MarketIndex market;
  CallKind kind = CallKind::quotes;
  std::vector<Kind> kinds;  // quotes: what is wanted; bid: the one
  std::string bid, quote;
  std::uint32_t count = 0;
  Money limit = 0;                 // bid: per machine and hour
  double term_s = 0;               // bid: paid for at most so long
  double deliver_s = 0;            // bid: wanted within
  std::uint64_t round = 0;         // confirm: which raise
  Money rate = 0;                  // confirm: to what
  std::vector<std::string> hosts;  // give_back
  std::uint64_t from = 0;          // charges: after this number
};

enum class AnswerKind : std::uint8_t {
  ok,
  unknown_name,  // 404
  pause,         // 429, 503: not executed
  refused,       // 400, 409, 410, 422: not executed and not to be repeated
  none,          // no answer: it may be executed, even later
  garbage,       // an answer that cannot be read: no answer, and a mark against the market
};

struct QuoteNews {
  std::string quote;
  Kind kind;
  std::uint32_t count = 0;
  double rate = 0;  // per machine and hour
  Seconds valid_s = 0, deliver_s = 0;
};

enum class MarketPhase : std::uint8_t { open, raised, won, lost, withdrawn, closed };

struct HostNews {
  std::string name, address;
  Kind kind;  // type or zone invalid: one that is not known here
};

struct BidNews {
  MarketPhase phase = MarketPhase::open;
  Money rate = 0;           // agreed
  std::uint64_t round = 0;  // raised: the number of the raise, and to what
  Money raise = 0;
  std::uint32_t expects = 0;  // machines still to come
  std::vector<HostNews> hosts;
  Money charged = 0;  // so far; closed, lost, withdrawn: for good
};

struct ChargeNews {
  std::uint64_t no = 0;
  std::string bid;
  Money amount = 0;  // of the bid so far
};

struct Answer {
  AnswerKind kind = AnswerKind::none;
  double retry_after_s = 0;
  std::vector<QuoteNews> quotes;
  std::uint32_t absurd = 0;  // quotes left out since no one could mean them
  std::optional<BidNews> bid;
  std::vector<ChargeNews> charges;
  std::vector<std::string> returned;
};

}  // namespace oxbowmill::market
