#include "oxbowmill/wire/market_codec.h"

#include <cmath>

#include "oxbowmill/market/settings.h"

namespace oxbowmill::wire {

namespace {
using market::Answer;
using market::AnswerKind;
using market::CallKind;
using market::MarketPhase;

constexpr double longest_s = 7 * 86400.0;
constexpr double most_amount = 1e9;
constexpr std::size_t most_quotes = 500, most_hosts = 1000, most_charges = 1000;

std::optional<double> amount(const Json& j, const char* key, double most) {
  auto it = j.find(key);
  if (it == j.end() || !it->is_number()) return std::nullopt;
  double v = it->get<double>();
  if (!std::isfinite(v) || v < 0 || v > most) return std::nullopt;
  return v;
}

std::optional<std::uint64_t> count(const Json& j, const char* key, std::uint64_t most) {
  auto it = j.find(key);
  if (it == j.end() || !it->is_number_unsigned()) return std::nullopt;
  auto v = it->get<std::uint64_t>();
  return v > most ? std::nullopt : std::optional<std::uint64_t>(v);
}

std::optional<std::string> name(const Json& j, const char* key) {
  constexpr std::size_t longest = 120;
  auto it = j.find(key);
  if (it == j.end() || !it->is_string()) return std::nullopt;
  const auto& s = it->get_ref<const std::string&>();
  bool printable = !s.empty() && s.size() <= longest &&
                   std::all_of(s.begin(), s.end(), [](char c) { return c > ' ' && c < 127 && c != '/'; });
  return printable ? std::optional<std::string>(s) : std::nullopt;
}

Json kind_json(const Kind& k, const Names& names) {
  return {{"rig", names.types.name(k.type)}, {"yard", names.zones.name(k.zone)}, {"loaners", k.spot}};
}

/// Types and zones that are not known here stay invalid.
std::optional<Kind> read_kind(const Json& j, const Names& names) {
  auto rig = name(j, "rig"), yard = name(j, "yard");
  auto spot = j.find("loaners");
  if (!rig || !yard || spot == j.end() || !spot->is_boolean()) return std::nullopt;
  return Kind{names.types.find(*rig), names.zones.find(*yard), spot->get<bool>()};
}

const Json* list(const Json& j, const char* key, std::size_t most) {
  auto it = j.find(key);
  return it != j.end() && it->is_array() && it->size() <= most ? &*it : nullptr;
}

bool read_quotes(const Json& body, const Names& names, Answer& out) {
  const Json* quotes = list(body, "quotes", most_quotes);
  if (quotes == nullptr) return false;
  for (const Json& q : *quotes) {
    if (!q.is_object()) return false;
    market::QuoteNews n;
    auto id = name(q, "quote");
    auto kind = read_kind(q, names);
    auto machines = count(q, "count", 100'000);
    auto rate = amount(q, "rate", market::most_rate);
    auto valid = amount(q, "valid_ms", longest_s * 1000), deliver = amount(q, "deliver_s", longest_s);
    if (!id || !kind || !machines || !rate || *rate <= 0 || !valid || !deliver) {
      ++out.absurd;
      continue;
    }
    if (!kind->type.valid() || !kind->zone.valid() || *machines == 0) continue;
    out.quotes.push_back({*id, *kind, static_cast<std::uint32_t>(*machines), *rate, *valid / 1000, *deliver});
  }
  return true;
}

bool read_bid(const Json& body, const std::string& bid, const Names& names, Answer& out) {
  static constexpr std::pair<const char*, MarketPhase> phases[] = {
      {"open", MarketPhase::open}, {"raised", MarketPhase::raised},       {"won", MarketPhase::won},
      {"lost", MarketPhase::lost}, {"withdrawn", MarketPhase::withdrawn}, {"closed", MarketPhase::closed}};
  auto of = name(body, "bid"), phase = name(body, "phase");
  auto charged = amount(body, "charged", most_amount);
  if (!of || *of != bid || !phase || !charged) return false;
  market::BidNews n;
  const auto* known =
      std::find_if(std::begin(phases), std::end(phases), [&](const auto& p) { return *phase == p.first; });
  if (known == std::end(phases)) return false;
  n.phase = known->second;
  n.charged = market::to_money(*charged);
  auto has = [&body](const char* key) { return body.contains(key) && !body[key].is_null(); };
  if (has("rate")) {
    auto rate = amount(body, "rate", market::most_rate);
    if (!rate) return false;
    n.rate = market::to_money(*rate);
  }
  if (n.phase == MarketPhase::raised) {
    auto raise = amount(body, "raise", market::most_rate);
    auto round = count(body, "round", ~0ULL);
    if (!raise || !round || *raise <= 0) return false;
    n.raise = market::to_money(*raise);
    n.round = *round;
  }
  if (has("expects")) {
    auto expects = count(body, "expects", 100'000);
    if (!expects) return false;
    n.expects = static_cast<std::uint32_t>(*expects);
  }
  if (has("hosts")) {
    const Json* hosts = list(body, "hosts", most_hosts);
    if (hosts == nullptr) return false;
    for (const Json& h : *hosts) {
      if (!h.is_object()) return false;
      auto host = name(h, "host"), address = name(h, "address");
      auto kind = read_kind(h, names);
      if (!host || !address || !kind) return false;
      n.hosts.push_back({*host, *address, *kind});
    }
  }
  out.bid = std::move(n);
  return true;
}

bool read_charges(const Json& body, Answer& out) {
  const Json* charges = list(body, "charges", most_charges);
  if (charges == nullptr) return false;
  for (const Json& c : *charges) {
    if (!c.is_object()) return false;
    auto no = count(c, "no", ~0ULL);
    auto bid = name(c, "bid");
    auto sum = amount(c, "amount", most_amount);
    if (!no || !bid || !sum) return false;
    out.charges.push_back({*no, *bid, market::to_money(*sum)});
  }
  return true;
}

bool read_returned(const Json& body, Answer& out) {
  const Json* hosts = list(body, "returned", most_hosts);
  if (hosts == nullptr) return false;
  for (const Json& h : *hosts) {
    if (!h.is_string()) return false;
    out.returned.push_back(h.get<std::string>());
  }
  return true;
}
}  // namespace

MarketRequest write_market_call(const market::Call& c, const Names& names) {
  switch (c.kind) {
    case CallKind::quotes: {
      Json wants = Json::array();
      for (const Kind& k : c.kinds) wants.push_back(kind_json(k, names));
      return {true, "/quotes", {{"wants", wants}}};
    }
    case CallKind::bid: {
      Json body = kind_json(c.kinds.at(0), names);
      body["bid"] = c.bid;
      body["quote"] = c.quote;
      body["count"] = c.count;
      body["limit"] = market::to_amount(c.limit);
      body["term_s"] = c.term_s;
      body["deliver_s"] = c.deliver_s;
      return {true, "/bids", std::move(body)};
    }
    case CallKind::status:
      return {false, "/bids/" + c.bid, nullptr};
    case CallKind::confirm:
      return {true, "/bids/" + c.bid + "/confirm", {{"round", c.round}, {"rate", market::to_amount(c.rate)}}};
    case CallKind::withdraw:
      return {true, "/bids/" + c.bid + "/withdraw", Json::object()};
    case CallKind::give_back:
      return {true, "/returns", {{"hosts", c.hosts}}};
    case CallKind::charges:
      return {false, "/charges?from=" + std::to_string(c.from), nullptr};
  }
  return {};
}

Answer read_market_answer(const market::Call& c, int status, const std::string& body, double retry_after_s,
                          const Names& names) {
  Answer a;
  a.retry_after_s = retry_after_s;
  switch (status) {
    case 0:
      a.kind = AnswerKind::none;
      return a;
    case 429:
    case 503:
      a.kind = AnswerKind::pause;
      return a;
    case 404:
      a.kind = AnswerKind::unknown_name;
      return a;
    case 400:
    case 409:
    case 410:
    case 422:
      a.kind = AnswerKind::refused;
      return a;
    case 200:
      break;
    default:
      a.kind = AnswerKind::garbage;
      return a;
  }
  a.kind = AnswerKind::garbage;
  if (body.size() > most_market_body) return a;
  Json j = Json::from_cbor(body, true, false);
  if (!j.is_object()) return a;
  bool good = false;
  switch (c.kind) {
    case CallKind::quotes:
      good = read_quotes(j, names, a);
      break;
    case CallKind::give_back:
      good = read_returned(j, a);
      break;
    case CallKind::charges:
      good = read_charges(j, a);
      break;
    default:
      good = read_bid(j, c.bid, names, a);
      break;
  }
  if (good) {
    a.kind = AnswerKind::ok;
  } else {
    a = Answer{};
    a.kind = AnswerKind::garbage;
  }
  return a;
}

}  // namespace oxbowmill::wire
