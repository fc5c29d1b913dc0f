// Simulated state service without sockets. It owns the keys with their revisions, the leases and a log of
// changes, and executes guarded transactions. Times are in seconds on the caller's clock. For use by one
// thread.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace oxbowmill::simulation {

using Json = nlohmann::json;

/// The state of the state service. All operations are atomic.
class StateStore {
 public:
  std::size_t txn_ops = 12;        ///< most changes in one transaction; it may have four times as many guards
  std::size_t value_bytes = 4096;  ///< largest value, in bytes of JSON text
  /// A live key.
  struct Entry {
    Json value;                  ///< the value as written
    std::uint64_t revision = 0,  ///< revision of the last change of the key
        lease_id = 0;            ///< lease to which the key is attached; 0: none
  };
  /// A change of one key.
  struct Event {
    std::uint64_t revision = 0;  ///< revision of the change
    std::string key;             ///< key that changed
    std::optional<Json> value;   ///< new value; none: the key was deleted
  };
  /// The response to a transaction.
  struct Result {
    int status = 200;  ///< HTTP status
    Json body;         ///< contains the store's revision if the status is 200 or 409
  };

  /// Executes a transaction and returns 200 if it was applied, 409 if a guard failed, 400 if it is too large
  /// or names a lease that does not exist, or 503 during an outage.
  Result txn(const Json& body);
  /// Grants a lease of `duration_s` seconds and returns its id.
  std::uint64_t grant_lease(double duration_s, double now);
  /// Renews the lease for its full duration from now. Returns false if it has expired or there is an outage.
  bool renew_lease(std::uint64_t id, double now);
  /// Ends the lease and deletes the keys attached to it.
  void revoke_lease(std::uint64_t id);
  /// Revokes the expired leases; no lease expires during an outage.
  void expire_leases(double now);
  /// Begins or ends an outage, during which transactions and renewals fail. When it ends, each lease gets its
  /// full duration again.
  void set_outage(bool on, double now);
  /// Whether there is an outage.
  bool outage() const { return outage_; }
  /// The revision of the last change.
  std::uint64_t revision() const { return revision_; }
  /// All live keys.
  const std::map<std::string, Entry>& keys() const { return keys_; }
  /// The changes since the start or since the last `take_events`.
  const std::vector<Event>& events() const { return events_; }
  /// Returns the recorded changes and removes them from the log, for a caller that keeps a log of its own.
  std::vector<Event> take_events();

 private:
  void change(const std::string& key, std::optional<Json> value, std::uint64_t lease_id);
  struct Lease {
    double duration_s = 0, expires_at = 0;
  };
  std::uint64_t revision_ = 100, next_lease_id_ = 0;
  std::map<std::string, Entry> keys_;
  std::vector<Event> events_;
  std::map<std::uint64_t, Lease> leases_;
  bool outage_ = false;
};

}  // namespace oxbowmill::simulation
