// Messages between controllers, in MessagePack over HTTP. They only save time: what a lost message would have
// told a controller, it learns later from its watch of the state service. Event loop thread only.
#pragma once

#include <map>
#include <memory>
#include <msgpack.hpp>
#include <optional>

#include "oxbowmill/config/config.h"
#include "oxbowmill/service/malformed_message_log.h"

namespace oxbowmill::service {

/// Progress of the reconciliation of a partition.
struct ReconciliationStatus {
  std::string partition;                 ///< partition name
  std::uint64_t ownership_revision = 0;  ///< of the owner's record; a newer ownership restarts it
  std::uint32_t phase = 0;               ///< a reconciliation::PartitionPhase; newer versions may send others
  std::uint32_t expected = 0;            ///< number of machines that are to report
  std::uint32_t reported = 0;            ///< number of those that have reported
  /// Encodes the fields as an array, in this order.
  MSGPACK_DEFINE_ARRAY(partition, ownership_revision, phase, expected, reported)
};

/// The status that a controller publishes to its peers.
struct PeerUpdate {
  std::string controller;                      ///< name of the sender
  std::uint64_t revision = 0;                  ///< newest revision that the sender knows of
  bool state_service_ok = false;               ///< whether the state service responds to the sender
  std::vector<std::string> unreachable_zones;  ///< names of zones whose machines do not reach the sender
  /// Reconciliations of the sender's partitions. Older versions neither send nor read this field.
  std::vector<ReconciliationStatus> reconciliations;
  /// Names of the sender's machines that may be gone. Older versions neither send nor read this field.
  std::vector<std::string> suspected_machines;
};
/// Encodes the update as a message body.
std::string encode(const PeerUpdate& update);
/// Decodes an update; empty if the body is not one. Fields that older versions do not send are empty if they
/// are missing or cannot be read.
std::optional<PeerUpdate> decode_peer_update(const std::string& body);

/// Whether a controller should accept users' requests, given the seconds since the state service last
/// responded to it and whether a peer reaches the state service. A controller that alone is cut off soon
/// stops accepting, so that users go to its peers. In an outage that affects all controllers, all of them
/// keep accepting for longer, because a refusal with a retry time is better for users than no answer.
bool should_serve(double since_state_response_s, bool peer_reaches_state_service);

/// Owns the connections to the other controllers and the status that each last published. Its destruction
/// drops its open requests; the event loop must not run its timers afterwards.
class Peers {
 public:
  /// `now` returns the steady time in seconds, and `make_update` this controller's current status. Throws if
  /// the port for controllers cannot be bound.
  Peers(event_base* base, const config::Config& config, MalformedMessageLog& malformed_messages,
        std::function<double()> now, std::function<PeerUpdate()> make_update);
  /// Publishes this controller's status within milliseconds. Calls until then have no further effect.
  void publish_soon();
  /// Whether a peer has recently published that the state service responds to it.
  bool any_reaches_state_service() const;
  /// The address on which this controller listens for its peers.
  const net::Address& address() const { return server_->address(); }
  /// Relays an agent's report to the controller that owns its machine. Calls `on_response` with status 0 at
  /// once if that controller is unknown or has not published recently.
  void relay(const std::string& controller, const std::string& report, net::ResponseHandler on_response);
  /// Called with the newest revision that a peer knows of, if the state service responds to that peer.
  std::function<void(std::uint64_t revision)> on_revision;
  /// Called for each zone whose machines a peer cannot reach.
  std::function<void(const std::string& zone)> on_unreachable_zone;
  /// Called with each update, after the two callbacks above.
  std::function<void(const PeerUpdate&)> on_update;
  /// Called with each report of an agent that a peer relays.
  std::function<void(const net::Request&)> on_relayed;

 private:
  static constexpr double never = -1e9;  // seconds, long before any time of the steady clock
  struct PeerStatus {
    double received_at = never;
    bool state_service_ok = false;
  };
  void on_request(const net::Request& request);
  void on_peer_update(const PeerUpdate& update);
  void publish();
  bool is_current(const PeerStatus& status) const;

  MalformedMessageLog& malformed_messages_;
  std::function<double()> clock_;
  std::function<PeerUpdate()> make_update_;
  std::map<std::string, PeerStatus> peer_status_;
  std::vector<std::unique_ptr<net::HttpClient>> update_clients_;
  std::map<std::string, std::unique_ptr<net::HttpClient>> relay_clients_;
  std::vector<bool> has_update_in_flight_;  // by index of the update client
  net::Timer periodic_timer_, publish_timer_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace oxbowmill::service
