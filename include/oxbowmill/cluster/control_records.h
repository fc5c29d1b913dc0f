// Durable records that controllers coordinate by: who owns what, and decisions. Plain data.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace oxbowmill {

/// Lease id of what is attached to no lease.
constexpr std::uint64_t no_lease = 0;

/// A durable decision (docs/decisions.md). Its kind defines what the fields mean; `state` is one of the
/// kind's.
struct DecisionRecord {
  std::string state;                            ///< state of the kind's state machine
  std::uint64_t version = 0;                    ///< of the operators' file that it was made under
  std::uint64_t epoch = 0;                      ///< rounds of the kind's states; never falls
  std::uint64_t sequence = 0;                   ///< counts its changes
  double changed_at = 0;                        ///< time of day of the last change of state
  std::string reason;                           ///< for people
  std::map<std::string, std::uint64_t> counts;  ///< the kind's numbers, by name
  std::map<std::string, std::string> notes;     ///< the kind's texts, by name
};

/// A controller and its lease: in a partition's key its owner, in a controller's key its registration.
struct OwnershipRecord {
  std::string controller;             ///< name of the controller
  std::uint64_t lease_id = no_lease;  ///< its lease of the state service; the record ends with it
};

}  // namespace oxbowmill
