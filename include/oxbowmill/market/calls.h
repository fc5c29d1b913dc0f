// What is asked of a market and what it answers, independent of the wire; docs/market-protocol.md has the
// protocol. Plain data. Rates are for one machine and hour.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::market {

/// What a call asks for.
enum class CallKind : std::uint8_t {
  quotes,    ///< prices of kinds of machines
  bid,       ///< to make a bid; repeating it is harmless
  status,    ///< what became of a bid
  confirm,   ///< to accept a raise
  withdraw,  ///< to give a bid up
  release,   ///< to return machines
  charges,   ///< the list of charges
};

/// A call to a market; which fields count depends on its kind.
struct Call {
  std::uint64_t id = 0;              ///< unique for the service
  MarketIndex market;                ///< to which it goes
  CallKind kind = CallKind::quotes;  ///< what it asks for
  std::vector<MachineKind> kinds;    ///< quotes: what is wanted; bid: the one kind
  std::string bid;                   ///< name of the bid; empty: about no single bid
  std::string quote_id;              ///< bid: the market's name of the quote
  std::uint32_t count = 0;           ///< bid: machines
  MoneyAmount limit = 0;             ///< bid: highest rate, in millionths
  double max_paid_s = 0;             ///< bid: each machine is paid for at most so long
  double deliver_within_s = 0;       ///< bid: promised delivery
  std::uint64_t round = 0;           ///< confirm: number of the raise
  MoneyAmount rate = 0;              ///< confirm: the raised rate, in millionths
  std::vector<std::string> hosts;    ///< release: names of the machines
  std::uint64_t from = 0;            ///< charges: those after this number
};

/// How a call was answered.
enum class AnswerKind : std::uint8_t {
  ok,         ///< with content
  not_found,  ///< 404
  throttled,  ///< 429, 503: not executed
  rejected,   ///< 400, 409, 410, 422: not executed and not to be repeated
  no_answer,  ///< none: it may be executed, even later
  malformed,  ///< cannot be read: like none, and counted against the market
};

/// A quote for one kind of machine.
struct QuoteUpdate {
  std::string quote_id;     ///< the market's name of it
  MachineKind kind;         ///< of the machines
  std::uint32_t count = 0;  ///< machines
  double rate = 0;          ///< in the currency
  Seconds valid_s = 0;      ///< from the answer on
  Seconds deliver_s = 0;    ///< promised delivery after a bid
};

/// Where a bid stands at its market.
enum class AuctionPhase : std::uint8_t {
  open,       ///< the auction is in progress
  raised,     ///< a higher rate is asked for
  won,        ///< accepted
  lost,       ///< not accepted
  withdrawn,  ///< given up
  closed,     ///< it was won, and all its machines are returned
};

/// A delivered machine.
struct HostUpdate {
  std::string name;     ///< begins with the market's name and a dot
  std::string address;  ///< "IPv4:port" of its agent
  MachineKind kind;     ///< type or zone invalid: one that is not known here
};

/// What a market reports of a bid.
struct BidUpdate {
  AuctionPhase phase = AuctionPhase::open;  ///< where it stands
  MoneyAmount rate = 0;                     ///< agreed, in millionths
  std::uint64_t round = 0;                  ///< raised: number of the raise
  MoneyAmount raised_rate = 0;              ///< raised: to this, in millionths
  std::uint32_t expected_machines = 0;      ///< machines still to come
  std::vector<HostUpdate> hosts;            ///< all that were delivered
  MoneyAmount charged = 0;                  ///< millionths so far; closed, lost, withdrawn: for good
};

/// One entry of a market's list of charges.
struct ChargeUpdate {
  std::uint64_t number = 0;  ///< rises from entry to entry
  std::string bid;           ///< name of the bid
  MoneyAmount amount = 0;    ///< charged for the bid so far, in millionths
};

/// A market's answer; which fields count depends on the call.
struct Answer {
  AnswerKind kind = AnswerKind::no_answer;  ///< how the call was answered
  double retry_after_s = 0;                 ///< throttled: the pause that it asks for
  std::vector<QuoteUpdate> quotes;          ///< quotes: the plausible ones
  std::uint32_t implausible_quotes = 0;     ///< quotes: how many were dropped
  std::optional<BidUpdate> bid;             ///< calls about a bid
  std::vector<ChargeUpdate> charges;        ///< charges
  std::vector<std::string> returned_hosts;  ///< release: machines whose return it confirms
};

}  // namespace oxbowmill::market
