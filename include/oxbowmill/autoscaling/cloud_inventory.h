// The cloud's list of machines, compared with the records. Owns when the list is due, whether one is under
// way and since when machines without a record have been listed. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/autoscaling/machine_adoption.h"

namespace oxbowmill {

/// One entry of the cloud's list of machines.
struct ListedMachine {
  std::string name;     ///< the cloud's name of the machine
  std::string address;  ///< where its agent can be reached; may be empty
  std::string type;     ///< name of its machine type
  std::string zone;     ///< name of its zone
  bool spot = false;    ///< a spot machine
  /// Life cycle as the cloud reports it.
  enum class Phase : std::uint8_t {
    starting,  ///< booting
    running,   ///< up
    failed,    ///< broken: it never comes back
  };
  Phase phase = Phase::running;  ///< as of the list, which may lag
  double age_s = 0;              ///< since its creation
};

}  // namespace oxbowmill

namespace oxbowmill::autoscaling {

/// Asks for the list at intervals; adopts listed machines without a record, and marks recorded machines as
/// failed that are listed so or are missing for longer than any list lags.
class CloudInventory {
 public:
  /// All outlive this object.
  CloudInventory(const Environment& environment, const DeletionTracker& deletions, MachineAdoption& adoption)
      : environment_(environment), deletions_(deletions), adoption_(adoption) {}

  /// Asks for a list when one is due and none is under way.
  void request_list(Seconds now, Effects& out);
  /// Compares a complete list with the records.
  void on_listed(const std::vector<ListedMachine>& machines, Seconds now);
  /// The list under way failed; the next is asked for at its usual time.
  void on_list_failed() { listing_ = false; }

 private:
  void update_recorded(MachineIndex machine_index, const ListedMachine& listed_machine);
  void adopt_unrecorded(const ListedMachine& listed_machine);
  void mark_missing_as_failed(const std::set<MachineIndex>& listed, Seconds now);

  const Environment& environment_;
  const DeletionTracker& deletions_;
  MachineAdoption& adoption_;
  std::map<std::string, Seconds> unrecorded_since_;  // first listed without a record, by name
  Seconds next_list_at_ = 0, listing_since_ = 0;
  bool listing_ = false;
};

}  // namespace oxbowmill::autoscaling
