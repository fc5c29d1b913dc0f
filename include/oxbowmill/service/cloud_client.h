// HTTP client of the platform's cloud, which keeps to the cloud's request limit. Sends scale-out, deletion,
// list and catalog requests; the autoscaler decides on them and handles the results. Event loop thread only.
#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "oxbowmill/autoscaling/autoscaler.h"
#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/net/http.h"
#include "oxbowmill/service/malformed_message_log.h"
#include "oxbowmill/wire/codec.h"

namespace oxbowmill::service {

/// Queues calls until the rate limit allows them, and passes the results to the autoscaler. Must not be
/// destroyed while the event loop can still deliver responses, which are passed to the objects it refers to.
class CloudClient {
 public:
  /// `clock` returns the steady time in seconds.
  CloudClient(event_base* base, const net::Address& address, const ClusterState& state,
              Autoscaler& autoscaler, MalformedMessageLog& malformed_messages, std::function<double()> clock);
  /// Requests machines.
  void scale_out(const ScaleOutRequest& request);
  /// Requests the deletion of machines.
  void delete_machines(const std::vector<MachineIndex>& machines);
  /// Requests the list of all machines that the cloud has for this cluster.
  void list_machines();
  /// Requests the catalog of machine types. `on_catalog` is not called if there is no readable response.
  void fetch_catalog(std::function<void(const wire::Json&)> on_catalog);
  /// Sends the queued calls that the rate limit allows now; called every cycle.
  void dispatch();

 private:
  enum class CallPriority : std::uint8_t { urgent, background };
  using MachineList = std::shared_ptr<std::vector<ListedMachine>>;
  void enqueue(CallPriority priority, std::function<void()> call);
  void send_scale_out(const ScaleOutRequest& request);
  void on_scale_out_response(const std::string& request_id, const net::Response& http_response);
  void send_delete(const std::vector<MachineIndex>& machines);
  /// Requests the page after the machine `last_name`, or the first page if that is empty. `machines` has the
  /// machines of the pages before.
  void request_page(const std::string& last_name, const MachineList& machines);
  void on_page(const net::Response& http_response, const MachineList& machines);

  void log_malformed(const char* kind, const wire::DecodedMap& body);
  const ClusterState& state_;
  Autoscaler& autoscaler_;
  MalformedMessageLog& malformed_messages_;
  std::function<double()> clock_;
  net::HttpClient http_client_;
  TokenBucket rate_limit_;
  std::deque<std::function<void()>> urgent_calls_, background_calls_;
  unsigned contended_dispatches_ = 0;  // calls sent while both queues had some
};

}  // namespace oxbowmill::service
