// A controller process. Connects the scheduler and the autoscaler with the state service, the cloud, markets,
// peers and clients, and runs the scheduling cycle. All parts run in the thread of one event loop.
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

/// Owns the cluster state and all parts of the process. Must not be destroyed while its event loop runs.
class Controller {
 public:
  /// Binds its ports, and reads the state service once the event loop runs. Throws if a port cannot be bound.
  Controller(event_base* base, config::Config config);
  /// Replaces the release calendar, unless the new one is older than the current one.
  void load_calendar(release_calendar::ReleaseCalendar calendar) {
    decision_service_.load(std::move(calendar));
  }

 private:
  void connect_parts();
  void tick();
  void run_cycle();
  /// The steps of a cycle that follow the scheduler's and require full authority.
  void run_authoritative_cycle(Effects& effects);
  /// Whether this controller should receive users' requests.
  bool is_ready() const;
  void on_committed(Revision revision);
  static double now();
  static double wall_time();
  static Clock clock() { return {now(), wall_time()}; }

  // Declaration order matters: members hold references to members declared above them.
  config::Config config_;
  ClusterState state_;
  ControllerLease lease_;
  Scheduler scheduler_;
  Autoscaler autoscaler_;
  state::Store store_;
  StateReplica replica_;
  MalformedMessageLog malformed_messages_;
  SubmissionService submission_service_;
  std::unique_ptr<reconciliation::Reconciler> reconciler_;  // null if reconciliation is off
  DecisionService decision_service_;
  std::unique_ptr<MarketService> market_service_;  // null if no markets are configured
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
