#include "oxbowmill/service/agreements.h"

#include <spdlog/spdlog.h>

namespace oxbowmill::service {

namespace {
constexpr double decisions_share = 0.05;  // of the changes a second, for all decisions together
}

Agreements::Agreements(Model& model, Scheduler& scheduler, state::Store& store, const config::Config& config,
                       const std::function<double()>& now)
    : model_(model),
      desk_(model, scheduler, decisions_share),
      planner_(model, desk_, scheduler, config.skew_s),
      keeper_(model, desk_, scheduler, config.models) {
  planner_.load(config.calendar);
  // A controller without a file of its own still holds what the shared state says is paired.
  council_.add(&planner_);
  if (!config.models.empty()) council_.add(&keeper_);
  planner_.ask = [this, &store, now](const std::string& ref) {
    store.get(state::final_key(ref), Urgency::rest, [this, ref, now](const state::StoreAnswer& a) {
      if (a.status == 404) return planner_.on_final(ref, std::nullopt, now());
      auto phase =
          a.status == 200 && a.body.contains("value") ? state::read_phase(a.body["value"]) : std::nullopt;
      if (!phase) return planner_.on_no_answer(ref);
      planner_.on_final(ref, *phase, now());
    });
  };
  model_.counsel = &council_;
}

Agreements::~Agreements() {
  model_.counsel = nullptr;
}

void Agreements::pass(Clock clock, Effects& out) {
  planner_.pass(clock, out);
  keeper_.pass(clock, out);
}

void Agreements::load(release::Calendar calendar) {
  std::uint64_t version = calendar.version;
  if (planner_.load(std::move(calendar))) {
    SPDLOG_INFO("calendar of version {} read", version);
  } else {
    SPDLOG_ERROR("calendar of version {} is older than the one that is known: not taken", version);
  }
}

}  // namespace oxbowmill::service
