#include "oxbowmill/wire/codec.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill::wire {

namespace {

constexpr std::uint32_t max_tasks = 100000;
constexpr std::size_t max_name_length = 120;

template <class E>
struct NamePair {
  const char* name;
  E value;
};
constexpr NamePair<JobShape> job_shapes[] = {
    {"batch", JobShape::array}, {"gang", JobShape::gang}, {"standing", JobShape::service}};
constexpr NamePair<Priority> priorities[] = {{"production", Priority::production},
                                             {"high", Priority::high},
                                             {"standard", Priority::normal},
                                             {"best_effort", Priority::low}};
constexpr NamePair<TaskPhase> task_phases[] = {{"fetching", TaskPhase::fetching},
                                               {"gathering", TaskPhase::gathering},
                                               {"running", TaskPhase::running},
                                               {"saving", TaskPhase::saving},
                                               {"ended", TaskPhase::ended}};
constexpr NamePair<EndCause> end_causes[] = {
    {"done", EndCause::done},        {"stopped", EndCause::stopped},
    {"peers", EndCause::peers_lost}, {"incomplete", EndCause::incomplete},
    {"error", EndCause::error},      {"no_room", EndCause::no_capacity},
    {"busy", EndCause::busy},        {"no_such", EndCause::no_such}};
constexpr NamePair<ListedMachine::Phase> machine_phases[] = {{"starting", ListedMachine::Phase::starting},
                                                             {"running", ListedMachine::Phase::running},
                                                             {"failed", ListedMachine::Phase::failed}};

template <class E, std::size_t Size>
std::optional<E> value_of(const NamePair<E> (&table)[Size], const std::string& name) {
  for (const auto& pair : table) {
    if (name == pair.name) return pair.value;
  }
  return std::nullopt;
}
template <class E, std::size_t Size>
const char* wire_name(const NamePair<E> (&table)[Size], E value) {
  for (const auto& pair : table) {
    if (pair.value == value) return pair.name;
  }
  return "";
}

/// Reads typed fields of a map and remembers the first one that is wrong.
class Fields {
 public:
  explicit Fields(const Json& json) : json_(json) {}
  bool ok() const { return invalid_field_.empty(); }
  const std::string& invalid_field() const { return invalid_field_; }

  std::string text(const char* key) {
    const Json* value = find(key);
    if (value == nullptr || !value->is_string() || value->get_ref<const std::string&>().empty() ||
        value->get_ref<const std::string&>().size() > max_name_length) {
      return fail(key), std::string();
    }
    return value->get<std::string>();
  }
  bool flag(const char* key) {
    const Json* v = find(key);
    if (v == nullptr || !v->is_boolean()) return fail(key), false;
    return v->get<bool>();
  }
  double amount(const char* key) {
    const Json* v = find(key);
    if (v == nullptr || !v->is_number()) return fail(key), 0.0;
    double d = v->get<double>();
    if (!std::isfinite(d) || d < 0 || d > 1e12) return fail(key), 0.0;
    return d;
  }
  std::uint64_t count(const char* key) {
    const Json* value = find(key);
    if (value == nullptr || !value->is_number_integer() ||
        (!value->is_number_unsigned() && value->get<std::int64_t>() < 0)) {
      return fail(key), 0;
    }
    return value->get<std::uint64_t>();
  }
  /// Missing and null are the same.
  const Json* optional(const char* key) const {
    auto it = json_.find(key);
    return it == json_.end() || it->is_null() ? nullptr : &*it;
  }
  void fail(const char* key) {
    if (invalid_field_.empty()) invalid_field_ = key;
  }

 private:
  const Json* find(const char* key) const { return optional(key); }
  const Json& json_;
  std::string invalid_field_;
};

/// "run-000412/3" into its parts.
bool split_task_id(const std::string& text, std::string& job, TaskNumber& task) {
  std::size_t slash = text.rfind('/');
  if (slash == std::string::npos || slash + 1 == text.size() || text.size() - slash > 10) return false;
  std::uint64_t number = 0;
  for (std::size_t i = slash + 1; i < text.size(); ++i) {
    if (text[i] < '0' || text[i] > '9') return false;
    number = number * 10 + static_cast<std::uint64_t>(text[i] - '0');
  }
  job = text.substr(0, slash);
  task = static_cast<TaskNumber>(number);
  return valid_id(job);
}

}  // namespace

