// What operators say of a model: whose replicas these are, and which jobs are its calls.
// docs/model-serving.md.
#pragma once

#include <string>
#include <vector>

namespace oxbowmill::serving {

struct ModelSpec {
  std::string name;
  std::string job_class, image;  // of its standing job: one of the two at least
  std::uint32_t min_replicas = 0, max_replicas = 1;
  double calls_per_replica = 8;
  std::vector<std::string> call_classes;  // classes of jobs
  double idle_factor = 1.5;               // idle after so many times the median of its cold starts
  double idle_floor_s = 30;               // and never sooner
};

struct Settings {
  std::uint64_t version = 0;
  std::vector<ModelSpec> models;
  bool empty() const { return models.empty(); }
};

}  // namespace oxbowmill::serving
