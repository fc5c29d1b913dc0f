// Keeps the cluster state equal to the live keys of the state service: lists them once, then follows the
// watch. Owns which revision of each key has been applied. For the event loop's thread.
#pragma once

#include <set>
#include <unordered_map>

#include "oxbowmill/lease/controller_lease.h"
#include "oxbowmill/service/replica_freshness.h"
#include "oxbowmill/service/replica_readers.h"
#include "oxbowmill/state/store.h"

namespace oxbowmill::service {

/// The only writer of the state service's keys into the cluster state. Each key's changes are applied in the
/// order of their revisions, whether they come from a listing, a watch or an own transaction.
class StateReplica {
 public:
  /// `clock`: steady time in seconds. The store must not call back once the replica is gone.
  StateReplica(event_base* base, state::Store& store, ClusterState& state, Scheduler& scheduler,
               ControllerLease& lease, std::function<double()> clock);
  /// Lists all keys, and follows the watch from there.
  void start();
  /// All keys have been listed, and the watch is being followed.
  bool is_live() const { return freshness_.is_live(); }
  /// Applies an own transaction that was committed at this revision, ahead of the watch.
  void apply_own_write(const std::vector<std::pair<std::string, Change>>& changes, Revision revision);
  /// The state service has this revision: if it is a newer one, the next watch is sent without delay.
  void on_revision_hint(Revision revision);
  /// Calls back with true once the replica holds everything that the state service held at this moment, and
  /// with false (perhaps at once) where waiting for that would take longer than the caller's own read, or the
  /// watch failed.
  void when_current(CurrencyHandler on_done);
  /// The catalog's copy was read.
  std::function<void(const wire::Json&)> on_catalog;
  /// The watch brought changes.
  std::function<void()> on_change;

 private:
  void request_page(const std::string& last_key);
  void on_page(const state::StoreResponse& response);
  void on_listing_finished();
  void watch();
  void on_watch_response(const state::StoreResponse& response);
  /// Applies the changes; whether there were any.
  bool apply_events(const wire::Json& body);
  void apply_event(const wire::Json& event);
  void publish_freshness();
  void forget_confirmed_removals();
  void schedule_watch();
  /// Whether a change of this revision is news for the key; notes it if so.
  bool accept_revision(const std::string& key, Revision revision, bool is_removal);
  /// `value` null: the key was removed.
  void apply_key(const std::string& key, const wire::Json* value, Revision revision);

  state::Store& store_;
  ClusterState& state_;
  Scheduler& scheduler_;
  ControllerLease& lease_;
  std::function<double()> clock_;
  net::Timer retry_timer_;
  ReplicaFreshness freshness_;
  ReplicaReaders readers_;
  std::set<std::string> listed_keys_;                               // of the listing under way
  std::unordered_map<std::string, Revision> revisions_;             // applied, by existing key
  std::unordered_map<std::string, Revision> unconfirmed_removals_;  // applied before the watch showed them
  double last_watch_at_ = 0;
  bool long_polling_ = false;  // the open watch may be held open until something changes
};

}  // namespace oxbowmill::service
