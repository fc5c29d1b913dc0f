// Stand-in for the state service: keys with stamps, guarded transactions, holds and a change log.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace oxbowmill::simulation {

using Json = nlohmann::json;

class StateStore {
 public:
  std::size_t txn_ops = 12;
  std::size_t value_bytes = 4096;
  struct Entry {
    Json value;
    std::uint64_t revision = 0, lease_id = 0;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string key;
    std::optional<Json> value;
  };
  struct Result {
    int status = 200;
    Json body;
  };

  Result txn(const Json& body);
  std::uint64_t grant_lease(double life_s, double now);
  bool renew_lease(std::uint64_t id, double now);
  void revoke_lease(std::uint64_t id);
  /// Ends the holds whose time is over; none ends during an outage.
  void expire_leases(double now);
  void set_outage(bool on, double now);
  bool outage() const { return outage_; }
  std::uint64_t revision() const { return revision_; }
  const std::map<std::string, Entry>& keys() const { return keys_; }
  const std::vector<Event>& events() const { return events_; }
  /// The changes since this was last asked, for whoever keeps them itself.
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
