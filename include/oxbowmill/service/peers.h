// Messages between controllers: MessagePack over HTTP. They only make controllers faster: the watch makes up
// for whatever is lost. For the event loop's thread.
#pragma once

#include <map>
#include <memory>
#include <msgpack.hpp>
#include <optional>

#include "oxbowmill/config/config.h"

namespace oxbowmill::service {

/// How far the reconciliation of a partition has come, under the ownership of this revision.
struct ReconciliationStatus {
  std::string partition;                 ///< name
  std::uint64_t ownership_revision = 0;  ///< a newer ownership starts over
  std::uint32_t phase = 0;               ///< a reconciliation::PartitionPhase; newer versions may have more
  std::uint32_t expected = 0;            ///< machines that are to report
  std::uint32_t reported = 0;            ///< machines that have
  /// The order on the wire.
  MSGPACK_DEFINE_ARRAY(partition, ownership_revision, phase, expected, reported)
};

/// A controller's status, as it publishes it.
struct PeerUpdate {
  std::string controller;                      ///< its name
  std::uint64_t revision = 0;                  ///< newest that it knows of
  bool state_service_ok = false;               ///< the state service responds to it
  std::vector<std::string> unreachable_zones;  ///< zones whose machines do not reach it
  /// Of the partitions it owns. Older versions neither send nor read it.
  std::vector<ReconciliationStatus> reconciliations;
  /// Machines of its partitions that may be gone. Older versions neither send nor read it.
  std::vector<std::string> suspected_machines;
};
/// The message's body.
std::string encode(const PeerUpdate& update);
/// Nothing if the body is not an update; what an older version does not send, or cannot be read, is empty.
std::optional<PeerUpdate> decode_peer_update(const std::string& body);

/// Whether a controller should accept users' connections, by the seconds since the state service responded.
/// In an outage that all controllers have, all accept: a refusal with the time to retry is the better answer.
/// A controller that alone is cut off from the state service does not.
bool should_serve(double since_state_answer, bool peer_has_state);

/// Connections to the other controllers, and what each last published. Requests of the clients it owns are
/// dropped with it; the event loop must not run its timers any more then.
class Peers {
 public:
  /// `now`: steady time in seconds; `make_update`: this controller's present status. Throws if the port for
  /// controllers cannot be bound.
  Peers(event_base* base, const config::Config& config, std::function<double()> now,
        std::function<PeerUpdate()> make_update);
  /// Publishes this controller's status within milliseconds, once for all calls until then.
  void publish_soon();
  /// A peer has lately published that the state service responds to it.
  bool any_reaches_state_service() const;
  /// Where it listens for other controllers.
  const net::Address& address() const { return server_->address(); }
  /// Relays an agent's report to the controller that owns its machine. Status 0 at once when that one has not
  /// published for a while.
  void relay(const std::string& controller, const std::string& report, net::ResponseHandler on_response);
  /// A peer that the state service responds to knows of this revision.
  std::function<void(std::uint64_t revision)> on_revision;
  /// A peer cannot reach the machines of this zone.
  std::function<void(const std::string& zone)> on_unreachable_zone;
  /// A peer has published, after the two above.
  std::function<void(const PeerUpdate&)> on_update;
  /// A peer relays an agent's report.
  std::function<void(const net::Request&)> on_relayed;

 private:
  static constexpr double never = -1e9;
  struct PeerStatus {
    double received_at = never;
    bool state_service_ok = false;
  };
  void on_request(const net::Request& request);
  void on_peer_update(const PeerUpdate& update);
  void publish();
  bool is_current(const PeerStatus& status) const;

  std::function<double()> clock_;
  std::function<PeerUpdate()> make_update_;
  std::map<std::string, PeerStatus> peer_status_;
  std::vector<std::unique_ptr<net::HttpClient>> update_clients_;
  std::map<std::string, std::unique_ptr<net::HttpClient>> relay_clients_;
  std::vector<bool> has_update_in_flight_;  // by update client
  net::Timer periodic_timer_, publish_timer_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace oxbowmill::service
