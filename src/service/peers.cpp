#include "oxbowmill/service/peers.h"

#include "oxbowmill/wire/codec.h"

namespace oxbowmill::service {

namespace {
constexpr double every_s = 1.0;
constexpr double soon_s = 0.005;
constexpr double fresh_s = 3.0;
constexpr double alone_s = 3.0;          // without the state service, while a peer has it
constexpr double everyone_s = 60.0;      // without the state service, like everyone
constexpr double relay_timeout_s = 1.0;  // a worker that gets no answer here must still find another node
constexpr std::size_t relay_connections = 4;
}  // namespace

std::string encode(const PeerNews& n) {
  msgpack::sbuffer out;
  msgpack::packer<msgpack::sbuffer> p(out);
  p.pack_map(6);
  p.pack("node");
  p.pack(n.node);
  p.pack("revision");
  p.pack(n.revision);
  p.pack("state_ok");
  p.pack(n.state_ok);
  p.pack("dark");
  p.pack(n.dark);
  p.pack("starts");
  p.pack(n.starts);
  p.pack("suspects");
  p.pack(n.suspects);
  return {out.data(), out.size()};
}

namespace {
template <class T>
void read_hint(const std::map<std::string, msgpack::object>& fields, const char* name, T& out) {
  auto it = fields.find(name);
  if (it == fields.end()) return;
  try {
    it->second.convert(out);
  } catch (const msgpack::type_error&) {
    out = {};
  }
}
}  // namespace

std::optional<PeerNews> decode_news(const std::string& body) {
  try {
    msgpack::object_handle handle = msgpack::unpack(body.data(), body.size());
    std::map<std::string, msgpack::object> fields;
    handle.get().convert(fields);
    PeerNews n;
    fields.at("node").convert(n.node);
    fields.at("revision").convert(n.revision);
    fields.at("state_ok").convert(n.state_ok);
    auto dark = fields.find("dark");
    if (dark != fields.end()) dark->second.convert(n.dark);
    // Hints: one that cannot be read costs no more than one that is missing.
    read_hint(fields, "starts", n.starts);
    read_hint(fields, "suspects", n.suspects);
    return n;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

bool should_serve(double since_state_answer, bool peer_has_state) {
  return since_state_answer < (peer_has_state ? alone_s : everyone_s);
}

Peers::Peers(event_base* base, const config::Config& config, std::function<double()> now,
             std::function<PeerNews()> news)
    : now_(std::move(now)),
      news_(std::move(news)),
      every_(base,
             [this] {
               send();
               every_.after(every_s);
             }),
      soon_(base, [this] { send(); }) {
  for (const config::Peer& p : config.peers) {
    links_.push_back(std::make_unique<net::HttpClient>(base, p.address, 1));
    relays_[p.node] = std::make_unique<net::HttpClient>(base, p.address, relay_connections);
  }
  busy_.assign(links_.size(), false);
  server_ = std::make_unique<net::HttpServer>(base, config.peer_bind, wire::most_body,
                                              [this](net::Request&& r) { on_request(std::move(r)); });
  every_.after(0);
}

void Peers::tell() {
  if (!soon_.pending()) soon_.after(soon_s);
}

void Peers::send() {
  std::string body = encode(news_());
  for (std::size_t i = 0; i < links_.size(); ++i) {
    if (busy_[i]) continue;  // a peer that does not answer gets one message at a time
    busy_[i] = true;
    links_[i]->send(EVHTTP_REQ_POST, "/peer", body, 2, [this, i](const net::Response&) { busy_[i] = false; });
  }
}

void Peers::relay(const std::string& node, const std::string& report, net::ResponseFn fn) {
  auto to = relays_.find(node);
  auto heard = heard_.find(node);
  if (to == relays_.end() || heard == heard_.end() || now_() - heard->second.at > fresh_s) return fn({});
  to->second->send(EVHTTP_REQ_POST, "/relay", report, relay_timeout_s, std::move(fn));
}

void Peers::on_request(net::Request&& r) {
  if (r.method == EVHTTP_REQ_POST && r.path == "/relay" && on_relayed) return on_relayed(r);
  auto news = r.method == EVHTTP_REQ_POST && r.path == "/peer" ? decode_news(r.body) : std::nullopt;
  if (!news) return r.responder->reply(400, "");
  r.responder->reply(200, "");
  heard_[news->node] = {now_(), news->state_ok};
  if (news->state_ok && on_revision) on_revision(news->revision);
  for (const std::string& zone : news->dark) {
    if (on_dark) on_dark(zone);
  }
  if (on_news) on_news(*news);
}

bool Peers::any_has_state() const {
  for (const auto& [node, h] : heard_) {
    if (h.state_ok && now_() - h.at < fresh_s) return true;
  }
  return false;
}

}  // namespace oxbowmill::service
