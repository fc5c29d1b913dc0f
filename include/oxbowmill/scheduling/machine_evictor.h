// Stops or terminates all tasks of one machine. Holds references only; no I/O.
#pragma once

#include "oxbowmill/scheduling/gang_controller.h"

namespace oxbowmill {

/// Ends the tasks of a machine; the caller knows why they have ended or have to end.
class MachineEvictor {
 public:
  /// Both arguments must outlive this object.
  MachineEvictor(ClusterState& state, GangController& gangs) : state_(state), gangs_(gangs) {}

  /// Terminates all tasks of a machine on which nothing runs any more, as the caller has proved.
  void mark_empty(MachineIndex machine_index, Seconds now);
  /// Stops all tasks of the machine, with time to save their progress, and the gangs that they belong to.
  void stop_all(MachineIndex machine_index, Seconds now);
  /// Stops all tasks of a machine that was handed over and has not reported: their starts were never sent.
  void stop_unsent(MachineIndex machine_index, Seconds now);
  /// Terminates the tasks whose start has not been sent or was lost, so that they are placed elsewhere.
  void terminate_unsent(MachineIndex machine_index, Seconds now);
  /// Whether some task may still run on the machine.
  bool may_run_tasks(const Machine& machine) const;

 private:
  ClusterState& state_;
  GangController& gangs_;
};

}  // namespace oxbowmill
