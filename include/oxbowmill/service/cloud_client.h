// Calls of the platform's cloud over HTTP, within its request limit: scale out, deletion, listing and the
// catalog of machine types. What was asked and what follows from the answer is the autoscaler's. For the
// event loop's thread.
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

/// Queues calls until the rate limit allows them and hands the results to the autoscaler. It must not be
/// destroyed while the event loop can still deliver responses to the objects it refers to.
class CloudClient {
 public:
  /// `clock`: steady time in seconds.
  CloudClient(event_base* base, const net::Address& address, const ClusterState& state,
              Autoscaler& autoscaler, MalformedMessageLog& malformed_messages, std::function<double()> clock);
  /// Requests machines.
  void scale_out(const ScaleOutRequest& request);
  /// Has these machines deleted.
  void delete_machines(const std::vector<MachineIndex>& machines);
  /// Lists all machines that the cloud has for this cluster.
  void list_machines();
  /// Reads the catalog of machine types; `on_catalog` is not called when there is no readable response.
  void fetch_catalog(std::function<void(const wire::Json&)> on_catalog);
  /// Sends what the rate limit has become sufficient for; called every cycle.
  void dispatch();

 private:
  enum class CallPriority : std::uint8_t { urgent, background };
  using MachineList = std::shared_ptr<std::vector<ListedMachine>>;
  void enqueue(CallPriority priority, std::function<void()> call);
  void send_scale_out(const ScaleOutRequest& request);
  void on_scale_out_response(const std::string& request_id, const net::Response& http_response);
  void send_delete(const std::vector<MachineIndex>& machines);
  /// The page after the machine `last_name`; empty: the first one. `machines`: those of the pages before.
  void request_page(const std::string& last_name, const MachineList& machines);
  void on_page(const net::Response& http_response, const MachineList& machines);

  const ClusterState& state_;
  Autoscaler& autoscaler_;
  MalformedMessageLog& malformed_messages_;
  std::function<double()> clock_;
  net::HttpClient http_client_;
  TokenBucket rate_limit_;
  std::deque<std::function<void()>> urgent_calls_, background_calls_;
  unsigned contended_dispatches_ = 0;  // while both queues had calls
};

}  // namespace oxbowmill::service
