// One controller process: composes the parts of the service with the scheduler, the autoscaler and the
// sockets, and runs the cycle. Everything runs in the thread of one event loop, and each part calls the
// others only from there.
#pragma once

#include "oxbowmill/config/config.h"
#include "oxbowmill/service/catalog_updater.h"
#include "oxbowmill/service/decision_service.h"
#include "oxbowmill/service/effect_sender.h"
#include "oxbowmill/service/lease_keeper.h"
#include "oxbowmill/service/market_service.h"
#include "oxbowmill/service/partition_claimer.h"
#include "oxbowmill/service/peer_status_exchange.h"
#include "oxbowmill/service/request_router.h"

namespace oxbowmill::service {

/// Owns the cluster state and all parts of the process. It must be destroyed only when its event loop no
/// longer runs.
class Controller {
 public:
  /// Binds its ports and starts reading the state service once the loop runs. Throws if a port cannot be
  /// bound.
  Controller(event_base* base, config::Config config);
  /// Replaces the release calendar, unless it is older than the present one.
  void load_calendar(release_calendar::ReleaseCalendar calendar) {
    decision_service_.load(std::move(calendar));
  }

 private:
  void connect_parts();
  void tick();
  void run_cycle();
  /// The work of a cycle that only a controller with full authority may do after the scheduler's.
  void run_authoritative_cycle(Effects& effects);
  /// Whether users' requests should come here.
  bool is_ready() const;
  void on_committed(Revision revision);
  static double now();
  static double wall_time();
  static Clock clock() { return {now(), wall_time()}; }

  // Members refer to those above them.
  config::Config config_;
  ClusterState state_;
  ControllerLease lease_;
  Scheduler scheduler_;
  Autoscaler autoscaler_;
  state::Store store_;
  StateReplica replica_;
  SubmissionService submission_service_;
  std::unique_ptr<reconciliation::Reconciler> reconciler_;  // null unless switched on
  DecisionService decision_service_;
  std::unique_ptr<MarketService> market_service_;  // null without markets
  MalformedMessageLog malformed_messages_;
  CloudClient cloud_client_;
  CatalogUpdater catalog_updater_;
  LeaseKeeper lease_keeper_;
  PartitionClaimer partition_claimer_;
  EffectSender effect_sender_;
  PeerStatusExchange peer_status_exchange_;
  net::Timer tick_timer_;
  Peers peers_;
  ReportRelay report_relay_;
  ReportHandler report_handler_;
  RequestRouter request_router_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace oxbowmill::service
