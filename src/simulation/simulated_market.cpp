#include "oxbowmill/simulation/simulated_market.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace oxbowmill::simulation {

using wire::Json;

namespace {
MarketReply ok(const Json& body) {
  return {200, wire::encode(body), 0};
}
}  // namespace

SimulatedMarket::SimulatedMarket(MarketBehavior profile, std::uint64_t seed, std::vector<std::string> types,
                                 std::vector<std::string> zones)
    : behavior_(std::move(profile)), random_(seed), types_(std::move(types)), zones_(std::move(zones)) {}

std::uint32_t SimulatedMarket::busy() const {
  std::uint32_t n = 0;
  for (const auto& [name, h] : hosts_) n += h.until < 0 ? 1 : 0;
  for (const auto& [name, b] : bids_)
    n += b.phase == "open" || b.phase == "raised" || b.phase == "won" ? b.expected_count : 0;
  return n;
}

MarketReply SimulatedMarket::handle(const std::string& method, const std::string& path,
                                    const std::string& body, double now) {
  bool faulty = faults_active(now);
  if (faulty && chance(behavior_.lost_request_chance)) return {0, "", 0};
  if (faulty && chance(behavior_.throttle_chance)) return {chance(0.5) ? 429 : 503, "", 2};
  tick(now);
  MarketReply reply = route(method, path, body, now);
  if (faulty && chance(behavior_.stall_chance)) return {0, "", 0};
  if (faulty && reply.status == 200 && chance(behavior_.garbled_response_chance)) {
    reply.body = chance(0.5) ? reply.body.substr(0, reply.body.size() / 2) : "\xbf\x61";
  }
  return reply;
}

MarketReply SimulatedMarket::route(const std::string& method, const std::string& path,
                                   const std::string& body, double now) {
  static const std::string bids = "/bids/";
  Json request = body.empty() ? Json::object() : Json::from_cbor(body, true, false);
  if (!request.is_object()) return {400, "", 0};
  if (path == "/quotes") return ok(quotes(request, now));
  if (path == "/bids") return bid(request, now);
  if (path.rfind(bids, 0) == 0) return handle_bid(method, path.substr(bids.size()), request, now);
  if (path == "/returns") return ok(return_hosts(request, now));
  if (path.rfind("/charges", 0) == 0) return ok(charges(now));
  return {404, "", 0};
}

MarketReply SimulatedMarket::handle_bid(const std::string& method, const std::string& name_and_verb,
                                        const Json& request, double now) {
  std::size_t slash = name_and_verb.find('/');
  std::string verb = slash == std::string::npos ? "" : name_and_verb.substr(slash + 1);
  std::string name = name_and_verb.substr(0, slash);
  if (verb == "withdraw") {
    withdraw(name);
    return ok(state_of(name, now));
  }
  auto known = bids_.find(name);
  if (known == bids_.end()) return {404, "", 0};
  if (verb == "confirm") return confirm(name, known->second, request, now);
  if (verb.empty() && method == "GET") return ok(state_of(name, now));
  return {404, "", 0};
}

void SimulatedMarket::withdraw(const std::string& name) {
  // The bid is kept, so that its name cannot be used again even if the withdrawal arrives before the bid.
  bool is_new = bids_.find(name) == bids_.end();
  Bid& bid = bids_[name];
  if (is_new || bid.phase == "open" || bid.phase == "raised") {
    bid.phase = "withdrawn";
    bid.expected_count = 0;
  }
  if (bid.phase == "won") {
    bid.expected_count = 0;
    bid.deliveries.clear();
  }
  maybe_close(bid);
}

MarketReply SimulatedMarket::confirm(const std::string& name, Bid& bid, const Json& request, double now) {
  constexpr double rate_tolerance = 1e-4;
  if (bid.phase == "raised" && request.value("round", 0ULL) == bid.round &&
      std::abs(request.value("rate", 0.0) - bid.raise) < rate_tolerance) {
    accept(bid, bid.raise, now);
    return ok(state_of(name, now));
  }
  if (bid.phase == "raised" || bid.phase == "open") return {409, "", 0};
  return ok(state_of(name, now));
}

