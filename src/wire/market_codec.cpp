#include "oxbowmill/wire/market_codec.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "name_table.h"
#include "oxbowmill/market/settings.h"
#include "shared_names.h"

namespace oxbowmill::wire {

namespace {
using market::Answer;
using market::AnswerKind;
using market::AuctionPhase;
using market::CallKind;

namespace path {
constexpr const char* quotes = "/quotes";
constexpr const char* bids = "/bids";
constexpr const char* confirm = "/confirm";
constexpr const char* withdraw = "/withdraw";
constexpr const char* returns = "/returns";
constexpr const char* charges_from = "/charges?from=";
}  // namespace path

namespace field {
// Fields of quotes and of requests for them.
constexpr const char* wanted_kinds = "wants";
constexpr const char* quotes = "quotes";
constexpr const char* quote_id = "quote";
constexpr const char* rate = "rate";
constexpr const char* valid_ms = "valid_ms";
constexpr const char* deliver_s = "deliver_s";
// Fields of bids.
constexpr const char* bid = "bid";
constexpr const char* price_limit = "limit";
constexpr const char* max_paid_s = "term_s";
constexpr const char* charged = "charged";
constexpr const char* raised_rate = "raise";
constexpr const char* round = "round";
constexpr const char* expected_machines = "expects";
constexpr const char* machine = "host";
// Fields of returned machines and of charges.
constexpr const char* returned_machines = "returned";
constexpr const char* charges = "charges";
constexpr const char* charge_number = "no";
constexpr const char* charge_amount = "amount";
}  // namespace field

constexpr WireName<AuctionPhase> auction_phases[] = {
    {"open", AuctionPhase::open}, {"raised", AuctionPhase::raised},       {"won", AuctionPhase::won},
    {"lost", AuctionPhase::lost}, {"withdrawn", AuctionPhase::withdrawn}, {"closed", AuctionPhase::closed}};

// Higher values in a message from a market are implausible.
constexpr double max_duration_s = 7 * 86400.0;
constexpr double max_amount = 1e9;
constexpr std::uint64_t max_machines = 100'000;
constexpr std::size_t max_name_bytes = 120;
constexpr std::size_t max_quotes = 500, max_hosts = 1000, max_charges = 1000;
constexpr std::uint64_t no_limit = std::numeric_limits<std::uint64_t>::max();

std::optional<double> read_amount(const Json& json, const char* key, double max_value) {
  auto it = json.find(key);
  if (it == json.end() || !it->is_number()) return std::nullopt;
  auto amount = it->get<double>();
  if (!std::isfinite(amount) || amount < 0 || amount > max_value) return std::nullopt;
  return amount;
}

std::optional<std::uint64_t> read_count(const Json& json, const char* key, std::uint64_t max_value) {
  auto it = json.find(key);
  if (it == json.end() || !it->is_number_unsigned()) return std::nullopt;
  auto count = it->get<std::uint64_t>();
  return count > max_value ? std::nullopt : std::optional<std::uint64_t>(count);
}

std::optional<std::string> read_name(const Json& json, const char* key) {
  auto it = json.find(key);
  if (it == json.end() || !it->is_string()) return std::nullopt;
  const auto& name = it->get_ref<const std::string&>();
  bool is_valid =
      !name.empty() && name.size() <= max_name_bytes &&
      std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < 127 && c != '/'; });
  return is_valid ? std::optional<std::string>(name) : std::nullopt;
}

bool is_present(const Json& json, const char* key) {
  return json.contains(key) && !json[key].is_null();
}

/// The list, or nullptr if the field is not a list or has an implausible number of items.
const Json* read_list_field(const Json& json, const char* key, std::size_t max_items) {
  auto it = json.find(key);
  return it != json.end() && it->is_array() && it->size() <= max_items ? &*it : nullptr;
}

Json write_kind(const MachineKind& kind, const Names& names) {
  return {{shared::machine_type, names.types.name(kind.type)},
          {shared::zone, names.zones.name(kind.zone)},
          {shared::spot, kind.spot}};
}

