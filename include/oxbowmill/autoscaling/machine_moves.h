// Moves machines between partitions. Owns the moves decided in the current cycle, which are written together
// at its end. Not thread-safe.
#pragma once

#include <vector>

#include "oxbowmill/autoscaling/machine_adoption.h"

namespace oxbowmill::autoscaling {

/// How a machine changes its partition.
enum class MoveMode : std::uint8_t {
  assign,            ///< at once, from the idle pool
  request_handover,  ///< its owner is asked to drain it and hand it over
};

/// Collects the moves of a cycle and writes them.
class MachineMoves {
 public:
  /// Both arguments must outlive this object.
  MachineMoves(const Environment& environment, MachineAdoption& adoption)
      : environment_(environment), adoption_(adoption) {}

  /// Adds a move of the machine to the target partition. For a machine without a record, which must be queued
  /// for adoption, the mode is ignored and its adoption gets the target partition.
  void add(MachineIndex machine_index, PartitionIndex target, MoveMode mode);
  /// Whether this cycle has already added a move of this recorded machine.
  bool contains(MachineIndex machine_index) const;
  /// Writes the moves of this cycle and clears them.
  void write(Effects& out);

 private:
  struct Move {
    MachineIndex machine;
    MachineRecord record;  // after the move
  };
  void write_batch(std::size_t begin, std::size_t end, Effects& out);

  const Environment& environment_;
  MachineAdoption& adoption_;
  std::vector<Move> moves_;
};

}  // namespace oxbowmill::autoscaling
