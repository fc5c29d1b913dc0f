#include "oxbowmill/service/peers.h"

#include "oxbowmill/wire/codec.h"

namespace oxbowmill::service {

namespace {
constexpr double publish_interval_s = 1.0;
constexpr double publish_delay_s = 0.005;
constexpr double peer_status_valid_s = 3.0;
constexpr double serve_while_cut_off_s = 3.0;  // without the state service, while a peer reaches it
constexpr double serve_in_outage_s = 60.0;     // without the state service, while no peer reaches it
constexpr double relay_timeout_s = 1.0;        // short, so that an agent can still ask another controller
constexpr std::size_t relay_connections = 4;
constexpr double update_timeout_s = 2;
constexpr int update_field_count = 6;
}  // namespace

std::string encode(const PeerUpdate& update) {
  msgpack::sbuffer out;
  msgpack::packer<msgpack::sbuffer> packer(out);
  packer.pack_map(update_field_count);
  packer.pack("node");
  packer.pack(update.controller);
  packer.pack("revision");
  packer.pack(update.revision);
  packer.pack("state_ok");
  packer.pack(update.state_service_ok);
  packer.pack("dark");
  packer.pack(update.unreachable_zones);
  packer.pack("starts");
  packer.pack(update.reconciliations);
  packer.pack("suspects");
  packer.pack(update.suspected_machines);
  return {out.data(), out.size()};
}

namespace {
template <class T>
void read_optional_field(const std::map<std::string, msgpack::object>& fields, const char* name, T& out) {
  auto it = fields.find(name);
  if (it == fields.end()) return;
  try {
    it->second.convert(out);
  } catch (const msgpack::type_error&) {
    out = {};
  }
}

/// The library allocates the memory of a list or map when it begins, so a body with nested counts could take
/// any amount. An item takes at least one byte.
msgpack::unpack_limit limits_of(const std::string& body) {
  std::size_t size = body.size();
  return {size, size, size, size, size, wire::max_kept_nesting};
}
}  // namespace

std::optional<PeerUpdate> decode_peer_update(const std::string& body) {
  try {
    msgpack::object_handle handle =
        msgpack::unpack(body.data(), body.size(), nullptr, nullptr, limits_of(body));
    std::map<std::string, msgpack::object> fields;
    handle.get().convert(fields);
    PeerUpdate update;
    fields.at("node").convert(update.controller);
    fields.at("revision").convert(update.revision);
    fields.at("state_ok").convert(update.state_service_ok);
    auto unreachable_zones = fields.find("dark");
    if (unreachable_zones != fields.end()) unreachable_zones->second.convert(update.unreachable_zones);
    // These fields are only hints, so one that cannot be read counts as missing.
    read_optional_field(fields, "starts", update.reconciliations);
    read_optional_field(fields, "suspects", update.suspected_machines);
    return update;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

bool should_serve(double since_state_response_s, bool peer_reaches_state_service) {
  return since_state_response_s < (peer_reaches_state_service ? serve_while_cut_off_s : serve_in_outage_s);
}

Peers::Peers(event_base* base, const config::Config& config, MalformedMessageLog& malformed_messages,
             std::function<double()> now, std::function<PeerUpdate()> make_update)
    : malformed_messages_(malformed_messages),
      clock_(std::move(now)),
      make_update_(std::move(make_update)),
      periodic_timer_(base,
                      [this] {
                        publish();
                        periodic_timer_.schedule(publish_interval_s);
                      }),
      publish_timer_(base, [this] { publish(); }) {
  for (const config::Peer& peer : config.peers) {
    update_clients_.push_back(std::make_unique<net::HttpClient>(base, peer.address, 1));
    relay_clients_[peer.controller] =
        std::make_unique<net::HttpClient>(base, peer.address, relay_connections);
  }
  has_update_in_flight_.assign(update_clients_.size(), false);
  server_ = std::make_unique<net::HttpServer>(base, config.peer_bind, wire::max_body_size,
                                              [this](net::Request&& request) { on_request(request); });
  periodic_timer_.schedule(0);
}

void Peers::publish_soon() {
  if (!publish_timer_.pending()) publish_timer_.schedule(publish_delay_s);
}

void Peers::publish() {
  std::string body = encode(make_update_());
  for (std::size_t i = 0; i < update_clients_.size(); ++i) {
    if (has_update_in_flight_[i])
      continue;  // at most one update at a time, in case the peer does not respond
    has_update_in_flight_[i] = true;
    update_clients_[i]->send(EVHTTP_REQ_POST, "/peer", body, update_timeout_s,
                             [this, i](const net::Response&) { has_update_in_flight_[i] = false; });
  }
}

bool Peers::is_current(const PeerStatus& status) const {
  return clock_() - status.received_at < peer_status_valid_s;
}

void Peers::relay(const std::string& controller, const std::string& report,
                  net::ResponseHandler on_response) {
  auto client = relay_clients_.find(controller);
  auto status = peer_status_.find(controller);
  if (client == relay_clients_.end() || status == peer_status_.end() ||
      clock_() - status->second.received_at > peer_status_valid_s)
    return on_response({});
  client->second->send(EVHTTP_REQ_POST, "/relay", report, relay_timeout_s, std::move(on_response));
}

void Peers::on_request(const net::Request& request) {
  if (request.method == EVHTTP_REQ_POST && request.path == "/relay" && on_relayed) return on_relayed(request);
  auto update = request.method == EVHTTP_REQ_POST && request.path == "/peer"
                    ? decode_peer_update(request.body)
                    : std::nullopt;
  if (!update) {
    malformed_messages_.record({"peer_update", request.peer_host, "not an update of a controller"});
    return request.responder->reply(400, "");
  }
  request.responder->reply(200, "");
  on_peer_update(*update);
}

void Peers::on_peer_update(const PeerUpdate& update) {
  peer_status_[update.controller] = {clock_(), update.state_service_ok};
  if (update.state_service_ok && on_revision) on_revision(update.revision);
  for (const std::string& zone : update.unreachable_zones) {
    if (on_unreachable_zone) on_unreachable_zone(zone);
  }
  if (on_update) on_update(update);
}

bool Peers::any_reaches_state_service() const {
  for (const auto& [controller, status] : peer_status_) {
    if (status.state_service_ok && is_current(status)) return true;
  }
  return false;
}

}  // namespace oxbowmill::service
