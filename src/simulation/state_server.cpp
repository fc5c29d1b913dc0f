#include "oxbowmill/simulation/state_server.h"

#include <event2/keyvalq_struct.h>

#include <algorithm>

#include "oxbowmill/wire/codec.h"

namespace oxbowmill::simulation {

namespace {

constexpr std::size_t max_log_entries = 10000;
constexpr std::size_t max_items = 1000, max_list_bytes = 512 * std::size_t{1024};
constexpr double tick_s = 0.02;
constexpr std::size_t max_body_bytes = 16 * std::size_t{65536};

/// Decoded parameters of a query string.
class Query {
 public:
  explicit Query(const std::string& text) { evhttp_parse_query_str(text.c_str(), &values_); }
  Query(const Query&) = delete;
  Query& operator=(const Query&) = delete;
  ~Query() { evhttp_clear_headers(&values_); }
  std::string text(const char* name) const {
    const char* value = evhttp_find_header(&values_, name);
    return value == nullptr ? "" : value;
  }
  std::uint64_t number(const char* name, std::uint64_t default_value) const {
    std::string value = text(name);
    return value.empty() ? default_value : std::strtoull(value.c_str(), nullptr, 10);
  }

 private:
  evkeyvalq values_{};
};

bool has_prefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

StateServer::StateServer(event_base* base, const net::Address& bind, const StateLimits& limits,
                         std::function<double()> now)
    : now_(std::move(now)),
      request_limiter_(limits.rps, limits.rps),
      change_limiter_(limits.write_rps, limits.write_rps),
      timer_(base, [this] { tick(); }),
      server_(base, bind, max_body_bytes, [this](net::Request&& request) { serve(std::move(request)); }) {
  store_.txn_ops = limits.txn_ops;
  store_.value_bytes = static_cast<std::size_t>(limits.value_kb * 1024);
  timer_.schedule(tick_s);
}

void StateServer::answer(const net::ResponderPtr& responder, int status, const Json& body) {
  std::string bytes = wire::encode(body);
  counts_.bytes_out += bytes.size();
  responder->reply(status, bytes);
}

void StateServer::serve(net::Request&& request) {
  ++counts_.requests;
  counts_.bytes_in += request.body.size();
  double now = now_();
  store_.expire_leases(now);
  publish();
  if (!request_limiter_.take(1, now)) {
    ++counts_.refused_requests;
    return answer(request.responder, 429, Json::object());
  }
  if (request.path == "/watch") return open_watch(request);
  if (store_.outage()) return answer(request.responder, 503, Json::object());
  wire::BodyRules rules = wire::large_body_rules;
  rules.text_check = wire::TextCheck::by_caller;
  auto decoded =
      request.body.empty() ? wire::DecodedMap(Json::object()) : wire::decode_map(request.body, rules);
  if (!decoded) return answer(request.responder, 400, Json::object());
  const Json& body = *decoded;
  if (request.path == "/txn") return serve_transaction(request, body);
  if (has_prefix(request.path, "/holds")) return serve_lease(request, body);
  if (request.path == "/store") return serve_list(request);
  std::string key = request.path.substr(std::min(request.path.size(), std::string("/store/").size()));
  auto entry = store_.keys().find(key);
  if (entry == store_.keys().end())
    return answer(request.responder, 404, {{"ledger_rev", store_.revision()}});
  answer(request.responder, 200,
         {{"k", key}, {"value", entry->second.value}, {"stamp", entry->second.revision}});
}

void StateServer::serve_transaction(const net::Request& request, const Json& body) {
  if (!body.contains("guards") || !body.contains("apply"))
    return answer(request.responder, 400, {{"error", "malformed"}});
  auto changes = static_cast<double>(body["apply"].size());
  if (!change_limiter_.take(changes, now_())) {
    ++counts_.refused_requests;
    return answer(request.responder, 429, Json::object());
  }
  StateStore::Result result = store_.txn(body);
  ++counts_.transactions;
  counts_.refused_transactions += result.status == 409 ? 1 : 0;
  if (result.status == 200) counts_.changes += body["apply"].size();
  answer(request.responder, result.status, result.body);
  publish();
}

void StateServer::serve_lease(const net::Request& request, const Json& body) {
  const std::string root = "/holds";
  double now = now_();
  if (request.path == root) {
    double life_s = body.value("life_ms", 0.0) / 1000;
    return answer(request.responder, 200, {{"grant", store_.grant_lease(life_s, now)}});
  }
  std::uint64_t id = std::strtoull(request.path.c_str() + root.size() + 1, nullptr, 10);
  if (request.method == EVHTTP_REQ_DELETE) {
    store_.revoke_lease(id);
    publish();
    return answer(request.responder, 200, Json::object());
  }
  answer(request.responder, store_.renew_lease(id, now) ? 200 : 404, Json::object());
}

void StateServer::serve_list(const net::Request& request) {
  Query query(request.query);
  std::string prefix = query.text("prefix"), from = query.text("from");
  std::size_t max_entries = std::min<std::size_t>(query.number("most", max_items), max_items), bytes = 0;
  Json items = Json::array();
  bool truncated = false;
  auto entry = from.empty() ? store_.keys().lower_bound(prefix) : store_.keys().upper_bound(from);
  for (; entry != store_.keys().end() && has_prefix(entry->first, prefix); ++entry) {
    if (items.size() >= max_entries || bytes >= max_list_bytes) {
      truncated = true;
      break;
    }
    items.push_back({{"k", entry->first}, {"value", entry->second.value}, {"stamp", entry->second.revision}});
    bytes += wire::encode(items.back()).size();
  }
  answer(request.responder, 200,
         {{"items", items}, {"truncated", truncated}, {"ledger_rev", store_.revision()}});
}

void StateServer::open_watch(const net::Request& request) {
  Query query(request.query);
  std::uint64_t from = query.number("from", 0);
  bool too_old = !log_.empty() && log_.size() >= max_log_entries && from + 1 < log_.front().revision;
  if (too_old) return answer(request.responder, 410, Json::object());
  double wait_s = static_cast<double>(query.number("hold_ms", 0)) / 1000;
  Watch watch{request.responder, query.text("prefix"), from, now_() + wait_s};
  if (!answer_watch(watch, wait_s <= 0)) watches_.push_back(std::move(watch));
}

bool StateServer::answer_watch(const Watch& watch, bool expired) {
  if (store_.outage()) return false;  // watches remain open until the outage is over
  Json update = Json::array();
  auto first =
      std::upper_bound(log_.begin(), log_.end(), watch.from_revision,
                       [](std::uint64_t from, const LogEntry& entry) { return from < entry.revision; });
  for (; first != log_.end(); ++first) {
    if (has_prefix(first->key, watch.prefix)) update.push_back(first->update);
  }
  if (update.empty() && !expired) return false;
  std::string bytes = wire::encode({{"ledger_rev", store_.revision()}, {"news", std::move(update)}});
  counts_.watch_bytes += bytes.size();
  counts_.bytes_out += bytes.size();
  watch.responder->reply(200, bytes);
  return true;
}

void StateServer::publish() {
  auto events = store_.take_events();
  if (events.empty()) return;
  for (StateStore::Event& event : events) {
    Json update = {{"stamp", event.revision}};
    update[event.value ? "put" : "delete"] = event.key;
    if (event.value) update["value"] = std::move(*event.value);
    log_.push_back({event.revision, event.key, std::move(update)});
  }
  while (log_.size() > max_log_entries) log_.pop_front();
  auto answered = [this](const Watch& watch) { return answer_watch(watch, false); };
  watches_.erase(std::remove_if(watches_.begin(), watches_.end(), answered), watches_.end());
}

void StateServer::tick() {
  double now = now_();
  store_.expire_leases(now);
  publish();
  auto expired = [this, now](const Watch& watch) {
    return now >= watch.expires_at && answer_watch(watch, true);
  };
  watches_.erase(std::remove_if(watches_.begin(), watches_.end(), expired), watches_.end());
  timer_.schedule(tick_s);
}

}  // namespace oxbowmill::simulation