std::optional<Json> decode_map(const std::string& body) {
  if (body.size() > max_body_size) return std::nullopt;
  Json j = Json::from_cbor(body, true, false);
  if (j.is_discarded() || !j.is_object()) return std::nullopt;
  return j;
}

std::string encode(const Json& json) {
  std::string out;
  Json::to_cbor(json, nlohmann::detail::output_adapter<char>(out));
  return out;
}

bool valid_id(const std::string& text) {
  if (text.empty() || text.size() > max_name_length) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  });
}

std::optional<Rejection> read_submission(const Json& json, Names& names, JobSpec& out) {
  Fields fields(json);
  out.ref = fields.text("ref");
  if (!valid_id(out.ref)) fields.fail("ref");
  std::string job_class = fields.text("jobclass"), team = fields.text("owner"), image = fields.text("bundle");
  auto shape = value_of(job_shapes, fields.text("shape"));
  if (!shape) fields.fail("shape");
  auto rank = value_of(priorities, fields.text("rank"));
  if (!rank) fields.fail("rank");
  std::uint64_t tasks = fields.count("shards");
  if (tasks == 0 || tasks > max_tasks) fields.fail("shards");
  out.task_resources = {fields.amount("vcpus"), fields.amount("accelerators"), fields.amount("memory_gb")};
  out.image_gb = fields.amount("size_gb");
  out.single_zone = fields.flag("same_place");
  out.spread_zones = fields.flag("scatter");
  out.spot = fields.flag("loaners");
  out.estimate_s = fields.amount("runtime_s");
  out.checkpoint_interval_s = fields.amount("save_every_s");
  out.flush_s = fields.amount("flush_s");
  out.deadline_s = fields.optional("due_s") != nullptr ? fields.amount("due_s") : -1;
  const Json* rigs = fields.optional("rigs");
  if (rigs != nullptr && (!rigs->is_array() || rigs->size() > 64 ||
                          !std::all_of(rigs->begin(), rigs->end(), [](const Json& item) {
                            return item.is_string() &&
                                   item.get_ref<const std::string&>().size() <= max_name_length;
                          }))) {
    fields.fail("rigs");
  }
  std::string zone = fields.optional("yard") != nullptr ? fields.text("yard") : std::string();
  if (!fields.ok()) return Rejection{400, fields.invalid_field() + ": missing or invalid"};

  out.shape = *shape;
  out.priority = *rank;
  out.tasks = static_cast<std::uint32_t>(tasks);
  out.partition = names.partitions.find(team);
  if (!out.partition.valid() || out.partition == idle_pool) return Rejection{422, "owner: unknown team"};
  out.types.clear();
  if (rigs != nullptr) {
    for (const Json& r : *rigs) {
      TypeIndex t = names.types.find(r.get_ref<const std::string&>());
      if (t.valid()) out.types.push_back(t);
    }
    if (out.types.empty()) return Rejection{422, "rigs: none of these machine types exists"};
  }
  out.zone = ZoneIndex{};
  if (!zone.empty()) {
    out.zone = names.zones.find(zone);
    if (!out.zone.valid()) return Rejection{422, "yard: unknown zone"};
  }
  out.job_class = names.classes.intern(job_class);
  out.image = names.images.intern(image);
  return std::nullopt;
}

std::optional<Rejection> check_runnable(const JobSpec& spec, const Settings& settings,
                                        const std::vector<MachineType>& catalog) {
  if (!can_ever_run(spec, catalog)) return Rejection{422, "a task fits no allowed machine type or zone"};
  const Resources& most = settings.teams[spec.partition.value].limit;
  double n = spec.shape == JobShape::array ? 1 : spec.tasks;
  auto over = [n](double limit, double need) { return limit > 0 && n * need > limit + resource_tolerance; };
  if (over(most.cpus, spec.task_resources.cpus) || over(most.gpus, spec.task_resources.gpus)) {
    return Rejection{422, "needs more than the team's limit"};
  }
  return std::nullopt;
}

