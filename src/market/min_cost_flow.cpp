#include "oxbowmill/market/min_cost_flow.h"

#include <algorithm>
#include <limits>

namespace oxbowmill::market {

namespace {
constexpr double unreached = std::numeric_limits<double>::infinity();
constexpr double cost_tolerance = 1e-12;  // prevents endless improvements by rounding errors
}  // namespace

std::size_t MinCostFlow::add_edge(std::size_t from, std::size_t to, std::uint32_t capacity, double cost) {
  edges_.push_back({to, capacity, cost});
  edges_.push_back({from, 0, -cost});
  outgoing_[from].push_back(edges_.size() - 2);
  outgoing_[to].push_back(edges_.size() - 1);
  return edges_.size() - 2;
}

void MinCostFlow::run(std::size_t source, std::size_t sink) {
  while (auto incoming_edge = find_path(source, sink)) augment(*incoming_edge, source, sink);
}

/// For each node, the edge by which the cheapest path enters it; empty if no path lowers the total cost.
std::optional<std::vector<std::size_t>> MinCostFlow::find_path(std::size_t source, std::size_t sink) const {
  std::vector<double> distance(outgoing_.size(), unreached);
  std::vector<std::size_t> incoming_edge(outgoing_.size(), 0);
  std::vector<bool> queued(outgoing_.size(), false);
  std::vector<std::size_t> queue{source};
  distance[source] = 0;
  for (std::size_t i = 0; i < queue.size(); ++i) {
    std::size_t node = queue[i];
    queued[node] = false;
    for (std::size_t edge_index : outgoing_[node]) {
      const Edge& edge = edges_[edge_index];
      if (edge.capacity == 0 || distance[node] + edge.cost >= distance[edge.to] - cost_tolerance) continue;
      distance[edge.to] = distance[node] + edge.cost;
      incoming_edge[edge.to] = edge_index;
      if (!queued[edge.to]) {
        queued[edge.to] = true;
        queue.push_back(edge.to);
      }
    }
  }
  if (!(distance[sink] < 0)) return std::nullopt;
  return incoming_edge;
}

void MinCostFlow::augment(const std::vector<std::size_t>& incoming_edge, std::size_t source,
                          std::size_t sink) {
  std::uint32_t units = std::numeric_limits<std::uint32_t>::max();
  for (std::size_t node = sink; node != source; node = edges_[reverse_of(incoming_edge[node])].to)
    units = std::min(units, edges_[incoming_edge[node]].capacity);
  for (std::size_t node = sink; node != source; node = edges_[reverse_of(incoming_edge[node])].to) {
    edges_[incoming_edge[node]].capacity -= units;
    edges_[reverse_of(incoming_edge[node])].capacity += units;
  }
}

}  // namespace oxbowmill::market
