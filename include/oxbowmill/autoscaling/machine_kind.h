// Derives the kind (type, zone, and spot or on-demand) of machines, requests and candidates. Stateless.
#pragma once

#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill::autoscaling {

/// The kind of a recorded machine.
inline MachineKind kind_of(const MachineRecord& record) {
  return {record.type, record.zone, record.spot};
}
/// The kind that a scale-out request asks for.
inline MachineKind kind_of(const ScaleOutRequest& request) {
  return {request.type, request.zone, request.spot};
}
/// The kind of a candidate machine, real or expected.
inline MachineKind kind_of(const CandidateMachine& candidate) {
  return {candidate.type, candidate.zone, candidate.spot};
}

}  // namespace oxbowmill::autoscaling
