#include "oxbowmill/lab/market.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace oxbowmill::lab {

using wire::Json;

Market::Market(Character c, std::uint64_t seed, std::vector<std::string> types,
               std::vector<std::string> zones)
    : c_(std::move(c)), random_(seed), types_(std::move(types)), zones_(std::move(zones)) {}

std::uint32_t Market::busy() const {
  std::uint32_t n = 0;
  for (const auto& [name, h] : hosts_) n += h.until < 0 ? 1 : 0;
  for (const auto& [name, b] : bids_)
    n += b.phase == "open" || b.phase == "raised" || b.phase == "won" ? b.expects : 0;
  return n;
}

MarketReply Market::handle(const std::string& method, const std::string& path, const std::string& body,
                           double now) {
  bool bad_now = bad(now);
  if (bad_now && chance(c_.deaf)) return {0, "", 0};
  if (bad_now && chance(c_.throttle)) return {chance(0.5) ? 429 : 503, "", 2};
  tick(now);
  Json in = body.empty() ? Json::object() : Json::from_cbor(body, true, false);
  MarketReply r{404, "", 0};
  auto say = [&r](const Json& j) { r = {200, wire::encode(j), 0}; };
  const std::string bids = "/bids/";
  if (!in.is_object()) {
    r.status = 400;
  } else if (path == "/quotes") {
    say(quotes(in, now));
  } else if (path == "/bids") {
    r = bid(in, now);
  } else if (path.rfind(bids, 0) == 0) {
    std::string name = path.substr(bids.size());
    std::size_t slash = name.find('/');
    std::string verb = slash == std::string::npos ? "" : name.substr(slash + 1);
    name = name.substr(0, slash);
    auto it = bids_.find(name);
    if (verb == "withdraw") {
      // Uses the name up, also of a bid that has not come yet.
      Bid& b = bids_[name];
      if (it == bids_.end() || b.phase == "open" || b.phase == "raised") {
        b.phase = "withdrawn";
        b.expects = 0;
      }
      if (b.phase == "won") b.expects = 0, b.deliveries.clear();
      maybe_close(b);
      say(state_of(name, now));
    } else if (it == bids_.end()) {
      r.status = 404;
    } else if (verb == "confirm") {
      Bid& b = it->second;
      if (b.phase == "raised" && in.value("round", 0ULL) == b.round &&
          std::abs(in.value("rate", 0.0) - b.raise) < 1e-4) {
        accept(b, b.raise, now);
        say(state_of(name, now));
      } else if (b.phase == "raised" || b.phase == "open") {
        r.status = 409;
      } else {
        say(state_of(name, now));
      }
    } else if (verb.empty() && method == "GET") {
      say(state_of(name, now));
    }
  } else if (path == "/returns") {
    Json back = Json::array();
    for (const Json& h : in.value("hosts", Json::array())) {
      auto it = h.is_string() ? hosts_.find(h.get<std::string>()) : hosts_.end();
      back.push_back(h);
      if (it == hosts_.end() || it->second.returned) continue;
      Host& host = it->second;
      host.returned = true;
      if (host.until < 0) host.until = now;
      host.alive = c_.keeps_running && bad_now;
      maybe_close(bids_[host.bid]);
    }
    say({{"returned", back}});
  } else if (path.rfind("/charges", 0) == 0) {
    std::uint64_t no = 0;
    Json list = Json::array();
    for (const auto& [name, b] : bids_) {
      if (!b.hosts.empty()) list.push_back({{"no", ++no}, {"bid", name}, {"amount", charge(b, now)}});
    }
    say({{"charges", list}});
  }
  if (bad_now && chance(c_.stall)) return {0, "", 0};
  if (bad_now && r.status == 200 && chance(c_.garble)) {
    r.body = chance(0.5) ? r.body.substr(0, r.body.size() / 2) : "\xbf\x61";
  }
  return r;
}

market::Answer Market::ask(const market::Call& c, const Names& names, double now) {
  wire::MarketRequest r = wire::write_market_call(c, names);
  MarketReply reply =
      handle(r.post ? "POST" : "GET", r.path, r.body.is_null() ? "" : wire::encode(r.body), now);
  return wire::read_market_answer(c, reply.status, reply.body, reply.retry_after_s, names);
}

Json Market::quotes(const Json& body, double now) {
  Json out = Json::array();
  std::uint32_t free = c_.capacity > busy() ? c_.capacity - busy() : 0;
  if (free == 0) return {{"quotes", out}};
  for (const Json& w : body.value("wants", Json::array())) {
    if (!w.is_object() || w.value("loaners", false)) continue;
    double rate = c_.price * std::uniform_real_distribution<>(0.97, 1.03)(random_);
    if (bad(now) && chance(c_.absurd)) {
      const double absurd[] = {-rate, std::numeric_limits<double>::quiet_NaN(), 1e300, 0};
      rate = absurd[random_() % 4];
    }
    out.push_back({{"quote", c_.name + "-q" + std::to_string(++quoted_)},
                   {"rig", w.value("rig", "")},
                   {"yard", w.value("yard", "")},
                   {"loaners", false},
                   {"count", free},
                   {"rate", rate},
                   {"valid_ms", c_.valid_s * 1000},
                   {"deliver_s", c_.delivery_s}});
  }
  return {{"quotes", out}};
}

