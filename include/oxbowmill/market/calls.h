// Requests to a market and its answers, independent of their encoding; docs/market-protocol.md describes the
// protocol. Plain data. Rates are per machine and hour.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::market {

/// Kind of a call.
enum class CallKind : std::uint8_t {
  quotes,    ///< requests prices for kinds of machines
  bid,       ///< makes a bid; safe to repeat
  status,    ///< requests the status of a bid
  confirm,   ///< accepts a raise
  withdraw,  ///< withdraws a bid
  release,   ///< returns machines
  charges,   ///< requests the list of charges
};

/// A call to a market. The comment of a field names the kinds that use it; others leave it at its default.
struct Call {
  std::uint64_t id = 0;              ///< unique within the bidding service
  MarketIndex market;                ///< market that is called
  CallKind kind = CallKind::quotes;  ///< kind of the call
  std::vector<MachineKind> kinds;    ///< quotes: all kinds that are needed; calls about a bid: its one kind
  std::string bid_name;              ///< name of the bid; empty: the call concerns no single bid
  std::string quote_id;              ///< bid: the market's id of the quote
  std::uint32_t count = 0;           ///< bid: number of machines
  MoneyAmount limit = 0;             ///< bid: highest acceptable rate, in millionths
  double max_paid_s = 0;             ///< bid: longest paid time of each machine, in seconds
  double deliver_within_s = 0;       ///< bid: promised delivery time, in seconds after the bid
  std::uint64_t round = 0;           ///< confirm: number of the raise
  MoneyAmount rate = 0;              ///< confirm: the raised rate, in millionths
  std::vector<std::string> hosts;    ///< release: names of the machines
  std::uint64_t after_charge_number = 0;  ///< charges: requests those with a higher number
};

/// Outcome of a call.
enum class AnswerKind : std::uint8_t {
  ok,         ///< answered with content
  not_found,  ///< 404
  throttled,  ///< 429, 503: not executed
  rejected,   ///< 400, 409, 410, 422: not executed and not to be repeated
  no_answer,  ///< no answer: the call may still be executed
  malformed,  ///< unreadable answer: handled like no answer
};

/// A quote for one kind of machine.
struct QuoteUpdate {
  std::string quote_id;     ///< the market's id of the quote
  MachineKind kind;         ///< kind of the machines
  std::uint32_t count = 0;  ///< number of machines on offer
  double rate = 0;          ///< price in the currency per machine and hour
  Seconds valid_s = 0;      ///< how long the quote is valid
  Seconds deliver_s = 0;    ///< promised delivery time after the bid
};

/// Phase of a bid at its market.
enum class AuctionPhase : std::uint8_t {
  open,       ///< the auction is in progress
  raised,     ///< the market asks for a higher rate
  won,        ///< accepted
  lost,       ///< not accepted
  withdrawn,  ///< withdrawn by the bidder
  closed,     ///< won earlier; all machines have been returned
};

/// A delivered machine.
struct HostUpdate {
  std::string name;     ///< has the market's name and a dot as its prefix
  std::string address;  ///< "IPv4:port" of its agent
  MachineKind kind;     ///< an invalid type or zone is one that is not configured here
};

/// A market's report on a bid.
struct BidUpdate {
  AuctionPhase phase = AuctionPhase::open;  ///< phase of the bid
  MoneyAmount rate = 0;                     ///< agreed rate, in millionths
  std::uint64_t round = 0;                  ///< raised: number of the raise
  MoneyAmount raised_rate = 0;              ///< raised: rate that the market asks for, in millionths
  std::uint32_t expected_machines = 0;      ///< number of machines that are still to be delivered
  std::vector<HostUpdate> hosts;            ///< all machines delivered so far
  MoneyAmount charged_amount = 0;  ///< total charge in millionths; final once closed, lost or withdrawn
};

/// One entry of a market's list of charges.
struct ChargeUpdate {
  std::uint64_t number = 0;  ///< increases from entry to entry
  std::string bid_name;      ///< name of the bid
  MoneyAmount amount = 0;    ///< total charged for the bid so far, in millionths
};

/// A market's answer to a call. The comment of a field names the kinds of calls that it belongs to.
struct Answer {
  AnswerKind kind = AnswerKind::no_answer;  ///< outcome of the call
  std::string error;                        ///< malformed: what is wrong with the answer
  double retry_after_s = 0;                 ///< throttled: requested pause, in seconds
  std::vector<QuoteUpdate> quotes;          ///< quotes: all plausible quotes
  std::uint32_t implausible_quotes = 0;     ///< quotes: number of implausible quotes that were dropped
  std::optional<BidUpdate> bid;             ///< calls about a bid: its status
  std::vector<ChargeUpdate> charges;        ///< charges: entries of the list
  std::vector<std::string> returned_hosts;  ///< release: names of machines whose return is confirmed
};

}  // namespace oxbowmill::market