Json SimulatedMarket::return_hosts(const Json& request, double now) {
  Json returned = Json::array();
  for (const Json& name : request.value("hosts", Json::array())) {
    auto it = name.is_string() ? hosts_.find(name.get<std::string>()) : hosts_.end();
    returned.push_back(name);
    if (it == hosts_.end() || it->second.returned) continue;
    Host& host = it->second;
    host.returned = true;
    if (host.until < 0) host.until = now;
    host.alive = behavior_.runs_after_return && faults_active(now);
    maybe_close(bids_[host.bid]);
  }
  return {{"returned", returned}};
}

Json SimulatedMarket::charges(double now) const {
  std::uint64_t number = 0;
  Json list = Json::array();
  for (const auto& [name, bid] : bids_) {
    if (!bid.hosts.empty()) list.push_back({{"no", ++number}, {"bid", name}, {"amount", charge(bid, now)}});
  }
  return {{"charges", list}};
}

market::Answer SimulatedMarket::call(const market::Call& call, const Names& names, double now) {
  wire::MarketRequest r = wire::write_market_call(call, names);
  MarketReply reply =
      handle(r.is_post ? "POST" : "GET", r.path, r.body.is_null() ? "" : wire::encode(r.body), now);
  return wire::read_market_answer(call, reply.status, reply.body, reply.retry_after_s, names);
}

Json SimulatedMarket::quotes(const Json& body, double now) {
  Json out = Json::array();
  std::uint32_t free = behavior_.capacity > busy() ? behavior_.capacity - busy() : 0;
  if (free == 0) return {{"quotes", out}};
  for (const Json& wanted : body.value("wants", Json::array())) {
    if (!wanted.is_object() || wanted.value("loaners", false)) continue;
    double rate = behavior_.price * std::uniform_real_distribution<>(0.97, 1.03)(random_);
    if (faults_active(now) && chance(behavior_.absurd_response_chance)) {
      const double absurd[] = {-rate, std::numeric_limits<double>::quiet_NaN(), 1e300, 0};
      rate = absurd[random_() % 4];
    }
    out.push_back({{"quote", behavior_.name + "-q" + std::to_string(++last_quote_number_)},
                   {"rig", wanted.value("rig", "")},
                   {"yard", wanted.value("yard", "")},
                   {"loaners", false},
                   {"count", free},
                   {"rate", rate},
                   {"valid_ms", behavior_.valid_s * 1000},
                   {"deliver_s", behavior_.delivery_s}});
  }
  return {{"quotes", out}};
}

MarketReply SimulatedMarket::bid(const Json& body, double now) {
  std::string name = body.value("bid", "");
  auto known = bids_.find(name);
  if (known != bids_.end()) {
    if (!known->second.request.is_null() && known->second.request != body) ++reused_bid_names;
    return {200, wire::encode(state_of(name, now)), 0};
  }
  Bid bid;
  bid.request = body;
  bid.limit = body.value("limit", 0.0);
  bid.duration_s = body.value("term_s", 0.0);
  bid.count = bid.expected_count = body.value("count", 0U);
  bid.decides_at = now + behavior_.auction_s;
  std::uint32_t in_use = busy();
  if (name.empty() || bid.count == 0) return {400, "", 0};
  if (bid.limit < behavior_.price * 0.97 || in_use + bid.count > behavior_.capacity)
    bid.phase = "lost", bid.expected_count = 0;
  bids_[name] = std::move(bid);
  tick(now);
  return {200, wire::encode(state_of(name, now)), 0};
}

void SimulatedMarket::decide(Bid& bid, double now) {
  double rate = std::min(bid.limit, behavior_.price * std::uniform_real_distribution<>(0.97, 1.03)(random_));
  if (faults_active(now) && bid.round < 2 && chance(behavior_.raise_chance)) {
    bid.phase = "raised";
    ++bid.round;
    bid.raise = (bid.raise > 0 ? bid.raise : rate) * behavior_.raise_factor;
    return;
  }
  accept(bid, rate, now);
}

