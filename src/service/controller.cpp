#include "oxbowmill/service/controller.h"

#include <spdlog/spdlog.h>

#include <chrono>

namespace oxbowmill::service {

namespace {
std::unique_ptr<reconciliation::Reconciler> make_reconciler(const config::Config& config,
                                                            const ClusterState& state,
                                                            const Scheduler& scheduler) {
  if (!config.recovery.enabled) return nullptr;
  return std::make_unique<reconciliation::Reconciler>(state, scheduler, config.recovery);
}

/// File descriptor number from which connections are closed after their response. An eighth of the socket
/// limit stays free for new connections and for the controller's own calls.
int keep_alive_limit(int socket_limit) {
  return socket_limit * 7 / 8;
}
}  // namespace

double Controller::now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
double Controller::wall_time() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Controller::Controller(event_base* base, config::Config config)
    : config_(std::move(config)),
      state_(config_.settings, config_.names),
      lease_(state_.settings),
      scheduler_(state_, lease_),
      autoscaler_(state_, scheduler_),
      store_(base, config_.state_service, state_.settings, &Controller::now),
      replica_(base, store_, state_, scheduler_, lease_, &Controller::now),
      submission_service_(store_, state_, malformed_messages_, &Controller::wall_time),
      reconciler_(make_reconciler(config_, state_, scheduler_)),
      decision_service_(state_, scheduler_, store_, config_, &Controller::now),
      cloud_client_(base, config_.cloud, state_, autoscaler_, malformed_messages_, &Controller::now),
      catalog_updater_(cloud_client_, store_, state_, scheduler_, &Controller::now),
      lease_keeper_(store_, lease_, state_, &Controller::now),
      partition_claimer_(store_, replica_, state_, lease_, &Controller::now),
      effect_sender_(base, store_, replica_, state_, scheduler_, submission_service_, cloud_client_,
                     &Controller::now),
      peer_status_exchange_(state_, scheduler_, store_, reconciler_.get(), &Controller::now),
      tick_timer_(base, [this] { tick(); }),
      peers_(base, config_, malformed_messages_, &Controller::now,
             [this] { return peer_status_exchange_.make_update(); }),
      report_relay_(peers_, &Controller::now),
      report_handler_(replica_, lease_, scheduler_, reconciler_.get(), report_relay_, malformed_messages_,
                      &Controller::clock),
      request_router_(submission_service_, report_handler_, [this] { return is_ready(); }) {
  connect_parts();
  if (config_.markets.enabled())
    market_service_ =
        std::make_unique<MarketService>(base, state_, scheduler_, autoscaler_, config_.markets,
                                        malformed_messages_, &Controller::now, &Controller::wall_time);
  server_ = std::make_unique<net::HttpServer>(
      base, config_.bind, wire::max_body_size,
      [this](net::Request&& request) { request_router_.on_request(request); });
  SPDLOG_INFO("listening on {} for users and agents, on {} for controllers",
              net::to_string(server_->address()), net::to_string(peers_.address()));
  if (state_.settings.socket_limit > 0)
    server_->keep_alive_below(keep_alive_limit(state_.settings.socket_limit));
  partition_claimer_.start();
  replica_.start();
  tick_timer_.schedule(0);
}

void Controller::connect_parts() {
  peers_.on_revision = [this](Revision revision) { replica_.on_revision_hint(revision); };
  peers_.on_unreachable_zone = [this](const std::string& zone) {
    peer_status_exchange_.on_unreachable_zone(zone);
  };
  peers_.on_update = [this](const PeerUpdate& update) { peer_status_exchange_.on_update(update); };
  peers_.on_relayed = [this](const net::Request& request) {
    report_handler_.on_report(request, ReportOrigin::peer);
  };
  if (reconciler_) {
    reconciler_->on_phase_change = [this] { peers_.publish_soon(); };
    scheduler_.set_recovery_admission(reconciler_.get());
    autoscaler_.set_recovery_admission(reconciler_.get());
  }
  submission_service_.on_write = [this](Revision revision) {
    peer_status_exchange_.on_committed(revision);
    replica_.on_revision_hint(revision);
    peers_.publish_soon();
  };
  submission_service_.is_ready = [this] { return is_ready(); };
  submission_service_.when_replica_current = [this](std::function<void(bool)> on_done) {
    replica_.when_current(std::move(on_done));
  };
  replica_.on_catalog = [this](const wire::Json& body) { catalog_updater_.on_stored_catalog(body); };
  replica_.on_change = [this] { run_cycle(); };
  lease_keeper_.on_acquiring = [this] { partition_claimer_.reset_registration(); };
  effect_sender_.on_committed = [this](Revision revision) { on_committed(revision); };
}

bool Controller::is_ready() const {
  return replica_.is_live() && state_.catalog_known() &&
         should_serve(now() - store_.last_success_at(), peers_.any_reaches_state_service());
}

void Controller::on_committed(Revision revision) {
  peer_status_exchange_.on_committed(revision);
  peers_.publish_soon();
}

void Controller::tick() {
  tick_timer_.schedule(state_.settings.operator_settings.cycle_interval_s);
  lease_keeper_.maintain();
  if (replica_.is_live()) {
    partition_claimer_.add_previously_owned(lease_keeper_.revoke_previous_leases());
    partition_claimer_.run_cycle();
  }
  catalog_updater_.run_cycle();
  run_cycle();
  cloud_client_.dispatch();
}

void Controller::run_cycle() {
  if (!replica_.is_live()) return;
  Effects effects;
  state_.wall_clock_offset_s = wall_time() - now();
  // Decisions come before the scheduler's cycle, which takes them into account.
  if (lease_.authority(now()) == Authority::full) decision_service_.run_cycle(clock(), effects);
  scheduler_.run_cycle(clock(), effects);
  if (lease_.authority(now()) == Authority::full) run_authoritative_cycle(effects);
  effect_sender_.send(effects);
}

void Controller::run_authoritative_cycle(Effects& effects) {
  if (reconciler_) reconciler_->run_cycle(now());
  autoscaler_.run_cycle(clock(), effects);
  if (market_service_) market_service_->run_cycle(effects);
}

}  // namespace oxbowmill::service
