// Amounts of resources: what a task needs and what a machine has. Pure arithmetic.
#pragma once

namespace oxbowmill {

/// An amount of each kind of resource.
struct Resources {
  double cpus = 0;       ///< cores
  double gpus = 0;       ///< GPU devices
  double memory_gb = 0;  ///< gigabytes
  /// Bytes in the messages between the machine's agent and the controllers (cluster/message_size.h).
  double message_bytes = 0;
  /// Adds each kind of resource.
  Resources& operator+=(const Resources& other) {
    cpus += other.cpus, gpus += other.gpus, memory_gb += other.memory_gb;
    message_bytes += other.message_bytes;
    return *this;
  }
  /// Subtracts each kind of resource; the result may be negative.
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus, gpus -= other.gpus, memory_gb -= other.memory_gb;
    message_bytes -= other.message_bytes;
    return *this;
  }
  /// Multiplies each kind of resource by `factor`.
  friend Resources operator*(double factor, const Resources& amount) {
    return {factor * amount.cpus, factor * amount.gpus, factor * amount.memory_gb,
            factor * amount.message_bytes};
  }
  /// Whether the amounts are equal in each kind of resource.
  friend bool operator==(const Resources& a, const Resources& b) {
    return a.cpus == b.cpus && a.gpus == b.gpus && a.memory_gb == b.memory_gb &&
           a.message_bytes == b.message_bytes;
  }
  /// Difference of each kind of resource; may be negative.
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  /// Sum of each kind of resource.
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
};

/// Tolerance of comparisons, because amounts are rounded sums of decimal fractions.
constexpr double resource_tolerance = 1e-6;

/// Whether the available capacity covers the need in every kind of resource.
inline bool fits(const Resources& need, const Resources& available) {
  return need.cpus <= available.cpus + resource_tolerance &&
         need.gpus <= available.gpus + resource_tolerance &&
         need.memory_gb <= available.memory_gb + resource_tolerance &&
         need.message_bytes <= available.message_bytes + resource_tolerance;
}

/// The amount without the bytes in messages, which teams have no limit on and which a task takes for longer
/// than the rest: until its end is durable and no longer listed.
inline Resources without_message_bytes(Resources amount) {
  amount.message_bytes = 0;
  return amount;
}

/// Number of tasks with this need that fit in the available capacity; a large number if they need nothing.
int how_many_fit(const Resources& need, const Resources& available);

}  // namespace oxbowmill