Json write_submission(const JobSpec& spec, const Names& names) {
  Json types;
  for (TypeIndex t : spec.types) types.push_back(names.types.name(t));
  return {{"ref", spec.ref},
          {"jobclass", names.classes.name(spec.job_class)},
          {"owner", names.partitions.name(spec.partition)},
          {"shape", wire_name(job_shapes, spec.shape)},
          {"rank", wire_name(priorities, spec.priority)},
          {"shards", spec.tasks},
          {"vcpus", spec.task_resources.cpus},
          {"accelerators", spec.task_resources.gpus},
          {"memory_gb", spec.task_resources.memory_gb},
          {"bundle", names.images.name(spec.image)},
          {"size_gb", spec.image_gb},
          {"rigs", types},
          {"yard", spec.zone.valid() ? Json(names.zones.name(spec.zone)) : Json()},
          {"same_place", spec.single_zone},
          {"scatter", spec.spread_zones},
          {"loaners", spec.spot},
          {"runtime_s", spec.estimate_s},
          {"save_every_s", spec.checkpoint_interval_s},
          {"flush_s", spec.flush_s},
          {"due_s", spec.deadline_s < 0 ? Json() : Json(spec.deadline_s)}};
}

std::optional<WorkerReport> read_report(const Json& json) {
  Fields fields(json);
  WorkerReport report;
  report.machine = fields.text("host");
  if (!valid_id(report.machine)) fields.fail("host");
  report.address = fields.text("address");
  report.type = fields.text("rig");
  report.zone = fields.text("yard");
  report.spot = fields.flag("loaners");
  report.agent_epoch = fields.count("tenure");
  report.report_sequence = fields.count("serial");
  report.fencing_token = fields.count("warrant");
  report.preemption_notice_s = fields.optional("recall_s") != nullptr ? fields.amount("recall_s") : -1;
  auto tasks = json.find("shards");
  if (!fields.ok() || tasks == json.end() || !tasks->is_array()) return std::nullopt;
  for (const Json& t : *tasks) {
    if (!t.is_object()) return std::nullopt;
    Fields task_fields(t);
    TaskReport task_report;
    if (!split_task_id(task_fields.text("shard"), task_report.job, task_report.task)) return std::nullopt;
    task_report.attempt = task_fields.count("try");
    auto phase = value_of(task_phases, task_fields.text("phase"));
    if (!task_fields.ok() || !phase) return std::nullopt;
    task_report.phase = *phase;
    if (task_report.phase == TaskPhase::ended) {
      // A cause this version does not know still says that the task has ended.
      task_report.cause =
          value_of(end_causes, task_fields.optional("cause") != nullptr ? task_fields.text("cause") : "")
              .value_or(EndCause::error);
    }
    const Json* saved = task_fields.optional("stored");
    task_report.checkpoint_saved = saved != nullptr && saved->is_boolean() && saved->get<bool>();
    report.tasks.push_back(std::move(task_report));
  }
  return report;
}

namespace {
Json write_commands(const std::vector<AgentCommand>& orders) {
  Json out = Json::array();
  for (const AgentCommand& command : orders) {
    Json command_json = {{"verb", command.kind == CommandKind::start  ? "start"
                                  : command.kind == CommandKind::kill ? "kill"
                                                                      : "clear"},
                         {"shard", command.job + "/" + std::to_string(command.task)},
                         {"try", command.attempt}};
    if (command.kind == CommandKind::kill) command_json["wind_down_s"] = command.termination_timeout_s;
    out.push_back(std::move(command_json));
  }
  return out;
}
}  // namespace

Json write_report_answer(const ReportAnswer& answer) {
  if (answer.kind == ReportAnswer::Kind::redirect) return {{"foreman", answer.owner}};
  return {{"warrant", answer.fencing_token}, {"orders", write_commands(answer.commands)}};
}

Json write_direct_commands(const DirectCommands& commands) {
  return {{"warrant", commands.fencing_token},
          {"tenure", commands.agent_epoch},
          {"orders", write_commands(commands.commands)}};
}

