// Interface through which the autoscaler gets machines from sources other than the platform's cloud. Markets
// implement it. Also defines the types of its arguments and results. Stateless.
#pragma once

#include <limits>
#include <vector>

#include "oxbowmill/scheduling/queue_order.h"

namespace oxbowmill {

struct Effects;

/// Demand of a job that existing, booting and requested machines cannot serve.
struct UnmetDemand {
  JobIndex job;                          ///< the waiting job
  PartitionIndex partition;              ///< its partition
  Priority priority = Priority::normal;  ///< its priority
  bool guaranteed = false;               ///< whether the job is within its team's guarantee
  bool spot = false;                     ///< whether spot machines are allowed
  std::uint32_t tasks = 0;               ///< tasks without a machine
  /// By machine type: how many tasks a machine can run; 0 if the job does not allow the type.
  std::vector<std::uint32_t> tasks_per_machine;
  ZoneIndex zone;               ///< the only allowed zone; any zone if invalid
  Seconds estimated_run_s = 0;  ///< the user's estimate of a task's run time
  /// Time until a machine must be up for the job to meet its deadline; infinite without a deadline.
  Seconds slack_s = std::numeric_limits<double>::infinity();
  Seconds waited_s = 0;  ///< time since this controller first saw the job
};

/// Machines of one kind that the platform's cloud offers at its posted price.
struct CloudOffer {
  TypeIndex type;                  ///< machine type
  ZoneIndex zone;                  ///< where it boots
  bool spot = false;               ///< whether it is a spot machine
  double price = 0;                ///< per machine and hour
  Seconds ready_s = 0;             ///< time until a machine is up
  std::uint32_t max_machines = 0;  ///< limit on the machines of one request
};

/// A source of machines other than the cloud. Called by the leader's autoscaler only.
class MachineSource {
 public:
  virtual ~MachineSource() = default;
  /// Machines of one kind that have been bought and not yet delivered.
  struct ExpectedMachines {
    TypeIndex type;              ///< machine type
    ZoneIndex zone;              ///< where they will be
    bool spot = false;           ///< whether they are spot machines
    std::uint32_t machines = 0;  ///< how many
    Seconds wait_s = 0;          ///< time until they are up
  };
  /// Machines for this partition that have been bid for and can still be relied on.
  virtual std::vector<ExpectedMachines> expected(PartitionIndex partition, Seconds now) const = 0;
  /// Buys machines for these demands. Returns, for each demand, the number of tasks to request machines for
  /// from the cloud.
  virtual std::vector<std::uint32_t> plan(const std::vector<UnmetDemand>& demands,
                                          const std::vector<CloudOffer>& cloud_offers, Clock clock,
                                          Effects& out) = 0;
  /// Returns machines that are marked for deletion to their markets. Tasks may still be on suspected ones.
  virtual void release(const std::vector<MachineIndex>& machines, Seconds now) = 0;
};

}  // namespace oxbowmill
