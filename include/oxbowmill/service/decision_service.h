// The controllers' durable decisions in one process: what the operators' files switch on of releases and
// models, with its questions to the state service.
#pragma once

#include "oxbowmill/config/config.h"
#include "oxbowmill/release_calendar/release_coordinator.h"
#include "oxbowmill/serving/model_autoscaler.h"
#include "oxbowmill/state/store.h"

namespace oxbowmill::service {

class DecisionService {
 public:
  /// Registers itself as the model's counsel. `now`: seconds, steady.
  DecisionService(ClusterState& model, Scheduler& scheduler, state::Store& store,
                  const config::Config& config, const std::function<double()>& now);
  ~DecisionService();
  /// Before the scheduler's pass, so that decisions made here are known to it; under full authority.
  void run_cycle(Clock clock, Effects& out);
  /// A newer calendar file.
  void load(release_calendar::ReleaseCalendar calendar);

 private:
  ClusterState& state_;
  decisions::DecisionLog decision_log_;
  decisions::CombinedConstraints constraints_;
  release_calendar::ReleaseCoordinator planner_;
  serving::ModelAutoscaler model_autoscaler_;
};

}  // namespace oxbowmill::service
