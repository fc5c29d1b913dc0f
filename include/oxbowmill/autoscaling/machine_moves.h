// Moves of machines between partitions. Owns the moves that were decided in the cycle under way; they become
// durable together at its end. Not thread-safe.
#pragma once

#include <vector>

#include "oxbowmill/autoscaling/machine_adoption.h"

namespace oxbowmill::autoscaling {

/// How a machine changes its partition.
enum class MoveMode : std::uint8_t {
  assign,            ///< at once: it is in the idle pool
  request_handover,  ///< its owner is asked to drain it and to hand it over
};

/// Collects a cycle's moves and writes them.
class MachineMoves {
 public:
  /// Both outlive this object.
  MachineMoves(const Environment& environment, MachineAdoption& adoption)
      : environment_(environment), adoption_(adoption) {}

  /// Decides that the machine goes to the target partition. A machine without a record is only assigned: its
  /// adoption then names the target.
  void add(MachineIndex machine_index, PartitionIndex target, MoveMode mode);
  /// This cycle has already decided a move of the recorded machine.
  bool contains(MachineIndex machine_index) const;
  /// Writes this cycle's moves and forgets them.
  void write(Effects& out);

 private:
  struct Move {
    MachineIndex machine;
    MachineRecord record;  // as it is to become
  };
  void write_batch(std::size_t begin, std::size_t end, Effects& out);

  const Environment& environment_;
  MachineAdoption& adoption_;
  std::vector<Move> moves_;
};

}  // namespace oxbowmill::autoscaling
