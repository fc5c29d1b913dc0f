#include "oxbowmill/reconciliation/peer_hints.h"

#include <iterator>

namespace oxbowmill::reconciliation {

namespace {
constexpr double hint_lifetime_s = 3;  // how long a peer's status or suspicion is valid
}  // namespace

void PeerHints::record_status(const PartitionStatus& status, Seconds now) {
  // Messages of successive owners may arrive out of order: the later ownership wins.
  if (status.partition.valid() && status.partition.value < statuses_.size() &&
      status.ownership_revision >= statuses_[status.partition.value].status.ownership_revision)
    statuses_[status.partition.value] = {status, now};
}

void PeerHints::record_suspect(MachineIndex machine_index, Seconds now) {
  if (machine_index.valid()) suspected_at_[machine_index] = now;
}

void PeerHints::expire(Seconds now) {
  for (auto it = suspected_at_.begin(); it != suspected_at_.end();) {
    it = now - it->second > hint_lifetime_s ? suspected_at_.erase(it) : std::next(it);
  }
}

std::optional<PartitionPhase> PeerHints::phase(PartitionIndex partition, Revision ownership_revision,
                                               Seconds now) const {
  const ReceivedStatus& received = statuses_[partition.value];
  if (ownership_revision == 0 || received.status.ownership_revision != ownership_revision ||
      now - received.received_at >= hint_lifetime_s)
    return std::nullopt;
  return received.status.phase;
}

}  // namespace oxbowmill::reconciliation
