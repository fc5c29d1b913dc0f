// Minimum-cost flow in a small network. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace oxbowmill::market {

/// Minimum-cost flow by successive shortest paths, each found by the queue-based Bellman-Ford algorithm.
/// Negative costs are allowed if they form no negative cycle. Stops when another unit would not lower the
/// total cost.
class MinCostFlow {
 public:
  /// A network of `nodes` nodes without edges.
  explicit MinCostFlow(std::size_t nodes) : outgoing_(nodes) {}
  /// Adds an edge and returns its index. `cost` is per unit of flow.
  std::size_t add_edge(std::size_t from, std::size_t to, std::uint32_t capacity, double cost);
  /// Sends flow from `source` to `sink` while this lowers the total cost.
  void run(std::size_t source, std::size_t sink);
  /// Units of flow through an edge.
  std::uint32_t flow_through(std::size_t edge) const { return edges_[reverse_of(edge)].capacity; }

 private:
  struct Edge {
    std::size_t to;
    std::uint32_t capacity;  // remaining capacity
    double cost;
  };
  /// Each edge is stored next to its reverse edge, at indices that differ in the lowest bit.
  static std::size_t reverse_of(std::size_t edge) { return edge ^ 1; }
  std::optional<std::vector<std::size_t>> find_path(std::size_t source, std::size_t sink) const;
  void augment(const std::vector<std::size_t>& incoming_edge, std::size_t source, std::size_t sink);

  std::vector<Edge> edges_;
  std::vector<std::vector<std::size_t>> outgoing_;  // edge indices by node
};

}  // namespace oxbowmill::market