void SimulatedMarket::accept(Bid& bid, double rate, double now) {
  bid.phase = "won";
  bid.rate = rate;
  bool bad_now = faults_active(now);
  if (bad_now && chance(behavior_.never_delivers_chance)) return;
  auto n = static_cast<std::uint32_t>(std::ceil(bid.count * (bad_now ? behavior_.delivered_fraction : 1)));
  double wait = behavior_.delivery_s * (bad_now && chance(behavior_.late_chance) ? behavior_.late_factor : 1);
  for (std::uint32_t i = 0; i < n; ++i)
    bid.deliveries.push_back(
        now + wait * std::exp(std::normal_distribution<>(0, behavior_.delivery_spread)(random_)));
  std::sort(bid.deliveries.begin(), bid.deliveries.end(), std::greater<>());
  bid.delivers_wrong_machines = bad_now && chance(behavior_.wrong_delivery_chance);
  bid.delivers_twice = bad_now && chance(behavior_.double_delivery_chance);
  bid.overcharge_factor = bad_now ? behavior_.overcharge_factor : 1;
}

void SimulatedMarket::deliver(const std::string& name, Bid& bid, double now) {
  bid.deliveries.pop_back();
  if (bid.delivers_twice) {
    // Delivers a machine that already belongs to another bid.
    for (const auto& [host, h] : hosts_) {
      if (h.bid == name || !h.alive) continue;
      bid.hosts.insert(host);
      if (bid.expected_count > 0) --bid.expected_count;
      return;
    }
  }
  Host new_host{behavior_.name + ".m" + std::to_string(++last_host_number_), name,
                bid.request.value("rig", ""), bid.request.value("yard", ""), now};
  if (bid.delivers_wrong_machines) {
    if (zones_.size() > 1)
      new_host.zone = zones_[(std::find(zones_.begin(), zones_.end(), new_host.zone) - zones_.begin() + 1) %
                             zones_.size()];
    else
      new_host.type = "other";
  }
  bid.hosts.insert(new_host.name);
  if (bid.expected_count > 0) --bid.expected_count;
  hosts_[new_host.name] = std::move(new_host);
}

void SimulatedMarket::maybe_close(Bid& bid) {
  if (bid.phase != "won" || bid.expected_count > 0 || bid.hosts.empty()) {
    if (bid.phase == "won" && bid.expected_count == 0) bid.phase = "withdrawn";
    return;
  }
  for (const std::string& h : bid.hosts) {
    if (hosts_.at(h).until < 0) return;
  }
  bid.phase = "closed";
}

void SimulatedMarket::tick(double now) {
  for (auto& [name, b] : bids_) {
    if (b.phase == "open" && now >= b.decides_at) decide(b, now);
    while (b.phase == "won" && !b.deliveries.empty() && b.deliveries.back() <= now) deliver(name, b, now);
  }
  for (auto& [host, host_state] : hosts_) {
    double duration_s = bids_[host_state.bid].duration_s;
    if (host_state.until < 0 && now - host_state.since >= duration_s) {
      host_state.until = host_state.since + duration_s;
      host_state.alive = false;
      maybe_close(bids_[host_state.bid]);
    }
  }
}

double SimulatedMarket::charge(const Bid& bid, double now) const {
  double sum = 0;
  for (const std::string& name : bid.hosts) {
    const Host& h = hosts_.at(name);
    sum += bid.rate * ((h.until < 0 ? now : h.until) - h.since) / 3600 * bid.overcharge_factor;
  }
  return sum;
}

double SimulatedMarket::charged(double now) const {
  double sum = 0;
  for (const auto& [name, b] : bids_) sum += charge(b, now);
  return sum;
}

Json SimulatedMarket::state_of(const std::string& name, double now) {
  const Bid& bid = bids_.at(name);
  Json hosts = Json::array();
  for (const std::string& host : bid.hosts) {
    const Host& h = hosts_.at(host);
    if (h.until >= 0) continue;
    hosts.push_back(
        {{"host", host}, {"address", "127.0.0.1:1"}, {"rig", h.type}, {"yard", h.zone}, {"loaners", false}});
  }
  Json json = {{"bid", name},
               {"phase", bid.phase},
               {"expects", bid.expected_count},
               {"hosts", hosts},
               {"charged", charge(bid, now)}};
  if (bid.rate > 0) json["rate"] = bid.rate;
  if (bid.phase == "raised") json["round"] = bid.round, json["raise"] = bid.raise;
  return json;
}

}  // namespace oxbowmill::simulation
