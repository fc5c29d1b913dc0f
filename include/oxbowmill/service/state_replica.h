// Keeps the cluster state in sync with the live keys of the state service: lists them once, then follows the
// watch. Owns the revision of each key that has been applied. Event loop thread only.
#pragma once

#include <set>
#include <unordered_map>

#include "oxbowmill/lease/controller_lease.h"
#include "oxbowmill/service/replica_freshness.h"
#include "oxbowmill/service/replica_readers.h"
#include "oxbowmill/state/responses.h"
#include "oxbowmill/state/store.h"

namespace oxbowmill::service {

/// The only class that applies records of the state service to the cluster state. The changes of each key are
/// applied in the order of their revisions, whether from a listing, a watch or a transaction of this
/// controller.
class StateReplica {
 public:
  /// `clock` returns the steady time in seconds. The store must not call back after destruction.
  StateReplica(event_base* base, state::Store& store, ClusterState& state, Scheduler& scheduler,
               ControllerLease& lease, std::function<double()> clock);
  /// Starts to list all keys, and follows the watch from the revision of the listing.
  void start();
  /// Whether all keys have been listed and the watch is being followed.
  bool is_live() const { return freshness_.is_live(); }
  /// Applies a transaction that this controller committed at this revision, ahead of the watch.
  void apply_own_write(const std::vector<std::pair<std::string, Change>>& changes, Revision revision);
  /// Takes the hint that the state service has reached this revision. If it is newer than the replica and
  /// this controller owns a partition, the next watch is sent earlier.
  void on_revision_hint(Revision revision);
  /// Calls `on_done` with true when the replica holds everything that the state service holds at the time of
  /// this call. Calls it with false, possibly at once, if waiting would take longer than a read by the
  /// caller, or if the watch fails.
  void when_current(FreshnessHandler on_done);
  /// Called with the copy of the catalog when it was read.
  std::function<void(const wire::Json&)> on_catalog;
  /// Called after a watch has returned changes and they have been applied.
  std::function<void()> on_change;

 private:
  void request_page(const std::string& last_key);
  void on_page(const state::StoreResponse& response);
  void on_listing_finished();
  void watch();
  void on_watch_response(const state::StoreResponse& response);
  /// Applies an event of the open watch, unless one before it was unreadable.
  void apply_event(const wire::Json& event);
  /// The revision of a watch response, all of whose events have been applied. Empty if the response or an
  /// event cannot be read; the events from that one on must then be asked for again.
  std::optional<Revision> watched_revision(const wire::Json& body) const;
  void publish_freshness();
  void forget_confirmed_removals();
  void schedule_watch();
  /// Returns whether a change of this revision is newer than what has been applied to the key, and if so
  /// records it as applied.
  bool accept_revision(const std::string& key, Revision revision, bool is_removal);
  void apply_update(const state::KeyUpdate& update);

  /// What is known of the events of the open watch.
  struct WatchProgress {
    bool has_changes = false, has_unreadable_event = false;
  };

  state::Store& store_;
  ClusterState& state_;
  Scheduler& scheduler_;
  ControllerLease& lease_;
  std::function<double()> clock_;
  net::Timer retry_timer_;
  ReplicaFreshness freshness_;
  ReplicaReaders readers_;
  std::set<std::string> listed_keys_;                               // of the listing in progress
  std::unordered_map<std::string, Revision> revisions_;             // by existing key; the applied revision
  std::unordered_map<std::string, Revision> unconfirmed_removals_;  // by key; not yet seen on the watch
  WatchProgress watch_progress_;
  double last_watch_at_ = 0;
  bool is_long_polling_ = false;  // the state service may hold the open watch until something changes
};

}  // namespace oxbowmill::service
