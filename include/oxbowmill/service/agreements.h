// The controllers' durable decisions in one process: what the operators' files switch on of releases and
// models, with its questions to the state service.
#pragma once

#include "oxbowmill/config/config.h"
#include "oxbowmill/models/keeper.h"
#include "oxbowmill/release/planner.h"
#include "oxbowmill/state/store.h"

namespace oxbowmill::service {

class Agreements {
 public:
  /// Registers itself as the model's counsel. `now`: seconds, steady.
  Agreements(Model& model, Scheduler& scheduler, state::Store& store, const config::Config& config,
             const std::function<double()>& now);
  ~Agreements();
  /// Before the scheduler's pass, so that decisions made here are known to it; under full authority.
  void pass(Clock clock, Effects& out);
  /// A newer calendar file.
  void load(release::Calendar calendar);

 private:
  Model& model_;
  accord::Desk desk_;
  accord::Council council_;
  release::Planner planner_;
  models::Keeper keeper_;
};

}  // namespace oxbowmill::service
