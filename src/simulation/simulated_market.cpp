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

SimulatedMarket::SimulatedMarket(MarketBehavior behavior, std::uint64_t seed, std::vector<std::string> types,
                                 std::vector<std::string> zones)
    : behavior_(std::move(behavior)), random_(seed), types_(std::move(types)), zones_(std::move(zones)) {}

std::uint32_t SimulatedMarket::machines_in_use() const {
  std::uint32_t count = 0;
  for (const auto& [name, host] : hosts_) count += host.charged_until < 0 ? 1 : 0;
  for (const auto& [name, bid] : bids_)
    count += bid.phase == "open" || bid.phase == "raised" || bid.phase == "won" ? bid.expected_count : 0;
  return count;
}

MarketReply SimulatedMarket::handle(const std::string& method, const std::string& path,
                                    const std::string& body, double now) {
  bool faulty = faults_active(now);
  if (faulty && happens(behavior_.lost_request_chance)) return {0, "", 0};
  if (faulty && happens(behavior_.throttle_chance)) return {happens(0.5) ? 429 : 503, "", 2};
  tick(now);
  MarketReply reply = route(method, path, body, now);
  if (faulty && happens(behavior_.stall_chance)) return {0, "", 0};
  if (faulty && reply.status == 200 && happens(behavior_.garbled_response_chance)) {
    reply.body = happens(0.5) ? reply.body.substr(0, reply.body.size() / 2) : "\xbf\x61";
  }
  return reply;
}

MarketReply SimulatedMarket::route(const std::string& method, const std::string& path,
                                   const std::string& body, double now) {
  static const std::string bids = "/bids/";
  auto decoded =
      body.empty() ? wire::DecodedMap(Json::object()) : wire::decode_map(body, wire::large_body_rules);
  if (!decoded) return {400, "", 0};
  const Json& request = *decoded;
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
    return ok(bid_json(name, now));
  }
  auto known = bids_.find(name);
  if (known == bids_.end()) return {404, "", 0};
  if (verb == "confirm") return confirm(name, known->second, request, now);
  if (verb.empty() && method == "GET") return ok(bid_json(name, now));
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
    bid.delivery_times.clear();
  }
  close_if_finished(bid);
}

MarketReply SimulatedMarket::confirm(const std::string& name, Bid& bid, const Json& request, double now) {
  constexpr double rate_tolerance = 1e-4;
  if (bid.phase == "raised" && request.value("round", 0ULL) == bid.round &&
      std::abs(request.value("rate", 0.0) - bid.raised_price) < rate_tolerance) {
    accept(bid, bid.raised_price, now);
    return ok(bid_json(name, now));
  }
  if (bid.phase == "raised" || bid.phase == "open") return {409, "", 0};
  return ok(bid_json(name, now));
}

