// Durable records through which controllers coordinate: owners of partitions, registrations of controllers
// and decisions. Plain data.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace oxbowmill {

/// Lease id of a key that is attached to no lease.
constexpr std::uint64_t no_lease = 0;

/// A durable decision (docs/decisions.md). Its kind defines the possible states and what the other fields
/// mean.
struct DecisionRecord {
  std::string state;                            ///< current state in the kind's state machine
  std::uint64_t version = 0;                    ///< version of the operators' file under which it was made
  std::uint64_t epoch = 0;                      ///< round through the kind's states; never decreases
  std::uint64_t sequence = 0;                   ///< number of changes of the record
  double changed_at = 0;                        ///< time of day of the last change of state or epoch
  std::string reason;                           ///< explanation for people
  std::map<std::string, std::uint64_t> counts;  ///< numbers that the kind defines, by name
  std::map<std::string, std::string> notes;     ///< texts that the kind defines, by name
};

/// A controller and its lease. Under a partition's key it is the partition's owner, under a controller's key
/// the controller's registration.
struct OwnershipRecord {
  std::string controller;             ///< name of the controller
  std::uint64_t lease_id = no_lease;  ///< the controller's lease; the record is deleted when it ends
};

}  // namespace oxbowmill
