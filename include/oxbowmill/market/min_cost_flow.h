// Least-cost flow in a small network. Owns the network; not safe for use by several threads at once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace oxbowmill::market {

/// Least-cost flow by successive shortest paths (Bellman and Ford, queue form). Negative costs are allowed
/// where they form no cycle. Stops as soon as another unit would not lower the cost.
class MinCostFlow {
 public:
  /// A network of `nodes` nodes without edges.
  explicit MinCostFlow(std::size_t nodes) : outgoing_(nodes) {}
  /// Adds an edge and returns its number; `cost` is for each unit of flow.
  std::size_t add_edge(std::size_t from, std::size_t to, std::uint32_t capacity, double cost);
  /// Sends flow from `source` to `sink` for as long as that lowers the cost.
  void run(std::size_t source, std::size_t sink);
  /// Units that flow through an edge.
  std::uint32_t flow_through(std::size_t edge) const { return edges_[reverse_of(edge)].capacity; }

 private:
  struct Edge {
    std::size_t to;
    std::uint32_t capacity;  // that is left
    double cost;
  };
  /// Edges are stored in pairs: an edge and its reverse.
  static std::size_t reverse_of(std::size_t edge) { return edge ^ 1; }
  std::optional<std::vector<std::size_t>> find_path(std::size_t source, std::size_t sink) const;
  void augment(const std::vector<std::size_t>& incoming_edge, std::size_t source, std::size_t sink);

  std::vector<Edge> edges_;
  std::vector<std::vector<std::size_t>> outgoing_;  // by node: edges
};

}  // namespace oxbowmill::market
