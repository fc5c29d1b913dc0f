// Machines from elsewhere than the platform's cloud, as the autoscaler sees them: the interface that markets
// implement, and what is exchanged over it. Owns no state.
#pragma once

#include <limits>
#include <vector>

#include "oxbowmill/scheduling/queue_order.h"

namespace oxbowmill {

struct Effects;

/// Capacity that a job lacks beyond all machines that are there, booting or requested.
struct UnmetDemand {
  JobIndex job;                          ///< the job that waits
  PartitionIndex partition;              ///< its partition
  Priority priority = Priority::normal;  ///< its priority
  bool guaranteed = false;               ///< within its team's guarantee
  bool spot = false;                     ///< spot machines are allowed
  std::uint32_t tasks = 0;               ///< tasks without a machine
  /// By type: how many tasks a machine holds, 0 where the type is not allowed.
  std::vector<std::uint32_t> tasks_per_machine;
  ZoneIndex zone;               ///< the only allowed one; invalid: any
  Seconds estimated_run_s = 0;  ///< the user's estimate of a task's run time
  /// Until a machine must be up for the job to meet its deadline; infinite without one.
  Seconds slack_s = std::numeric_limits<double>::infinity();
  Seconds waited_s = 0;  ///< since this controller first saw the job
};

/// What the platform's cloud offers at its posted price.
struct CloudOffer {
  TypeIndex type;                  ///< machine type
  ZoneIndex zone;                  ///< where it boots
  bool spot = false;               ///< a spot machine
  double price = 0;                ///< per hour
  Seconds ready_s = 0;             ///< until a machine is up
  std::uint32_t max_machines = 0;  ///< that one request may ask for
};

/// A source of machines besides the cloud. Called by the leader's autoscaler only.
class MachineSource {
 public:
  virtual ~MachineSource() = default;
  /// Machines of one kind that have been bought and not yet delivered.
  struct ExpectedMachines {
    TypeIndex type;              ///< machine type
    ZoneIndex zone;              ///< where they will be
    bool spot = false;           ///< spot machines
    std::uint32_t machines = 0;  ///< how many
    Seconds wait_s = 0;          ///< until they are up
  };
  /// Machines for this partition that have been bid for and can still be counted on.
  virtual std::vector<ExpectedMachines> expected(PartitionIndex partition, Seconds now) const = 0;
  /// Buys for these demands. Returns, for each of them, for how many tasks the cloud is to be asked.
  virtual std::vector<std::uint32_t> plan(const std::vector<UnmetDemand>& needs,
                                          const std::vector<CloudOffer>& cloud, Clock clock,
                                          Effects& out) = 0;
  /// Returns machines that are marked for deletion and have nothing on them to their markets.
  virtual void release(const std::vector<MachineIndex>& machines, Seconds now) = 0;
};

}  // namespace oxbowmill
