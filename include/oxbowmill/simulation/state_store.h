// Simulated state service without sockets: keys with revisions, guarded transactions, leases and a log of
// changes. It owns all of them; times are in seconds on the caller's clock. One thread.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace oxbowmill::simulation {

using Json = nlohmann::json;

/// The stored state. All operations are atomic.
class StateStore {
 public:
  std::size_t txn_ops = 12;        ///< most changes of one transaction; four times as many guards
  std::size_t value_bytes = 4096;  ///< largest value, in bytes of JSON text
  /// A live key.
  struct Entry {
    Json value;                  ///< as it was written
    std::uint64_t revision = 0,  ///< of its last change
        lease_id = 0;            ///< lease that it is attached to; 0: none
  };
  /// A change of one key.
  struct Event {
    std::uint64_t revision = 0;  ///< of the change
    std::string key;             ///< that changed
    std::optional<Json> value;   ///< none: deleted
  };
  /// Response to a transaction.
  struct Result {
    int status = 200;  ///< HTTP status
    Json body;         ///< with the store's revision on 200 and 409
  };

  /// Executes a transaction: 200 applied, 409 a guard failed, 400 too large or no such lease, 503 during an
  /// outage.
  Result txn(const Json& body);
  /// A new lease of `life_s` seconds; returns its id.
  std::uint64_t grant_lease(double life_s, double now);
  /// Extends the lease by its life from now; false where it has expired, and during an outage.
  bool renew_lease(std::uint64_t id, double now);
  /// Ends the lease and deletes the keys attached to it.
  void revoke_lease(std::uint64_t id);
  /// Ends the leases whose time is over; none ends during an outage.
  void expire_leases(double now);
  /// While on, transactions and renewals fail. At its end each lease has its full life again.
  void set_outage(bool on, double now);
  /// Whether an outage is on.
  bool outage() const { return outage_; }
  /// Of the last change.
  std::uint64_t revision() const { return revision_; }
  /// All live keys.
  const std::map<std::string, Entry>& keys() const { return keys_; }
  /// Changes since the start, or since `take_events`.
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