Json job_status(const std::string& ref, const std::string& phase, std::uint32_t done, std::uint32_t running) {
  return {{"ref", ref}, {"phase", phase}, {"done", done}, {"running", running}};
}

std::optional<std::vector<CatalogEntry>> read_catalog(const Json& json) {
  auto rigs = json.find("rigs");
  if (rigs == json.end() || !rigs->is_array() || rigs->empty()) return std::nullopt;
  std::vector<CatalogEntry> out;
  for (const Json& item : *rigs) {
    if (!item.is_object()) return std::nullopt;
    Fields fields(item);
    CatalogEntry entry;
    entry.name = fields.text("sku");
    entry.type.capacity = {fields.amount("vcpus"), fields.amount("accelerators"), fields.amount("memory_gb")};
    entry.type.cache_gb = fields.amount("cache_gb");
    entry.type.fetch_gb_per_s = fields.amount("fetch_gb_per_s");
    entry.type.price = fields.amount("rate");
    entry.type.spot_price = fields.amount("low_price");
    entry.type.boot_s = fields.amount("ready_s");
    auto yards = item.find("yards");
    if (!fields.ok() || yards == item.end() || !yards->is_array()) return std::nullopt;
    for (const Json& y : *yards) {
      if (!y.is_string()) return std::nullopt;
      entry.zones.push_back(y.get<std::string>());
    }
    out.push_back(std::move(entry));
  }
  return out;
}

Json write_catalog(const std::vector<CatalogEntry>& entries) {
  Json rigs = Json::array();
  for (const CatalogEntry& entry : entries) {
    rigs.push_back({{"sku", entry.name},
                    {"vcpus", entry.type.capacity.cpus},
                    {"accelerators", entry.type.capacity.gpus},
                    {"memory_gb", entry.type.capacity.memory_gb},
                    {"cache_gb", entry.type.cache_gb},
                    {"fetch_gb_per_s", entry.type.fetch_gb_per_s},
                    {"rate", entry.type.price},
                    {"low_price", entry.type.spot_price},
                    {"ready_s", entry.type.boot_s},
                    {"yards", entry.zones}});
  }
  return {{"rigs", rigs}};
}

Json write_scale_out(const ScaleOutRequest& request, const Names& names) {
  return {{"hire", request.request_id},
          {"rig", names.types.name(request.type)},
          {"yard", names.zones.name(request.zone)},
          {"loaners", request.spot},
          {"count", request.count}};
}

std::optional<std::vector<std::string>> read_hosts(const Json& json) {
  auto hosts = json.find("hosts");
  if (hosts == json.end() || !hosts->is_array()) return std::nullopt;
  std::vector<std::string> out;
  for (const Json& h : *hosts) {
    if (!h.is_string() || !valid_id(h.get_ref<const std::string&>())) return std::nullopt;
    out.push_back(h.get<std::string>());
  }
  return out;
}

Json write_delete(const std::vector<std::string>& names) {
  return {{"hosts", names}};
}

std::optional<ListPage> read_list(const Json& json) {
  auto hosts = json.find("hosts");
  auto more = json.find("truncated");
  if (hosts == json.end() || !hosts->is_array()) return std::nullopt;
  ListPage page;
  page.has_more = more != json.end() && more->is_boolean() && more->get<bool>();
  for (const Json& h : *hosts) {
    if (!h.is_object()) return std::nullopt;
    Fields fields(h);
    ListedMachine machine;
    machine.name = fields.text("ref");
    machine.address = fields.optional("address") != nullptr ? fields.text("address") : "";
    machine.type = fields.text("rig");
    machine.zone = fields.text("yard");
    machine.spot = fields.flag("loaners");
    auto phase = value_of(machine_phases, fields.text("phase"));
    machine.age_s = fields.amount("age_s");
    if (!fields.ok() || !phase || !valid_id(machine.name)) return std::nullopt;
    machine.phase = *phase;
    page.machines.push_back(std::move(machine));
  }
  return page;
}

}  // namespace oxbowmill::wire
