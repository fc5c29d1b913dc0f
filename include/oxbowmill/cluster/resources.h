// Amounts of a machine's resources: what a task needs, what a machine has. Pure arithmetic.
#pragma once

namespace oxbowmill {

/// An amount of each kind of resource.
struct Resources {
  double cpus = 0;       ///< cores
  double gpus = 0;       ///< devices
  double memory_gb = 0;  ///< gigabytes
  /// Adds kind by kind.
  Resources& operator+=(const Resources& other) {
    cpus += other.cpus, gpus += other.gpus, memory_gb += other.memory_gb;
    return *this;
  }
  /// Subtracts kind by kind; the result may be negative.
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus, gpus -= other.gpus, memory_gb -= other.memory_gb;
    return *this;
  }
  /// `factor` times each kind.
  friend Resources operator*(double factor, const Resources& amount) {
    return {factor * amount.cpus, factor * amount.gpus, factor * amount.memory_gb};
  }
  /// Difference kind by kind; may be negative.
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  /// Sum kind by kind.
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
};

/// Amounts are sums of decimals; comparisons allow for this much rounding.
constexpr double resource_tolerance = 1e-6;

/// Whether the need is met by the free capacity, in every kind.
inline bool fits(const Resources& need, const Resources& available) {
  return need.cpus <= available.cpus + resource_tolerance &&
         need.gpus <= available.gpus + resource_tolerance &&
         need.memory_gb <= available.memory_gb + resource_tolerance;
}

/// How many tasks of this size the capacity holds.
int how_many_fit(const Resources& need, const Resources& available);

}  // namespace oxbowmill
