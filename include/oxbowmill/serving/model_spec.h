// What operators say of a model: which replicas serve it, and which jobs are its calls.
// docs/model-serving.md. Plain data.
#pragma once

#include <string>
#include <vector>

namespace oxbowmill::serving {

/// One model. `job_class`, `image` or both name its service jobs.
struct ModelSpec {
  std::string name;                       ///< unique in the file
  std::string job_class;                  ///< class of its service jobs; empty: any
  std::string image;                      ///< image of its service jobs; empty: any
  std::uint32_t min_replicas = 0;         ///< 0: it may scale to zero
  std::uint32_t max_replicas = 1;         ///< at most, whatever the calls
  double calls_per_replica = 8;           ///< calls that one replica serves at the same time
  std::vector<std::string> call_classes;  ///< classes of the jobs that are its calls
  double idle_factor = 1.5;               ///< idle timeout, as a multiple of the median cold start
  double idle_floor_s = 30;               ///< the least idle timeout, in seconds
};

/// The operators' file of models.
struct Settings {
  std::uint64_t version = 0;      ///< of the file
  std::vector<ModelSpec> models;  ///< all models that scale to zero
  /// Whether no model is named.
  [[nodiscard]] bool empty() const { return models.empty(); }
};

}  // namespace oxbowmill::serving
