// Compares the cloud's list of machines with the machine records. Owns the schedule of the list requests, the
// state of the one in flight, and since when each machine without a record has been listed. Not thread-safe.
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
  bool spot = false;    ///< whether it is a spot machine
  /// Life cycle as the cloud reports it.
  enum class Phase : std::uint8_t {
    starting,  ///< booting
    running,   ///< up
    failed,    ///< permanently broken
  };
  Phase phase = Phase::running;  ///< as of the list, which may lag behind
  double age_s = 0;              ///< seconds since its creation
};

}  // namespace oxbowmill

namespace oxbowmill::autoscaling {

/// Requests the list periodically, adopts listed machines that have no record, and marks recorded machines as
/// failed if they are listed as failed. Booted machines of the cloud are also marked as failed if they are
/// not listed and have been known for several times the list's lag.
class CloudInventory {
 public:
  /// All arguments must outlive this object.
  CloudInventory(const Environment& environment, const DeletionTracker& deletions, MachineAdoption& adoption)
      : environment_(environment), deletions_(deletions), adoption_(adoption) {}

  /// Requests a list if one is due and no request is in flight or the one in flight has timed out.
  void request_list(Seconds now, Effects& out);
  /// Compares a complete list with the records.
  void on_listed(const std::vector<ListedMachine>& machines, Seconds now);
  /// Handles the failure of the request in flight. The next one follows at its regular time.
  void on_list_failed() { is_list_in_flight_ = false; }

 private:
  void update_recorded(MachineIndex machine_index, const ListedMachine& listed_machine);
  void adopt_unrecorded(const ListedMachine& listed_machine);
  void mark_missing_as_failed(const std::set<MachineIndex>& listed, Seconds now);

  const Environment& environment_;
  const DeletionTracker& deletions_;
  MachineAdoption& adoption_;
  std::map<std::string, Seconds> unrecorded_since_;  // by machine name; first listed without a record at
  Seconds next_list_at_ = 0, list_requested_at_ = 0;
  bool is_list_in_flight_ = false;
};

}  // namespace oxbowmill::autoscaling
