// The durable decisions of one controller process: composes the decision log with the release calendar and
// the model autoscaler, and answers their questions from the state service. For the event loop's thread.
#pragma once

#include "oxbowmill/config/config.h"
#include "oxbowmill/release_calendar/release_coordinator.h"
#include "oxbowmill/serving/model_autoscaler.h"
#include "oxbowmill/state/store.h"

namespace oxbowmill::service {

/// Owns the placement constraints that the cluster state refers to.
class DecisionService {
 public:
  /// Registers its constraints with the cluster state until it is destroyed. `clock`: steady time in seconds.
  /// The store must not call back once the service is gone.
  DecisionService(ClusterState& state, Scheduler& scheduler, state::Store& store,
                  const config::Config& config, const std::function<double()>& clock);
  ~DecisionService();
  /// Makes the decisions that are due. Before the scheduler's cycle, so that it knows them; only under full
  /// authority.
  void run_cycle(Clock clock, Effects& out);
  /// Replaces the release calendar; one that is older than the present one is rejected and logged.
  void load(release_calendar::ReleaseCalendar calendar);

 private:
  ClusterState& state_;
  decisions::DecisionLog decision_log_;
  decisions::CombinedConstraints constraints_;
  release_calendar::ReleaseCoordinator release_coordinator_;
  serving::ModelAutoscaler model_autoscaler_;
};

}  // namespace oxbowmill::service
