#include "oxbowmill/wire/cbor.h"
#include "sections.h"

namespace oxbowmill::config {

namespace {

serving::ModelSpec read_model(yaml::Map entry, const std::vector<serving::ModelSpec>& models) {
  serving::ModelSpec model;
  model.name = entry.text("name");
  if (!wire::valid_id(model.name))
    entry.fail("name", "not usable as a model's name: must be 1 to 120 letters, digits, '-', '_' and '.'");
  for (const serving::ModelSpec& other : models) {
    if (other.name == model.name) entry.fail("name", "named twice");
  }
  entry.get("class", model.job_class).get("image", model.image).get("calls", model.call_classes);
  if (model.job_class.empty() && model.image.empty())
    entry.fail("class", "missing: class or image must select the service jobs of the model");
  if (model.call_classes.empty())
    entry.fail("calls", "missing: without classes of calls, no call would ever start a replica");
  entry.get("least", model.min_replicas).get("most", model.max_replicas);
  if (model.max_replicas == 0 || model.min_replicas > model.max_replicas)
    entry.fail("most", "must be at least 1 and not below `least`");
  entry.number("calls_per_replica", model.calls_per_replica, 0.01, 1e6);
  entry.number("idle_factor", model.idle_factor, 0, 1000);
  entry.number("idle_floor_s", model.idle_floor_s, 0, 86400);
  entry.reject_unknown_keys();
  return model;
}

}  // namespace

void read_models(yaml::Map map, serving::Settings& settings) {
  auto list = map.take("list");
  if (!list || !list->IsSequence() || list->size() == 0) map.fail("list", "missing or not a list of models");
  for (std::size_t i = 0; i < list->size(); ++i)
    settings.models.push_back(
        read_model(map.child("list[" + std::to_string(i) + "]", (*list)[i]), settings.models));
  map.reject_unknown_keys();
}

}  // namespace oxbowmill::config