/// An unknown type or zone gives an invalid index.
std::optional<MachineKind> read_kind(const Json& json, const Names& names) {
  auto type = read_name(json, shared::machine_type), zone = read_name(json, shared::zone);
  auto spot = json.find(shared::spot);
  if (!type || !zone || spot == json.end() || !spot->is_boolean()) return std::nullopt;
  return MachineKind{names.types.find(*type), names.zones.find(*zone), spot->get<bool>()};
}

/// Empty if the quote is malformed or implausible.
std::optional<market::QuoteUpdate> read_quote(const Json& json, const Names& names) {
  auto id = read_name(json, field::quote_id);
  auto kind = read_kind(json, names);
  auto machines = read_count(json, shared::count, max_machines);
  auto rate = read_amount(json, field::rate, market::max_rate);
  auto valid_ms = read_amount(json, field::valid_ms, max_duration_s * 1000);
  auto deliver_s = read_amount(json, field::deliver_s, max_duration_s);
  if (!id || !kind || !machines || !rate || *rate <= 0 || !valid_ms || !deliver_s) return std::nullopt;
  return market::QuoteUpdate{*id,       *kind, static_cast<std::uint32_t>(*machines), *rate, *valid_ms / 1000,
                             *deliver_s};
}

bool read_quotes(const Json& body, const Names& names, Answer& out) {
  const Json* quotes = read_list_field(body, field::quotes, max_quotes);
  if (quotes == nullptr) return false;
  for (const Json& quote_json : *quotes) {
    if (!quote_json.is_object()) return false;
    auto quote = read_quote(quote_json, names);
    if (!quote) {
      ++out.implausible_quotes;
      continue;
    }
    if (!quote->kind.type.valid() || !quote->kind.zone.valid() || quote->count == 0) continue;
    out.quotes.push_back(std::move(*quote));
  }
  return true;
}

bool read_raise(const Json& body, market::BidUpdate& out) {
  auto raised_rate = read_amount(body, field::raised_rate, market::max_rate);
  auto round = read_count(body, field::round, no_limit);
  if (!raised_rate || !round || *raised_rate <= 0) return false;
  out.raised_rate = market::to_money_amount(*raised_rate);
  out.round = *round;
  return true;
}

bool read_delivered_hosts(const Json& body, const Names& names, market::BidUpdate& out) {
  const Json* hosts = read_list_field(body, shared::machines, max_hosts);
  if (hosts == nullptr) return false;
  for (const Json& host : *hosts) {
    if (!host.is_object()) return false;
    auto name = read_name(host, field::machine), address = read_name(host, shared::address);
    auto kind = read_kind(host, names);
    if (!name || !address || !kind) return false;
    out.hosts.push_back({*name, *address, *kind});
  }
  return true;
}

bool read_bid(const Json& body, const std::string& expected_name, const Names& names, Answer& out) {
  auto bid_name = read_name(body, field::bid), phase_name = read_name(body, shared::phase);
  auto charged = read_amount(body, field::charged, max_amount);
  if (!bid_name || *bid_name != expected_name || !phase_name || !charged) return false;
  auto phase = value_of(auction_phases, *phase_name);
  if (!phase) return false;
  market::BidUpdate update;
  update.phase = *phase;
  update.charged_amount = market::to_money_amount(*charged);
  if (is_present(body, field::rate)) {
    auto rate = read_amount(body, field::rate, market::max_rate);
    if (!rate) return false;
    update.rate = market::to_money_amount(*rate);
  }
  if (update.phase == AuctionPhase::raised && !read_raise(body, update)) return false;
  if (is_present(body, field::expected_machines)) {
    auto expected = read_count(body, field::expected_machines, max_machines);
    if (!expected) return false;
    update.expected_machines = static_cast<std::uint32_t>(*expected);
  }
  if (is_present(body, shared::machines) && !read_delivered_hosts(body, names, update)) return false;
  out.bid = std::move(update);
  return true;
}