Json SimulatedMarket::return_hosts(const Json& request, double now) {
  Json returned = Json::array();
  for (const Json& name : request.value("hosts", Json::array())) {
    auto it = name.is_string() ? hosts_.find(name.get<std::string>()) : hosts_.end();
    returned.push_back(name);
    if (it == hosts_.end() || it->second.returned) continue;
    Host& host = it->second;
    host.returned = true;
    if (host.charged_until < 0) host.charged_until = now;
    host.alive = behavior_.runs_after_return && faults_active(now);
    close_if_finished(bids_[host.bid]);
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
  std::uint32_t free = behavior_.capacity > machines_in_use() ? behavior_.capacity - machines_in_use() : 0;
  if (free == 0) return {{"quotes", out}};
  for (const Json& wanted : body.value("wants", Json::array())) {
    if (!wanted.is_object() || wanted.value("loaners", false)) continue;
    double price = behavior_.price * std::uniform_real_distribution<>(0.97, 1.03)(random_);
    if (faults_active(now) && happens(behavior_.absurd_response_chance)) {
      const double absurd[] = {-price, std::numeric_limits<double>::quiet_NaN(), 1e300, 0};
      price = absurd[random_() % 4];
    }
    out.push_back({{"quote", behavior_.name + "-q" + std::to_string(++last_quote_number_)},
                   {"rig", wanted.value("rig", "")},
                   {"yard", wanted.value("yard", "")},
                   {"loaners", false},
                   {"count", free},
                   {"rate", price},
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
    return {200, wire::encode(bid_json(name, now)), 0};
  }
  Bid bid;
  bid.request = body;
  bid.price_limit = body.value("limit", 0.0);
  bid.duration_s = body.value("term_s", 0.0);
  bid.count = bid.expected_count = body.value("count", 0U);
  bid.decides_at = now + behavior_.auction_s;
  std::uint32_t in_use = machines_in_use();
  if (name.empty() || bid.count == 0) return {400, "", 0};
  if (bid.price_limit < behavior_.price * 0.97 || in_use + bid.count > behavior_.capacity)
    bid.phase = "lost", bid.expected_count = 0;
  bids_[name] = std::move(bid);
  tick(now);
  return {200, wire::encode(bid_json(name, now)), 0};
}

void SimulatedMarket::decide(Bid& bid, double now) {
  double price =
      std::min(bid.price_limit, behavior_.price * std::uniform_real_distribution<>(0.97, 1.03)(random_));
  if (faults_active(now) && bid.round < 2 && happens(behavior_.raise_chance)) {
    bid.phase = "raised";
    ++bid.round;
    bid.raised_price = (bid.raised_price > 0 ? bid.raised_price : price) * behavior_.raise_factor;
    return;
  }
  accept(bid, price, now);
}

void SimulatedMarket::accept(Bid& bid, double price, double now) {
  bid.phase = "won";
  bid.price = price;
  bool faulty = faults_active(now);
  if (faulty && happens(behavior_.never_delivers_chance)) return;
  auto count = static_cast<std::uint32_t>(std::ceil(bid.count * (faulty ? behavior_.delivered_fraction : 1)));
  double delivery_s =
      behavior_.delivery_s * (faulty && happens(behavior_.late_chance) ? behavior_.late_factor : 1);
  for (std::uint32_t i = 0; i < count; ++i)
    bid.delivery_times.push_back(
        now + delivery_s * std::exp(std::normal_distribution<>(0, behavior_.delivery_spread)(random_)));
  std::sort(bid.delivery_times.begin(), bid.delivery_times.end(), std::greater<>());
  bid.delivers_wrong_machines = faulty && happens(behavior_.wrong_delivery_chance);
  bid.delivers_twice = faulty && happens(behavior_.double_delivery_chance);
  bid.overcharge_factor = faulty ? behavior_.overcharge_factor : 1;
}

void SimulatedMarket::deliver(const std::string& name, Bid& bid, double now) {
  bid.delivery_times.pop_back();
  if (bid.delivers_twice) {
    // Delivers a machine that already belongs to another bid.
    for (const auto& [host_name, host] : hosts_) {
      if (host.bid == name || !host.alive) continue;
      bid.hosts.insert(host_name);
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

void SimulatedMarket::close_if_finished(Bid& bid) {
  if (bid.phase != "won" || bid.expected_count > 0 || bid.hosts.empty()) {
    if (bid.phase == "won" && bid.expected_count == 0) bid.phase = "withdrawn";
    return;
  }
  for (const std::string& host : bid.hosts) {
    if (hosts_.at(host).charged_until < 0) return;
  }
  bid.phase = "closed";
}

void SimulatedMarket::tick(double now) {
  for (auto& [name, bid] : bids_) {
    if (bid.phase == "open" && now >= bid.decides_at) decide(bid, now);
    while (bid.phase == "won" && !bid.delivery_times.empty() && bid.delivery_times.back() <= now)
      deliver(name, bid, now);
  }
  for (auto& [host, host_state] : hosts_) {
    double duration_s = bids_[host_state.bid].duration_s;
    if (host_state.charged_until < 0 && now - host_state.charged_since >= duration_s) {
      host_state.charged_until = host_state.charged_since + duration_s;
      host_state.alive = false;
      close_if_finished(bids_[host_state.bid]);
    }
  }
}

double SimulatedMarket::charge(const Bid& bid, double now) const {
  double sum = 0;
  for (const std::string& name : bid.hosts) {
    const Host& host = hosts_.at(name);
    sum += bid.price * ((host.charged_until < 0 ? now : host.charged_until) - host.charged_since) / 3600 *
           bid.overcharge_factor;
  }
  return sum;
}

double SimulatedMarket::charged(double now) const {
  double sum = 0;
  for (const auto& [name, bid] : bids_) sum += charge(bid, now);
  return sum;
}

Json SimulatedMarket::bid_json(const std::string& name, double now) {
  const Bid& bid = bids_.at(name);
  Json hosts = Json::array();
  for (const std::string& host_name : bid.hosts) {
    const Host& host = hosts_.at(host_name);
    if (host.charged_until >= 0) continue;
    hosts.push_back({{"host", host_name},
                     {"address", "127.0.0.1:1"},
                     {"rig", host.type},
                     {"yard", host.zone},
                     {"loaners", false}});
  }
  Json json = {{"bid", name},
               {"phase", bid.phase},
               {"expects", bid.expected_count},
               {"hosts", hosts},
               {"charged", charge(bid, now)}};
  if (bid.price > 0) json["rate"] = bid.price;
  if (bid.phase == "raised") json["round"] = bid.round, json["raise"] = bid.raised_price;
  return json;
}

}  // namespace oxbowmill::simulation
