// One controller: sockets, timers and the decisions of core, wired together.
#pragma once

#include "oxbowmill/config/config.h"
#include "oxbowmill/recovery/start.h"
#include "oxbowmill/service/agreements.h"
#include "oxbowmill/service/intake.h"
#include "oxbowmill/service/outbox.h"
#include "oxbowmill/service/peers.h"
#include "oxbowmill/service/trading.h"

namespace oxbowmill::service {

class Node {
 public:
  Node(event_base* base, config::Config config);
  /// A newer calendar file.
  void load_calendar(release::Calendar calendar) { agreements_.load(std::move(calendar)); }

 private:
  void on_request(net::Request&& r);
  /// `passed_on`: by another node, since the worker cannot reach this one.
  void on_report(const net::Request& r, bool passed_on);
  void pass_on(const std::string& machine, const std::string& owner, const net::Request& r);
  void tick();
  void tend_hold();
  void claim_parts();
  /// Ends what an earlier process of this controller has left in the state service.
  void end_own_past();
  PeerNews news() const;
  void heard_news(const PeerNews& n);
  void run_pass();
  void send_write(const Write& w);
  void send_direct(const DirectOrders& d);
  void send_rent(const RentOrder& r);
  void send_deletes(const std::vector<MachineIndex>& machines);
  void list_page(const std::string& from, const std::shared_ptr<std::vector<ListedMachine>>& so_far);
  void cloud_call(bool urgent, std::function<void()> fn);
  void pump_cloud();
  void fetch_catalog();
  void take_catalog(const wire::Json& body, bool from_cloud);
  bool ready() const;
  static double now();
  static double wall();
  Clock clock() const { return {now(), wall()}; }

  event_base* base_;
  config::Config config_;
  Model model_;
  Hold hold_;
  Scheduler scheduler_;
  Fleet fleet_;
  state::Store store_;
  Mirror mirror_;
  Intake intake_;
  std::unique_ptr<recovery::Start> start_;  // null unless switched on
  Agreements agreements_;
  std::unique_ptr<Trading> trading_;  // null without markets
  net::HttpClient cloud_;
  TokenBucket cloud_bucket_;
  std::deque<std::function<void()>> cloud_urgent_, cloud_rest_;
  unsigned cloud_turn_ = 0;
  Outbox outbox_;
  std::unordered_map<std::uint32_t, double> claim_at_;  // by part: when to try
  std::set<std::uint32_t> past_parts_;                  // held by this node's earlier process until just now
  net::Timer tick_;
  double next_renew_ = 0, next_catalog_ = 0, next_registration_ = 0;
  double started_at_ = 0;
  bool renewing_ = false, past_ended_ = false, catalog_stored_ = false;
  Stamp known_revision_ = 0;                // highest that an own transaction got
  void malformed(const std::string& what);  // logged once per sender and kind
  std::set<std::string> bad_senders_;
  struct PassedOn {
    double since = 0, last = 0;
  };
  std::unordered_map<std::string, PassedOn> passing_on_;  // machines whose reports went on to their owner
  Peers peers_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace oxbowmill::service
