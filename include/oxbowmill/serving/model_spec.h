// Specification of a model by the operators: the service jobs whose tasks are its replicas, and the jobs that
// are its calls. Plain data. See docs/model-serving.md.
#pragma once

#include <string>
#include <vector>

namespace oxbowmill::serving {

/// One model. Its service jobs are selected by `job_class`, `image` or both.
struct ModelSpec {
  std::string name;                       ///< unique in the file
  std::string job_class;                  ///< class of its service jobs; empty: any
  std::string image;                      ///< image of its service jobs; empty: any
  std::uint32_t min_replicas = 0;         ///< least number of replicas; 0: the model scales to zero
  std::uint32_t max_replicas = 1;         ///< greatest number of replicas
  double calls_per_replica = 8;           ///< calls that one replica serves at the same time
  std::vector<std::string> call_classes;  ///< classes of the jobs that are calls of the model
  double idle_factor = 1.5;               ///< idle timeout, as a multiple of the median cold start
  double idle_floor_s = 30;               ///< minimum idle timeout, in seconds
};

/// Models section of the operators' file.
struct Settings {
  std::uint64_t version = 0;      ///< version of the file
  std::vector<ModelSpec> models;  ///< all models of the file
  /// Whether the file has no model.
  [[nodiscard]] bool empty() const { return models.empty(); }
};

}  // namespace oxbowmill::serving
