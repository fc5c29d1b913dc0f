// One controller: sockets, timers and the decisions of core, wired together.
#pragma once

#include "oxbowmill/config/config.h"
#include "oxbowmill/reconciliation/reconciler.h"
#include "oxbowmill/service/decision_service.h"
#include "oxbowmill/service/market_service.h"
#include "oxbowmill/service/peers.h"
#include "oxbowmill/service/submission_service.h"
#include "oxbowmill/service/write_queue.h"

namespace oxbowmill::service {

class Controller {
 public:
  Controller(event_base* base, config::Config config);
  /// A newer calendar file.
  void load_calendar(release_calendar::ReleaseCalendar calendar) {
    decision_service_.load(std::move(calendar));
  }

 private:
  void on_request(net::Request&& request);
  /// `passed_on`: by another node, since the worker cannot reach this one.
  void on_report(const net::Request& request, bool passed_on);
  void relay_report(const std::string& machine, const std::string& owner, const net::Request& request);
  void tick();
  void maintain_lease();
  void acquire_partitions();
  /// Ends what an earlier process of this controller has left in the state service.
  void end_previous_leases();
  PeerUpdate make_peer_update() const;
  void on_peer_update(const PeerUpdate& update);
  void run_cycle();
  void send_write(const Write& write);
  void send_direct_commands(const DirectCommands& commands);
  void send_scale_out(const ScaleOutRequest& request);
  void send_deletes(const std::vector<MachineIndex>& machines);
  void list_machines_page(const std::string& from, const std::shared_ptr<std::vector<ListedMachine>>& so_far);
  void cloud_call(bool urgent, std::function<void()> fn);
  void dispatch_cloud_calls();
  void fetch_catalog();
  void apply_catalog(const wire::Json& body, bool from_cloud);
  bool ready() const;
  static double now();
  static double wall_time();
  Clock clock() const { return {now(), wall_time()}; }

  event_base* base_;
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
  net::HttpClient cloud_;
  TokenBucket cloud_rate_limit_;
  std::deque<std::function<void()>> cloud_urgent_, cloud_background_;
  unsigned cloud_turn_ = 0;
  WriteQueue write_queue_;
  std::unordered_map<std::uint32_t, double> acquire_at_;  // by part: when to try
  std::set<std::uint32_t> previously_owned_partitions_;  // held by this node's earlier process until just now
  net::Timer tick_timer_;
  double next_renewal_at_ = 0, next_catalog_at_ = 0, next_registration_at_ = 0;
  double started_at_ = 0;
  bool renewing_ = false, previous_leases_ended_ = false, catalog_stored_ = false;
  Revision last_written_revision_ = 0;          // highest that an own transaction got
  void log_malformed(const std::string& what);  // logged once per sender and kind
  std::set<std::string> reported_malformed_;
  struct RelayedMachine {
    double since = 0, last = 0;
  };
  std::unordered_map<std::string, RelayedMachine>
      relayed_machines_;  // machines whose reports went on to their owner
  Peers peers_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace oxbowmill::service
