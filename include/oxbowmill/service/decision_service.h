// Makes the durable decisions of a controller process. Connects the decision log with the release coordinator
// and the model autoscaler, and reads records for them from the state service. Event loop thread only.
#pragma once

#include "oxbowmill/config/config.h"
#include "oxbowmill/release_calendar/release_coordinator.h"
#include "oxbowmill/serving/model_autoscaler.h"
#include "oxbowmill/state/store.h"

namespace oxbowmill::service {

/// Makes durable decisions, and owns the placement constraints that the cluster state refers to.
class DecisionService {
 public:
  /// Registers its constraints with the cluster state until its destruction. `clock` returns the steady time
  /// in seconds. The store must not call the service back after its destruction.
  DecisionService(ClusterState& state, Scheduler& scheduler, state::Store& store,
                  const config::Config& config, const std::function<double()>& clock);
  ~DecisionService();
  /// Makes the decisions that are due. Must be called before the scheduler's cycle, which takes them into
  /// account, and only under full authority.
  void run_cycle(Clock clock, Effects& out);
  /// Replaces the release calendar. Logs an error and keeps the current one if the new one is older.
  void load(release_calendar::ReleaseCalendar calendar);

 private:
  ClusterState& state_;
  decisions::DecisionLog decision_log_;
  decisions::CombinedConstraints constraints_;
  release_calendar::ReleaseCoordinator release_coordinator_;
  serving::ModelAutoscaler model_autoscaler_;
};

}  // namespace oxbowmill::service
