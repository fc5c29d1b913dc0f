#include "oxbowmill/autoscaling/scale_out_requests.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "oxbowmill/autoscaling/machine_kind.h"

namespace oxbowmill::autoscaling {

namespace {
constexpr Seconds retry_unconfirmed_after_s = 3;
constexpr int max_consecutive_refusals = 3;  // further ones no longer double the back-off
}  // namespace

bool ScaleOutRequests::is_refused(const MachineKind& kind, Seconds now) const {
  auto it = refusals_.find(kind);
  return it != refusals_.end() && it->second.until > now;
}

bool ScaleOutRequests::is_requested(const MachineKind& kind) const {
  return std::any_of(pending_.begin(), pending_.end(),
                     [&kind](const auto& entry) { return kind_of(entry.second.request) == kind; });
}

std::uint32_t ScaleOutRequests::remaining_in_request(const MachineKind& kind) const {
  auto matching_request =
      std::find_if(new_requests_.begin(), new_requests_.end(),
                   [&kind](const ScaleOutRequest& request) { return kind_of(request) == kind; });
  return matching_request == new_requests_.end() ? max_machines_per_request
                                                 : max_machines_per_request - matching_request->count;
}

ScaleOutRequest& ScaleOutRequests::new_request_for(const MachineKind& kind) {
  auto matching_request =
      std::find_if(new_requests_.begin(), new_requests_.end(),
                   [&kind](const ScaleOutRequest& request) { return kind_of(request) == kind; });
  if (matching_request != new_requests_.end()) return *matching_request;
  new_requests_.push_back({"", kind.type, kind.zone, kind.spot, 0, {}});
  return new_requests_.back();
}

std::uint32_t ScaleOutRequests::add(const MachineKind& kind, std::uint32_t count, PartitionIndex partition) {
  ScaleOutRequest& request = new_request_for(kind);
  count = std::min(count, max_machines_per_request - request.count);
  request.count += count;
  request.partitions.insert(request.partitions.end(), count, partition);
  return count;
}

void ScaleOutRequests::submit(Effects& out) {
  const ClusterState& state = environment_.state;
  for (ScaleOutRequest& request : new_requests_) {
    // The revision of the leader's ownership makes the IDs of successive leaders different.
    request.request_id = state.settings.controller_name + "-" +
                         std::to_string(state.ownership(idle_pool).revision) + "-" +
                         std::to_string(++request_count_);
    pending_[request.request_id] = {request, ScaleOutState::requested, 0};
    out.scale_outs.push_back(std::move(request));
  }
  new_requests_.clear();
}

void ScaleOutRequests::resend_unconfirmed(Seconds now, Effects& out) {
  for (auto& [request_id, pending] : pending_) {
    if (pending.state == ScaleOutState::unconfirmed && now >= pending.retry_at) {
      pending.state = ScaleOutState::requested;
      out.scale_outs.push_back(pending.request);
    }
  }
}

std::optional<ScaleOutRequest> ScaleOutRequests::on_result(const std::string& request_id, bool answered,
                                                           std::size_t granted, Seconds now) {
  auto it = pending_.find(request_id);
  if (it == pending_.end()) return std::nullopt;
  PendingRequest& pending = it->second;
  if (!answered) {
    // The request may have been fulfilled. Sent again under the same ID, it is fulfilled at most once.
    pending.state = ScaleOutState::unconfirmed;
    pending.retry_at = now + retry_unconfirmed_after_s;
    return std::nullopt;
  }
  Refusal& refusal = refusals_[kind_of(pending.request)];
  if (granted < pending.request.count) {
    // Without a back-off, repeated requests for missing capacity would use up the limit on calls.
    refusal.consecutive = granted == 0 ? std::min(refusal.consecutive + 1, max_consecutive_refusals) : 1;
    refusal.until = now + environment_.state.settings.operator_settings.refusal_backoff_s *
                              (1 << (refusal.consecutive - 1));
  } else {
    refusal = {};
  }
  SPDLOG_INFO("scale-out answered request={} granted={} requested={} zone={} spot={}", request_id, granted,
              pending.request.count, environment_.state.names.zones.name(pending.request.zone),
              pending.request.spot);
  ScaleOutRequest finished = std::move(pending.request);
  pending_.erase(it);
  return finished;
}

std::vector<MachineKind> ScaleOutRequests::expected_for(PartitionIndex partition) const {
  std::vector<MachineKind> kinds;
  for (const auto& [request_id, pending] : pending_) {
    const std::vector<PartitionIndex>& partitions = pending.request.partitions;
    auto count = std::count(partitions.begin(), partitions.end(), partition);
    kinds.insert(kinds.end(), static_cast<std::size_t>(count), kind_of(pending.request));
  }
  return kinds;
}

}  // namespace oxbowmill::autoscaling
