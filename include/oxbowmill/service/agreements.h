// The controllers' durable decisions in one process: what the operators' files switch on of releases and
// models, with its questions to the state service.
#pragma once

#include "oxbowmill/config/config.h"
#include "oxbowmill/models/keeper.h"
#include "oxbowmill/release/planner.h"
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
  void load(release::ReleaseCalendar calendar);

 private:
  ClusterState& state_;
  accord::DecisionLog decision_log_;
  accord::CombinedConstraints constraints_;
  release::ReleaseCoordinator planner_;
  models::ModelAutoscaler model_autoscaler_;
};

}  // namespace oxbowmill::service
