// Keeps the tables equal to the live keys of the state service: lists them once, then follows the watch.
#pragma once

#include <deque>
#include <set>
#include <unordered_map>

#include "oxbowmill/lease/controller_lease.h"
#include "oxbowmill/service/replica_freshness.h"
#include "oxbowmill/state/store.h"

namespace oxbowmill::service {

class StateReplica {
 public:
  StateReplica(event_base* base, state::Store& store, ClusterState& model, Scheduler& scheduler,
               ControllerLease& lease, std::function<double()> now);
  void start();
  bool is_live() const { return freshness_.is_live(); }
  /// Own transaction, known to be applied at this revision.
  void apply_own_write(const std::vector<std::pair<std::string, Change>>& changes, Revision revision);
  /// There is news up to this revision: the next watch is opened without delay.
  void on_revision_hint(Revision revision);
  /// Calls `fn` once the tables hold everything that the state service held at this moment or later: many
  /// readers share one watch that is opened after they came. False where that would take longer than a read
  /// of one's own, or no answer came: nothing is known then.
  void when_current(std::function<void(bool)> on_done);
  std::function<void(const wire::Json&)> on_catalog;
  std::function<void()> on_change;

 private:
  void list_from(const std::string& from);
  void watch();
  bool accept_revision(const std::string& key, Revision revision, bool removal);
  void apply_key(const std::string& key, const wire::Json* value, Revision revision);
  bool is_read_often() const;
  void time_out_readers();

  state::Store& store_;
  ClusterState& state_;
  Scheduler& scheduler_;
  ControllerLease& lease_;
  std::function<double()> clock_;
  net::Timer retry_timer_;
  ReplicaFreshness freshness_;
  std::set<std::string> listed_keys_;
  std::unordered_map<std::string, Revision> revisions_;
  std::unordered_map<std::string, Revision>
      unconfirmed_removals_;  // removals that the watch has yet to confirm
  double last_watch_at_ = 0;
  struct Reader {
    std::function<void(bool)> on_done;
    double since = 0;
  };
  std::deque<Reader> waiting_readers_;       // for the next watch to be opened
  std::deque<Reader> watching_readers_;      // on the one that is open
  double read_rate_ = 0, read_rate_at_ = 0;  // of late, decaying
  bool long_polling_ = false;                // the open watch may wait for news
  net::Timer reader_timer_;
};

}  // namespace oxbowmill::service
