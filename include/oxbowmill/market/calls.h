// What is asked of a market and what it answers, free of codecs; docs/market-protocol.md has the wire's form.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::market {

enum class CallKind : std::uint8_t { quotes, bid, status, confirm, withdraw, release, charges };

struct Call {
  std::uint64_t id = 0;
  MarketIndex market;
  CallKind kind = CallKind::quotes;
  std::vector<MachineKind> kinds;  // quotes: what is wanted; bid: the one
  std::string bid, quote_id;
  std::uint32_t count = 0;
  MoneyAmount limit = 0;           // bid: per machine and hour
  double max_paid_s = 0;           // bid: paid for at most so long
  double deliver_within_s = 0;     // bid: wanted within
  std::uint64_t round = 0;         // confirm: which raise
  MoneyAmount rate = 0;            // confirm: to what
  std::vector<std::string> hosts;  // give_back
  std::uint64_t from = 0;          // charges: after this number
};

enum class AnswerKind : std::uint8_t {
  ok,
  not_found,  // 404
  throttled,  // 429, 503: not executed
  rejected,   // 400, 409, 410, 422: not executed and not to be repeated
  no_answer,  // no answer: it may be executed, even later
  malformed,  // an answer that cannot be read: no answer, and a mark against the market
};

struct QuoteUpdate {
  std::string quote_id;
  MachineKind kind;
  std::uint32_t count = 0;
  double rate = 0;  // per machine and hour
  Seconds valid_s = 0, deliver_s = 0;
};

enum class AuctionPhase : std::uint8_t { open, raised, won, lost, withdrawn, closed };

struct HostUpdate {
  std::string name, address;
  MachineKind kind;  // type or zone invalid: one that is not known here
};

struct BidUpdate {
  AuctionPhase phase = AuctionPhase::open;
  MoneyAmount rate = 0;     // agreed
  std::uint64_t round = 0;  // raised: the number of the raise, and to what
  MoneyAmount raised_rate = 0;
  std::uint32_t expected_machines = 0;  // machines still to come
  std::vector<HostUpdate> hosts;
  MoneyAmount charged = 0;  // so far; closed, lost, withdrawn: for good
};

struct ChargeUpdate {
  std::uint64_t number = 0;
  std::string bid;
  MoneyAmount amount = 0;  // of the bid so far
};

struct Answer {
  AnswerKind kind = AnswerKind::no_answer;
  double retry_after_s = 0;
  std::vector<QuoteUpdate> quotes;
  std::uint32_t implausible_quotes = 0;  // quotes left out since no one could mean them
  std::optional<BidUpdate> bid;
  std::vector<ChargeUpdate> charges;
  std::vector<std::string> returned_hosts;
};

}  // namespace oxbowmill::market