MarketReply Market::bid(const Json& body, double now) {
  std::string name = body.value("bid", "");
  auto known = bids_.find(name);
  if (known != bids_.end()) {
    if (!known->second.asked.is_null() && known->second.asked != body) ++renamed;
    return {200, wire::encode(state_of(name, now)), 0};
  }
  Bid b;
  b.asked = body;
  b.limit = body.value("limit", 0.0);
  b.term_s = body.value("term_s", 0.0);
  b.count = b.expects = body.value("count", 0U);
  b.decides_at = now + c_.auction_s;
  std::uint32_t in_use = busy();
  if (name.empty() || b.count == 0) return {400, "", 0};
  if (b.limit < c_.price * 0.97 || in_use + b.count > c_.capacity) b.phase = "lost", b.expects = 0;
  bids_[name] = std::move(b);
  tick(now);
  return {200, wire::encode(state_of(name, now)), 0};
}

void Market::decide(Bid& b, double now) {
  double rate = std::min(b.limit, c_.price * std::uniform_real_distribution<>(0.97, 1.03)(random_));
  if (bad(now) && b.round < 2 && chance(c_.raise_chance)) {
    b.phase = "raised";
    ++b.round;
    b.raise = (b.raise > 0 ? b.raise : rate) * c_.raise_by;
    return;
  }
  accept(b, rate, now);
}

void Market::accept(Bid& b, double rate, double now) {
  b.phase = "won";
  b.rate = rate;
  bool bad_now = bad(now);
  if (bad_now && chance(c_.never)) return;
  auto n = static_cast<std::uint32_t>(std::ceil(b.count * (bad_now ? c_.short_share : 1)));
  double wait = c_.delivery_s * (bad_now && chance(c_.late) ? c_.late_by : 1);
  for (std::uint32_t i = 0; i < n; ++i)
    b.deliveries.push_back(now + wait * std::exp(std::normal_distribution<>(0, c_.delivery_spread)(random_)));
  std::sort(b.deliveries.begin(), b.deliveries.end(), std::greater<>());
  b.wrong = bad_now && chance(c_.wrong);
  b.twice = bad_now && chance(c_.twice);
  b.factor = bad_now ? c_.overcharge : 1;
}

void Market::deliver(const std::string& name, Bid& b, double now) {
  b.deliveries.pop_back();
  if (b.twice) {
    // Another bid's machine, sold again.
    for (const auto& [host, h] : hosts_) {
      if (h.bid == name || !h.alive) continue;
      b.hosts.insert(host);
      if (b.expects > 0) --b.expects;
      return;
    }
  }
  Host h{c_.name + ".m" + std::to_string(++named_), name, b.asked.value("rig", ""), b.asked.value("yard", ""),
         now};
  if (b.wrong) {
    if (zones_.size() > 1)
      h.zone = zones_[(std::find(zones_.begin(), zones_.end(), h.zone) - zones_.begin() + 1) % zones_.size()];
    else
      h.type = "other";
  }
  b.hosts.insert(h.name);
  if (b.expects > 0) --b.expects;
  hosts_[h.name] = std::move(h);
}

void Market::maybe_close(Bid& b) {
  if (b.phase != "won" || b.expects > 0 || b.hosts.empty()) {
    if (b.phase == "won" && b.expects == 0) b.phase = "withdrawn";
    return;
  }
  for (const std::string& h : b.hosts) {
    if (hosts_.at(h).until < 0) return;
  }
  b.phase = "closed";
}

void Market::tick(double now) {
  for (auto& [name, b] : bids_) {
    if (b.phase == "open" && now >= b.decides_at) decide(b, now);
    while (b.phase == "won" && !b.deliveries.empty() && b.deliveries.back() <= now) deliver(name, b, now);
  }
  for (auto& [host, h] : hosts_) {
    double term = bids_[h.bid].term_s;
    if (h.until < 0 && now - h.since >= term) {
      h.until = h.since + term;
      h.alive = false;
      maybe_close(bids_[h.bid]);
    }
  }
}

double Market::charge(const Bid& b, double now) const {
  double sum = 0;
  for (const std::string& name : b.hosts) {
    const Host& h = hosts_.at(name);
    sum += b.rate * ((h.until < 0 ? now : h.until) - h.since) / 3600 * b.factor;
  }
  return sum;
}

double Market::charged(double now) const {
  double sum = 0;
  for (const auto& [name, b] : bids_) sum += charge(b, now);
  return sum;
}

Json Market::state_of(const std::string& name, double now) {
  const Bid& b = bids_.at(name);
  Json hosts = Json::array();
  for (const std::string& host : b.hosts) {
    const Host& h = hosts_.at(host);
    if (h.until >= 0) continue;
    hosts.push_back(
        {{"host", host}, {"address", "127.0.0.1:1"}, {"rig", h.type}, {"yard", h.zone}, {"loaners", false}});
  }
  Json j = {{"bid", name},
            {"phase", b.phase},
            {"expects", b.expects},
            {"hosts", hosts},
            {"charged", charge(b, now)}};
  if (b.rate > 0) j["rate"] = b.rate;
  if (b.phase == "raised") j["round"] = b.round, j["raise"] = b.raise;
  return j;
}

}  // namespace oxbowmill::lab
