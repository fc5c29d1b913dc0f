// Takes all tasks off one machine. Owns nothing but references; pure.
#pragma once

#include "oxbowmill/scheduling/gang_controller.h"

namespace oxbowmill {

/// Ends the tasks of a machine, each by the proof or the reason that the caller has.
class MachineEvictor {
 public:
  /// Both must outlive this object.
  MachineEvictor(ClusterState& state, GangController& gangs) : state_(state), gangs_(gangs) {}

  /// Nothing runs on the machine any more, by whatever proof: its tasks are terminated.
  void mark_empty(MachineIndex machine_index, Seconds now);
  /// Stops all tasks there, with time to save their progress, and the gangs that they belong to.
  void stop_all(MachineIndex machine_index, Seconds now);
  /// Stops all tasks of a machine that was handed over and has not arrived: they were never sent.
  void stop_unsent(MachineIndex machine_index, Seconds now);
  /// Terminates the tasks of which no start was sent, so that they are placed elsewhere.
  void terminate_unsent(MachineIndex machine_index, Seconds now);
  /// Some task may still run on the machine.
  bool may_run_tasks(const Machine& machine) const;

 private:
  ClusterState& state_;
  GangController& gangs_;
};

}  // namespace oxbowmill