bool read_charges(const Json& body, Answer& out) {
  const Json* charges = read_list_field(body, field::charges, max_charges);
  if (charges == nullptr) return false;
  for (const Json& charge : *charges) {
    if (!charge.is_object()) return false;
    auto number = read_count(charge, field::charge_number, no_limit);
    auto bid = read_name(charge, field::bid);
    auto amount = read_amount(charge, field::charge_amount, max_amount);
    if (!number || !bid || !amount) return false;
    out.charges.push_back({*number, *bid, market::to_money_amount(*amount)});
  }
  return true;
}

bool read_returned(const Json& body, Answer& out) {
  const Json* hosts = read_list_field(body, field::returned_machines, max_hosts);
  if (hosts == nullptr) return false;
  for (const Json& host : *hosts) {
    if (!host.is_string()) return false;
    out.returned_hosts.push_back(host.get<std::string>());
  }
  return true;
}

AnswerKind kind_of_status(int status) {
  switch (status) {
    case 0:
      return AnswerKind::no_answer;
    case 200:
      return AnswerKind::ok;
    case 429:
    case 503:
      return AnswerKind::throttled;
    case 404:
      return AnswerKind::not_found;
    case 400:
    case 409:
    case 410:
    case 422:
      return AnswerKind::rejected;
    default:
      return AnswerKind::malformed;
  }
}

/// Returns false if the body is not a valid answer to the call.
bool read_body(const market::Call& call, const Json& body, const Names& names, Answer& out) {
  switch (call.kind) {
    case CallKind::quotes:
      return read_quotes(body, names, out);
    case CallKind::release:
      return read_returned(body, out);
    case CallKind::charges:
      return read_charges(body, out);
    case CallKind::bid:
    case CallKind::status:
    case CallKind::confirm:
    case CallKind::withdraw:
      return read_bid(body, call.bid_name, names, out);
  }
  return false;
}
}  // namespace

MarketRequest write_market_call(const market::Call& call, const Names& names) {
  const std::string bid_path = std::string(path::bids) + "/" + call.bid_name;
  switch (call.kind) {
    case CallKind::quotes: {
      Json kinds = Json::array();
      for (const MachineKind& kind : call.kinds) kinds.push_back(write_kind(kind, names));
      return {true, path::quotes, {{field::wanted_kinds, kinds}}};
    }
    case CallKind::bid: {
      Json body = write_kind(call.kinds.at(0), names);
      body[field::bid] = call.bid_name;
      body[field::quote_id] = call.quote_id;
      body[shared::count] = call.count;
      body[field::price_limit] = market::to_currency(call.limit);
      body[field::max_paid_s] = call.max_paid_s;
      body[field::deliver_s] = call.deliver_within_s;
      return {true, path::bids, std::move(body)};
    }
    case CallKind::status:
      return {false, bid_path, nullptr};
    case CallKind::confirm:
      return {true,
              bid_path + path::confirm,
              {{field::round, call.round}, {field::rate, market::to_currency(call.rate)}}};
    case CallKind::withdraw:
      return {true, bid_path + path::withdraw, Json::object()};
    case CallKind::release:
      return {true, path::returns, {{shared::machines, call.hosts}}};
    case CallKind::charges:
      return {false, path::charges_from + std::to_string(call.after_charge_number), nullptr};
  }
  return {};
}

Answer read_market_answer(const market::Call& call, int status, const std::string& body, double retry_after_s,
                          const Names& names) {
  Answer answer;
  answer.kind = kind_of_status(status);
  answer.retry_after_s = retry_after_s;
  if (answer.kind == AnswerKind::malformed) answer.error = "unexpected status " + std::to_string(status);
  if (answer.kind != AnswerKind::ok) return answer;
  answer.kind = AnswerKind::malformed;
  BodyRules rules = large_body_rules;
  rules.max_size = max_market_body_size;
  auto decoded = decode_map(body, rules);
  if (!decoded) {
    answer.error = decoded.error();
    return answer;
  }
  if (!read_body(call, *decoded, names, answer)) {
    // The content that was read before the malformed field must not be used either.
    answer = Answer{};
    answer.kind = AnswerKind::malformed;
    answer.error = "a field is missing or invalid";
    return answer;
  }
  answer.kind = AnswerKind::ok;
  return answer;
}

}  // namespace oxbowmill::wire
