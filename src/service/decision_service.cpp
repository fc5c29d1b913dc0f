#include "oxbowmill/service/decision_service.h"

#include <spdlog/spdlog.h>

namespace oxbowmill::service {

namespace {
constexpr double decision_rate_fraction = 0.05;  // of the changes a second, for all decisions together
}

DecisionService::DecisionService(ClusterState& model, Scheduler& scheduler, state::Store& store,
                                 const config::Config& config, const std::function<double()>& now)
    : state_(model),
      decision_log_(model, scheduler, decision_rate_fraction),
      planner_(model, decision_log_, scheduler, config.clock_skew_s),
      model_autoscaler_(model, decision_log_, scheduler, config.models) {
  planner_.load(config.calendar);
  // A controller without a file of its own still holds what the shared state says is paired.
  constraints_.add(&planner_);
  if (!config.models.empty()) constraints_.add(&model_autoscaler_);
  planner_.query_final_phase = [this, &store, now](const std::string& ref) {
    store.get(state::final_key(ref), Urgency::other, [this, ref, now](const state::StoreResponse& a) {
      if (a.status == 404) return planner_.on_final_phase(ref, std::nullopt, now());
      auto phase =
          a.status == 200 && a.body.contains("value") ? state::read_phase(a.body["value"]) : std::nullopt;
      if (!phase) return planner_.on_query_failed(ref);
      planner_.on_final_phase(ref, *phase, now());
    });
  };
  state_.constraints = &constraints_;
}

DecisionService::~DecisionService() {
  state_.constraints = nullptr;
}

void DecisionService::run_cycle(Clock clock, Effects& out) {
  planner_.run_cycle(clock, out);
  model_autoscaler_.run_cycle(clock, out);
}

void DecisionService::load(release_calendar::ReleaseCalendar calendar) {
  std::uint64_t version = calendar.version;
  if (planner_.load(std::move(calendar))) {
    SPDLOG_INFO("calendar of version {} read", version);
  } else {
    SPDLOG_ERROR("calendar of version {} is older than the one that is known: not taken", version);
  }
}

}  // namespace oxbowmill::service
