// Scale-out requests to the cloud and its refusals. Owns the requests of the cycle under way, those that have
// not been answered, and by kind until when a refusal is respected. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "oxbowmill/autoscaling/environment.h"

namespace oxbowmill {

/// Progress of a scale-out request.
enum class ScaleOutState : std::uint8_t {
  requested,    ///< sent, the answer is awaited
  unconfirmed,  ///< no definite answer: it is sent again under the same name
};

}  // namespace oxbowmill

namespace oxbowmill::autoscaling {

/// The cloud's limit on the machines of one request.
constexpr std::uint32_t max_machines_per_request = 50;

/// Collects one request per kind and cycle, sends them under durable-unique names and follows the answers.
class ScaleOutRequests {
 public:
  /// Requests nothing yet.
  explicit ScaleOutRequests(const Environment& environment) : environment_(environment) {}

  /// The cloud refused this kind lately and is not asked again before the back-off ends.
  bool is_refused(const MachineKind& kind, Seconds now) const;
  /// A sent request for this kind has not been answered.
  bool is_requested(const MachineKind& kind) const;
  /// Machines that this cycle's request for the kind can still take.
  std::uint32_t remaining_in_request(const MachineKind& kind) const;
  /// Adds machines for the partition to this cycle's request for the kind, as far as the limit of a request
  /// allows. Returns how many were added.
  std::uint32_t add(const MachineKind& kind, std::uint32_t count, PartitionIndex partition);
  /// Names this cycle's requests and sends them.
  void submit(Effects& out);
  /// Sends requests again whose answer stayed unknown. The cloud fulfils a name at most once.
  void resend_unconfirmed(Seconds now, Effects& out);
  /// Takes the cloud's answer. `answered` is false where it gave none; an empty list is a refusal. Returns
  /// the request once it is over, nothing where it is unknown or still in doubt.
  [[nodiscard]] std::optional<ScaleOutRequest> on_result(const std::string& request_id, bool answered,
                                                         std::size_t granted, Seconds now);
  /// Forgets the refusal of a kind: capacity of it has been returned.
  void clear_refusal(const MachineKind& kind) { refusals_.erase(kind); }
  /// Forgets all unanswered requests: this controller is not the leader.
  void clear_pending() { pending_.clear(); }
  /// Kinds of the machines that unanswered requests ask for on behalf of the partition, one entry a machine.
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
  std::map<std::string, PendingRequest> pending_;  // by request name
  std::vector<ScaleOutRequest> new_requests_;      // of this cycle, one per kind
  std::map<MachineKind, Refusal> refusals_;
  std::uint64_t request_count_ = 0;
};

}  // namespace oxbowmill::autoscaling
