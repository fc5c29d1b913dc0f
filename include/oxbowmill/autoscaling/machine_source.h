// Machines from elsewhere than the platform's cloud, as the fleet sees them.
#pragma once

#include <limits>
#include <vector>

#include "oxbowmill/scheduling/queue_order.h"

namespace oxbowmill {

struct Effects;

/// Room that a job lacks, after all that is there, booting or asked for.
struct UnmetDemand {
  JobIndex job;
  PartitionIndex partition;
  Priority priority = Priority::normal;
  bool guaranteed = false;  // within its team's guarantee
  bool spot = false;        // spot machines are allowed
  std::uint32_t tasks = 0;
  std::vector<std::uint32_t>
      tasks_per_machine;        // by type: how many tasks a machine holds, 0 where not allowed
  ZoneIndex zone;               // the only allowed one; none: any
  Seconds estimated_run_s = 0;  // estimate
  Seconds slack_s = std::numeric_limits<double>::infinity();  // until a machine must be up to be in time
  Seconds waited_s = 0;
};

/// What the platform's cloud offers at its posted price.
struct CloudOffer {
  TypeIndex type;
  ZoneIndex zone;
  bool spot = false;
  double price = 0;  // per hour
  Seconds ready_s = 0;
  std::uint32_t max_machines = 0;  // machines that it has not lately refused
};

class MachineSource {
 public:
  virtual ~MachineSource() = default;
  struct ExpectedMachines {
    TypeIndex type;
    ZoneIndex zone;
    bool spot = false;
    std::uint32_t machines = 0;
    Seconds wait_s = 0;
  };
  /// Machines for this part that have been bid for and can still be counted on.
  virtual std::vector<ExpectedMachines> expected(PartitionIndex partition, Seconds now) const = 0;
  /// Buys for these needs, and says for how many tasks of each the cloud is to be asked.
  virtual std::vector<std::uint32_t> plan(const std::vector<UnmetDemand>& needs,
                                          const std::vector<CloudOffer>& cloud, Clock clock,
                                          Effects& out) = 0;
  /// Machines marked as to be returned, with nothing on them.
  virtual void release(const std::vector<MachineIndex>& machines, Seconds now) = 0;
};

}  // namespace oxbowmill
