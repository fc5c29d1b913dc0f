#include "oxbowmill/service/decision_service.h"

#include <spdlog/spdlog.h>

#include "oxbowmill/state/responses.h"

namespace oxbowmill::service {

namespace {
// Share of the state service's change limit that all decisions together may use.
constexpr double decision_rate_fraction = 0.05;

/// Reads a job's final phase and passes it to the release coordinator.
void query_final_phase(release_calendar::ReleaseCoordinator& coordinator, state::Store& store,
                       const std::string& ref, const std::function<double()>& clock) {
  store.get(state::final_key(ref), Urgency::other,
            [&coordinator, ref, clock](const state::StoreResponse& response) {
              if (response.status == 404) return coordinator.on_final_phase(ref, std::nullopt, clock());
              auto stored = response.status == 200 ? state::read_key(response.body) : std::nullopt;
              auto phase = stored ? state::read_phase(*stored->value) : std::nullopt;
              if (!phase) return coordinator.on_query_failed(ref);
              coordinator.on_final_phase(ref, *phase, clock());
            });
}
}  // namespace

DecisionService::DecisionService(ClusterState& state, Scheduler& scheduler, state::Store& store,
                                 const config::Config& config, const std::function<double()>& clock)
    : state_(state),
      decision_log_(state, scheduler, decision_rate_fraction),
      release_coordinator_(state, decision_log_, scheduler, config.clock_skew_s),
      model_autoscaler_(state, decision_log_, scheduler, config.models) {
  release_coordinator_.load(config.calendar);
  // A controller without a calendar file still observes the releases in the shared state.
  constraints_.add(&release_coordinator_);
  if (!config.models.empty()) constraints_.add(&model_autoscaler_);
  release_coordinator_.query_final_phase = [this, &store, clock](const std::string& ref) {
    query_final_phase(release_coordinator_, store, ref, clock);
  };
  state_.constraints = &constraints_;
}

DecisionService::~DecisionService() {
  state_.constraints = nullptr;
}

void DecisionService::run_cycle(Clock clock, Effects& out) {
  release_coordinator_.run_cycle(clock, out);
  model_autoscaler_.run_cycle(clock, out);
}

void DecisionService::load(release_calendar::ReleaseCalendar calendar) {
  std::uint64_t version = calendar.version;
  if (release_coordinator_.load(std::move(calendar))) {
    SPDLOG_INFO("release calendar loaded version={}", version);
  } else {
    SPDLOG_ERROR("release calendar rejected as older than the current one version={}", version);
  }
}

}  // namespace oxbowmill::service
