// What controllers tell each other, in MessagePack over HTTP. It only speeds things up: whatever is lost is
// made good by the watch.
#pragma once

#include <map>
#include <memory>
#include <msgpack.hpp>
#include <optional>

#include "oxbowmill/config/config.h"

namespace oxbowmill::service {

/// How far the start of a part has come, under the claim of this revision.
struct ReconciliationStatus {
  std::string partition;
  std::uint64_t ownership_revision = 0;
  std::uint32_t phase = 0, expected = 0, reported = 0;
  MSGPACK_DEFINE_ARRAY(partition, ownership_revision, phase, expected, reported)
};

/// A controller's word about itself.
struct PeerUpdate {
  std::string controller;
  std::uint64_t revision = 0;                  // of the last change it knows of
  bool state_service_ok = false;               // the state service answers it
  std::vector<std::string> unreachable_zones;  // zones whose machines do not reach it
  // Optional: older versions neither send nor read them.
  std::vector<ReconciliationStatus> reconciliations;  // of the parts it owns
  std::vector<std::string> suspected_machines;        // machines of its parts that may be gone
};
std::string encode(const PeerUpdate& update);
std::optional<PeerUpdate> decode_peer_update(const std::string& body);

/// Whether a node should take users' connections. In an outage that everyone has, all stay in: a refusal with
/// the time to come back is the better answer. A node that alone is cut off from the state service steps
/// aside.
bool should_serve(double since_state_answer, bool peer_has_state);

class Peers {
 public:
  Peers(event_base* base, const config::Config& config, std::function<double()> now,
        std::function<PeerUpdate()> make_update);
  /// Tells the others at once, at most every few milliseconds.
  void publish_soon();
  bool any_reaches_state_service() const;
  const net::Address& address() const { return server_->address(); }
  /// Passes a worker's report on to the node that owns its machine. At once status 0 when that node has not
  /// been heard for a while.
  void relay(const std::string& node, const std::string& report, net::ResponseHandler on_response);
  std::function<void(std::uint64_t revision)> on_revision;
  std::function<void(const std::string& zone)> on_unreachable_zone;
  std::function<void(const PeerUpdate&)> on_update;
  /// A report that another node passes on.
  std::function<void(const net::Request&)> on_relayed;

 private:
  void on_request(net::Request&& request);
  void publish();
  std::function<double()> clock_;
  std::function<PeerUpdate()> make_update_;
  struct PeerStatus {
    double received_at = -1e9;
    bool state_service_ok = false;
  };
  std::map<std::string, PeerStatus> peer_status_;
  std::vector<std::unique_ptr<net::HttpClient>> update_clients_;
  std::map<std::string, std::unique_ptr<net::HttpClient>> relay_clients_;
  std::vector<bool> busy_;
  net::Timer periodic_timer_, publish_timer_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace oxbowmill::service
