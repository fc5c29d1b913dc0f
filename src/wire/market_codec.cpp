#include "oxbowmill/wire/market_codec.h"

#include <cmath>

#include "oxbowmill/market/settings.h"

namespace oxbowmill::wire {

namespace {
using market::Answer;
using market::AnswerKind;
using market::AuctionPhase;
using market::CallKind;

constexpr double max_duration_s = 7 * 86400.0;
constexpr double max_amount = 1e9;
constexpr std::size_t max_quotes = 500, max_hosts = 1000, max_charges = 1000;

std::optional<double> read_amount(const Json& json, const char* key, double most) {
  auto it = json.find(key);
  if (it == json.end() || !it->is_number()) return std::nullopt;
  double v = it->get<double>();
  if (!std::isfinite(v) || v < 0 || v > most) return std::nullopt;
  return v;
}

std::optional<std::uint64_t> read_count(const Json& json, const char* key, std::uint64_t most) {
  auto it = json.find(key);
  if (it == json.end() || !it->is_number_unsigned()) return std::nullopt;
  auto v = it->get<std::uint64_t>();
  return v > most ? std::nullopt : std::optional<std::uint64_t>(v);
}

std::optional<std::string> read_name(const Json& json, const char* key) {
  constexpr std::size_t longest = 120;
  auto it = json.find(key);
  if (it == json.end() || !it->is_string()) return std::nullopt;
  const auto& s = it->get_ref<const std::string&>();
  bool printable = !s.empty() && s.size() <= longest &&
                   std::all_of(s.begin(), s.end(), [](char c) { return c > ' ' && c < 127 && c != '/'; });
  return printable ? std::optional<std::string>(s) : std::nullopt;
}

Json write_kind(const MachineKind& kind, const Names& names) {
  return {
      {"rig", names.types.name(kind.type)}, {"yard", names.zones.name(kind.zone)}, {"loaners", kind.spot}};
}

/// Types and zones that are not known here stay invalid.
std::optional<MachineKind> read_kind(const Json& json, const Names& names) {
  auto rig = read_name(json, "rig"), yard = read_name(json, "yard");
  auto spot = json.find("loaners");
  if (!rig || !yard || spot == json.end() || !spot->is_boolean()) return std::nullopt;
  return MachineKind{names.types.find(*rig), names.zones.find(*yard), spot->get<bool>()};
}

const Json* read_list_field(const Json& json, const char* key, std::size_t most) {
  auto it = json.find(key);
  return it != json.end() && it->is_array() && it->size() <= most ? &*it : nullptr;
}

bool read_quotes(const Json& body, const Names& names, Answer& out) {
  const Json* quotes = read_list_field(body, "quotes", max_quotes);
  if (quotes == nullptr) return false;
  for (const Json& quote : *quotes) {
    if (!quote.is_object()) return false;
    market::QuoteUpdate n;
    auto id = read_name(quote, "quote");
    auto kind = read_kind(quote, names);
    auto machines = read_count(quote, "count", 100'000);
    auto rate = read_amount(quote, "rate", market::max_rate);
    auto valid = read_amount(quote, "valid_ms", max_duration_s * 1000),
         deliver = read_amount(quote, "deliver_s", max_duration_s);
    if (!id || !kind || !machines || !rate || *rate <= 0 || !valid || !deliver) {
      ++out.implausible_quotes;
      continue;
    }
    if (!kind->type.valid() || !kind->zone.valid() || *machines == 0) continue;
    out.quotes.push_back({*id, *kind, static_cast<std::uint32_t>(*machines), *rate, *valid / 1000, *deliver});
  }
  return true;
}

bool read_bid(const Json& body, const std::string& bid_id, const Names& names, Answer& out) {
  static constexpr std::pair<const char*, AuctionPhase> phases[] = {
      {"open", AuctionPhase::open}, {"raised", AuctionPhase::raised},       {"won", AuctionPhase::won},
      {"lost", AuctionPhase::lost}, {"withdrawn", AuctionPhase::withdrawn}, {"closed", AuctionPhase::closed}};
  auto of = read_name(body, "bid"), phase = read_name(body, "phase");
  auto charged = read_amount(body, "charged", max_amount);
  if (!of || *of != bid_id || !phase || !charged) return false;
  market::BidUpdate bid_update;
  const auto* known =
      std::find_if(std::begin(phases), std::end(phases), [&](const auto& p) { return *phase == p.first; });
  if (known == std::end(phases)) return false;
  bid_update.phase = known->second;
  bid_update.charged = market::to_money_amount(*charged);
  auto has = [&body](const char* key) { return body.contains(key) && !body[key].is_null(); };
  if (has("rate")) {
    auto rate = read_amount(body, "rate", market::max_rate);
    if (!rate) return false;
    bid_update.rate = market::to_money_amount(*rate);
  }
  if (bid_update.phase == AuctionPhase::raised) {
    auto raise = read_amount(body, "raise", market::max_rate);
    auto round = read_count(body, "round", ~0ULL);
    if (!raise || !round || *raise <= 0) return false;
    bid_update.raised_rate = market::to_money_amount(*raise);
    bid_update.round = *round;
  }
  if (has("expects")) {
    auto expects = read_count(body, "expects", 100'000);
    if (!expects) return false;
    bid_update.expected_machines = static_cast<std::uint32_t>(*expects);
  }
  if (has("hosts")) {
    const Json* hosts = read_list_field(body, "hosts", max_hosts);
    if (hosts == nullptr) return false;
    for (const Json& h : *hosts) {
      if (!h.is_object()) return false;
      auto host = read_name(h, "host"), address = read_name(h, "address");
      auto kind = read_kind(h, names);
      if (!host || !address || !kind) return false;
      bid_update.hosts.push_back({*host, *address, *kind});
    }
  }
  out.bid = std::move(bid_update);
  return true;
}

bool read_charges(const Json& body, Answer& out) {
  const Json* charges = read_list_field(body, "charges", max_charges);
  if (charges == nullptr) return false;
  for (const Json& charge : *charges) {
    if (!charge.is_object()) return false;
    auto number = read_count(charge, "no", ~0ULL);
    auto bid = read_name(charge, "bid");
    auto sum = read_amount(charge, "amount", max_amount);
    if (!number || !bid || !sum) return false;
    out.charges.push_back({*number, *bid, market::to_money_amount(*sum)});
  }
  return true;
}

bool read_returned(const Json& body, Answer& out) {
  const Json* hosts = read_list_field(body, "returned", max_hosts);
  if (hosts == nullptr) return false;
  for (const Json& h : *hosts) {
    if (!h.is_string()) return false;
    out.returned_hosts.push_back(h.get<std::string>());
  }
  return true;
}
}  // namespace

MarketRequest write_market_call(const market::Call& call, const Names& names) {
  switch (call.kind) {
    case CallKind::quotes: {
      Json wants = Json::array();
      for (const MachineKind& k : call.kinds) wants.push_back(write_kind(k, names));
      return {true, "/quotes", {{"wants", wants}}};
    }
    case CallKind::bid: {
      Json body = write_kind(call.kinds.at(0), names);
      body["bid"] = call.bid;
      body["quote"] = call.quote_id;
      body["count"] = call.count;
      body["limit"] = market::to_currency(call.limit);
      body["term_s"] = call.max_paid_s;
      body["deliver_s"] = call.deliver_within_s;
      return {true, "/bids", std::move(body)};
    }
    case CallKind::status:
      return {false, "/bids/" + call.bid, nullptr};
    case CallKind::confirm:
      return {true,
              "/bids/" + call.bid + "/confirm",
              {{"round", call.round}, {"rate", market::to_currency(call.rate)}}};
    case CallKind::withdraw:
      return {true, "/bids/" + call.bid + "/withdraw", Json::object()};
    case CallKind::release:
      return {true, "/returns", {{"hosts", call.hosts}}};
    case CallKind::charges:
      return {false, "/charges?from=" + std::to_string(call.from), nullptr};
  }
  return {};
}

Answer read_market_answer(const market::Call& call, int status, const std::string& body, double retry_after_s,
                          const Names& names) {
  Answer answer;
  answer.retry_after_s = retry_after_s;
  switch (status) {
    case 0:
      answer.kind = AnswerKind::no_answer;
      return answer;
    case 429:
    case 503:
      answer.kind = AnswerKind::throttled;
      return answer;
    case 404:
      answer.kind = AnswerKind::not_found;
      return answer;
    case 400:
    case 409:
    case 410:
    case 422:
      answer.kind = AnswerKind::rejected;
      return answer;
    case 200:
      break;
    default:
      answer.kind = AnswerKind::malformed;
      return answer;
  }
  answer.kind = AnswerKind::malformed;
  if (body.size() > max_market_body_size) return answer;
  Json json = Json::from_cbor(body, true, false);
  if (!json.is_object()) return answer;
  bool good = false;
  switch (call.kind) {
    case CallKind::quotes:
      good = read_quotes(json, names, answer);
      break;
    case CallKind::release:
      good = read_returned(json, answer);
      break;
    case CallKind::charges:
      good = read_charges(json, answer);
      break;
    default:
      good = read_bid(json, call.bid, names, answer);
      break;
  }
  if (good) {
    answer.kind = AnswerKind::ok;
  } else {
    answer = Answer{};
    answer.kind = AnswerKind::malformed;
  }
  return answer;
}

}  // namespace oxbowmill::wire
