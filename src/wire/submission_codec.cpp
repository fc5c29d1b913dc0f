#include "oxbowmill/wire/submission_codec.h"

#include <algorithm>

#include "field_reader.h"
#include "name_table.h"
#include "oxbowmill/scheduling/machine_selection.h"
#include "shared_names.h"

namespace oxbowmill::wire {

namespace {

constexpr std::uint32_t max_tasks = 100000;
constexpr std::size_t max_allowed_types = 64;

namespace field {
constexpr const char* ref = "ref";
constexpr const char* job_class = "jobclass";
constexpr const char* partition = "owner";
constexpr const char* image = "bundle";
constexpr const char* shape = "shape";
constexpr const char* priority = "rank";
constexpr const char* tasks = "shards";
constexpr const char* image_gb = "size_gb";
constexpr const char* single_zone = "same_place";
constexpr const char* spread_zones = "scatter";
constexpr const char* estimate_s = "runtime_s";
constexpr const char* checkpoint_interval_s = "save_every_s";
constexpr const char* flush_s = "flush_s";
constexpr const char* deadline_s = "due_s";
// Fields of the answer to a status query.
constexpr const char* done = "done";
constexpr const char* running = "running";
}  // namespace field

constexpr WireName<JobShape> job_shapes[] = {
    {"batch", JobShape::array}, {"gang", JobShape::gang}, {"standing", JobShape::service}};

constexpr WireName<Priority> priorities[] = {{"production", Priority::production},
                                             {"high", Priority::high},
                                             {"standard", Priority::normal},
                                             {"best_effort", Priority::low}};

/// Names in a submission that have not been looked up yet.
struct SubmittedNames {
  std::string partition;
  std::string zone;             // empty: any zone
  const Json* types = nullptr;  // null: any type
};

bool is_type_list(const Json& types) {
  return types.is_array() && types.size() <= max_allowed_types &&
         std::all_of(types.begin(), types.end(), [](const Json& type) {
           return type.is_string() && type.get_ref<const std::string&>().size() <= max_name_length;
         });
}

/// Reads all fields. A rejection reports the first malformed one in the order of this function.
SubmittedNames read_fields(FieldReader& fields, Submission& submission) {
  SubmittedNames submitted;
  JobSpec& out = submission.spec;
  out.ref = fields.text(field::ref);
  if (!valid_id(out.ref)) fields.fail(field::ref);
  submission.job_class = fields.text(field::job_class);
  submitted.partition = fields.text(field::partition);
  submission.image = fields.text(field::image);
  auto shape = value_of(job_shapes, fields.text(field::shape));
  if (!shape) fields.fail(field::shape);
  auto priority = value_of(priorities, fields.text(field::priority));
  if (!priority) fields.fail(field::priority);
  std::uint64_t tasks = fields.count(field::tasks);
  if (tasks == 0 || tasks > max_tasks) fields.fail(field::tasks);
  out.task_resources = {fields.amount(shared::cpus), fields.amount(shared::gpus),
                        fields.amount(shared::memory_gb)};
  out.image_gb = fields.amount(field::image_gb);
  out.single_zone = fields.flag(field::single_zone);
  out.spread_zones = fields.flag(field::spread_zones);
  out.spot = fields.flag(shared::spot);
  out.estimate_s = fields.amount(field::estimate_s);
  out.checkpoint_interval_s = fields.amount(field::checkpoint_interval_s);
  out.flush_s = fields.amount(field::flush_s);
  out.deadline_s = fields.has(field::deadline_s) ? fields.amount(field::deadline_s) : -1;
  submitted.types = fields.optional(shared::machine_types);
  if (submitted.types != nullptr && !is_type_list(*submitted.types)) fields.fail(shared::machine_types);
  if (fields.has(shared::zone)) submitted.zone = fields.text(shared::zone);
  if (!fields.ok()) return submitted;

  out.shape = *shape;
  out.priority = *priority;
  out.tasks = static_cast<std::uint32_t>(tasks);
  return submitted;
}

std::optional<Rejection> resolve_names(const SubmittedNames& submitted, const Names& names, JobSpec& out) {
  out.partition = names.partitions.find(submitted.partition);
  if (!out.partition.valid() || out.partition == idle_pool) return Rejection{422, "owner: unknown team"};
  out.types.clear();
  if (submitted.types != nullptr) {
    for (const Json& name : *submitted.types) {
      TypeIndex type = names.types.find(name.get_ref<const std::string&>());
      if (type.valid()) out.types.push_back(type);
    }
    if (out.types.empty()) return Rejection{422, "rigs: none of these machine types exists"};
  }
  out.zone = ZoneIndex{};
  if (!submitted.zone.empty()) {
    out.zone = names.zones.find(submitted.zone);
    if (!out.zone.valid()) return Rejection{422, "yard: unknown zone"};
  }
  return std::nullopt;
}

constexpr std::size_t max_submission_field_items = 256;

const FieldNames submission_fields{field::ref,
                                   field::job_class,
                                   field::partition,
                                   field::image,
                                   field::shape,
                                   field::priority,
                                   field::tasks,
                                   field::image_gb,
                                   field::single_zone,
                                   field::spread_zones,
                                   field::estimate_s,
                                   field::flush_s,
                                   field::deadline_s,
                                   shared::cpus,
                                   shared::gpus,
                                   shared::memory_gb,
                                   shared::machine_types,
                                   shared::zone,
                                   shared::spot,
                                   field::checkpoint_interval_s};

}  // namespace

const BodyRules submission_rules{max_body_size, max_body_size, TextCheck::whole_body,
                                 max_submission_field_items, &submission_fields};

std::optional<Rejection> read_submission(const Json& json, const Names& names, Submission& out) {
  FieldReader fields(json);
  SubmittedNames submitted = read_fields(fields, out);
  if (!fields.ok()) return Rejection{400, fields.invalid_field() + ": missing or invalid"};
  return resolve_names(submitted, names, out.spec);
}

std::optional<Rejection> read_submission(const Json& json, Names& names, JobSpec& out) {
  Submission submission;
  std::optional<Rejection> rejection = read_submission(json, names, submission);
  out = std::move(submission.spec);
  if (rejection) return rejection;
  out.job_class = names.classes.intern(submission.job_class);
  out.image = names.images.intern(submission.image);
  return std::nullopt;
}

std::optional<Rejection> check_runnable(const JobSpec& spec, const Settings& settings,
                                        const std::vector<MachineType>& catalog) {
  if (!can_ever_run(spec, catalog)) return Rejection{422, "a task fits no allowed machine type or zone"};
  const Resources& limit = settings.teams[spec.partition.value].limit;
  // The tasks of an array may run one after another; other shapes need all their tasks at once.
  double simultaneous_tasks = spec.shape == JobShape::array ? 1 : spec.tasks;
  auto exceeds = [simultaneous_tasks](double team_limit, double per_task) {
    return team_limit > 0 && simultaneous_tasks * per_task > team_limit + resource_tolerance;
  };
  if (exceeds(limit.cpus, spec.task_resources.cpus) || exceeds(limit.gpus, spec.task_resources.gpus))
    return Rejection{422, "needs more than the team's limit"};
  return std::nullopt;
}

Json write_submission(const JobSpec& spec, const Names& names) {
  return write_submission(Submission{spec, names.classes.name(spec.job_class), names.images.name(spec.image)},
                          names);
}

Json write_submission(const Submission& submission, const Names& names) {
  const JobSpec& spec = submission.spec;
  Json types;
  for (TypeIndex type : spec.types) types.push_back(names.types.name(type));
  return {{field::ref, spec.ref},
          {field::job_class, submission.job_class},
          {field::partition, names.partitions.name(spec.partition)},
          {field::shape, name_on_wire(job_shapes, spec.shape)},
          {field::priority, name_on_wire(priorities, spec.priority)},
          {field::tasks, spec.tasks},
          {shared::cpus, spec.task_resources.cpus},
          {shared::gpus, spec.task_resources.gpus},
          {shared::memory_gb, spec.task_resources.memory_gb},
          {field::image, submission.image},
          {field::image_gb, spec.image_gb},
          {shared::machine_types, types},
          {shared::zone, spec.zone.valid() ? Json(names.zones.name(spec.zone)) : Json()},
          {field::single_zone, spec.single_zone},
          {field::spread_zones, spec.spread_zones},
          {shared::spot, spec.spot},
          {field::estimate_s, spec.estimate_s},
          {field::checkpoint_interval_s, spec.checkpoint_interval_s},
          {field::flush_s, spec.flush_s},
          {field::deadline_s, spec.deadline_s < 0 ? Json() : Json(spec.deadline_s)}};
}

std::vector<std::string> submitted_types(const Json& submission) {
  std::vector<std::string> names;
  auto types = submission.find(shared::machine_types);
  if (types == submission.end() || !types->is_array()) return names;
  for (const Json& type : *types) {
    if (type.is_string()) names.push_back(type.get<std::string>());
  }
  return names;
}

Json job_status(const std::string& ref, const std::string& phase, std::uint32_t done, std::uint32_t running) {
  return {{field::ref, ref}, {shared::phase, phase}, {field::done, done}, {field::running, running}};
}

}  // namespace oxbowmill::wire
