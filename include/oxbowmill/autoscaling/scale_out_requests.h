// Tracks scale-out requests to the cloud and the cloud's refusals. Owns the requests of the current cycle,
// the requests that have not been answered, and the back-off of each refused kind. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "oxbowmill/autoscaling/environment.h"

namespace oxbowmill {

/// Progress of a scale-out request.
enum class ScaleOutState : std::uint8_t {
  requested,    ///< sent, not yet answered
  unconfirmed,  ///< without a definite answer; sent again under the same request ID
};

}  // namespace oxbowmill

namespace oxbowmill::autoscaling {

/// The cloud's limit on the number of machines in one request.
constexpr std::uint32_t max_machines_per_request = 50;

/// Collects one request per kind and cycle, sends them under IDs that stay unique across restarts, and
/// tracks the answers.
class ScaleOutRequests {
 public:
  /// `environment` must outlive this object.
  explicit ScaleOutRequests(const Environment& environment) : environment_(environment) {}

  /// Whether the cloud refused this kind and the back-off has not ended yet.
  bool is_refused(const MachineKind& kind, Seconds now) const;
  /// Whether a request for this kind has been sent and not answered.
  bool is_requested(const MachineKind& kind) const;
  /// Number of machines that can still be added to this cycle's request for the kind.
  std::uint32_t remaining_in_request(const MachineKind& kind) const;
  /// Adds machines for the partition to this cycle's request for the kind, as far as the limit of a request
  /// allows. Returns how many were added.
  std::uint32_t add(const MachineKind& kind, std::uint32_t count, PartitionIndex partition);
  /// Assigns IDs to this cycle's requests and sends them.
  void submit(Effects& out);
  /// Resends requests whose answer is unknown. The cloud fulfils each request ID at most once.
  void resend_unconfirmed(Seconds now, Effects& out);
  /// Handles the result of a request. `answered` is false if the cloud gave no definite answer; `granted` is
  /// the number of machines it granted, and fewer than requested start the kind's back-off. Returns the
  /// request if it is complete; nothing if the ID is unknown or the request is to be sent again.
  [[nodiscard]] std::optional<ScaleOutRequest> on_result(const std::string& request_id, bool answered,
                                                         std::size_t granted, Seconds now);
  /// Ends the back-off of a kind; called when capacity of it has been returned to the cloud.
  void clear_refusal(const MachineKind& kind) { refusals_.erase(kind); }
  /// Discards all unanswered requests; called when this controller is not the leader.
  void clear_pending() { pending_.clear(); }
  /// Kinds of the machines that unanswered requests are to get for the partition, one entry per machine.
  std::vector<MachineKind> expected_for(PartitionIndex partition) const;

 private:
  struct PendingRequest {
    ScaleOutRequest request;
    ScaleOutState state = ScaleOutState::requested;
    Seconds retry_at = 0;
  };
  struct Refusal {
    Seconds until = 0;
    int consecutive = 0;
  };
  ScaleOutRequest& new_request_for(const MachineKind& kind);

  const Environment& environment_;
  std::map<std::string, PendingRequest> pending_;  // by request ID
  std::vector<ScaleOutRequest> new_requests_;      // of this cycle, one per kind
  std::map<MachineKind, Refusal> refusals_;
  std::uint64_t request_count_ = 0;
};

}  // namespace oxbowmill::autoscaling
