#include "oxbowmill/simulation/scale_settings.h"

#include <algorithm>
#include <functional>
#include <random>

#include "oxbowmill/yaml/map.h"

namespace oxbowmill::simulation {

namespace {

constexpr double max_workers = 5000, max_controllers = 9, max_duration_s = 300, max_tasks = 100000;
constexpr double settle_s = 5;  // time after a fault until its last messages have arrived
constexpr std::size_t max_classes = 16, max_faults = 32;

constexpr ScaleFaultKind fault_kinds[] = {
    ScaleFaultKind::controller_killed, ScaleFaultKind::controllers_killed, ScaleFaultKind::controller_stopped,
    ScaleFaultKind::state_outage,      ScaleFaultKind::workers_gone,       ScaleFaultKind::workers_replaced,
    ScaleFaultKind::workers_cut};

void read_count(yaml::Map& map, const std::string& key, std::uint32_t& out, double min_value,
                double max_value) {
  double number = out;
  map.number(key, number, min_value, max_value);
  if (number != static_cast<double>(static_cast<std::uint32_t>(number)))
    map.fail(key, "must be a whole number");
  out = static_cast<std::uint32_t>(number);
}

void read_resources(yaml::Map& map, Resources& out) {
  map.number("cpus", out.cpus, 0, 1024);
  map.number("gpus", out.gpus, 0, 1024);
  map.number("memory_gb", out.memory_gb, 0, 65536);
}

template <class Value>
Value read_choice(yaml::Map& map, const std::string& key,
                  const std::vector<std::pair<std::string, Value>>& choices) {
  std::string name = map.text(key);
  for (const auto& [choice_name, value] : choices) {
    if (choice_name == name) return value;
  }
  map.fail(key, "unknown value \"" + name + "\"");
}

ScaleClass read_class(yaml::Map map) {
  ScaleClass job_class;
  job_class.name = map.text("name");
  job_class.shape = read_choice<JobShape>(
      map, "shape", {{"array", JobShape::array}, {"gang", JobShape::gang}, {"service", JobShape::service}});
  job_class.priority = read_choice<Priority>(map, "rank",
                                             {{"low", Priority::low},
                                              {"normal", Priority::normal},
                                              {"high", Priority::high},
                                              {"production", Priority::production}});
  map.number("rate", job_class.rate, 0, 50);
  read_count(map, "initial", job_class.initial, 0, 5000);
  read_count(map, "tasks", job_class.tasks, 1, max_tasks);
  map.number("run_s", job_class.run_s, 1, max_duration_s);
  map.number("spread", job_class.spread, 0, 0.9);
  read_resources(map, job_class.resources);
  map.number("image_gb", job_class.image_gb, 0, 100);
  read_count(map, "images", job_class.images, 1, 1000);
  map.number("withdrawn", job_class.withdrawn_fraction, 0, 1);
  map.reject_unknown_keys();
  return job_class;
}

ScaleFault read_fault(yaml::Map map, const ScaleSettings& settings) {
  ScaleFault fault;
  std::vector<std::pair<std::string, ScaleFaultKind>> choices;
  for (ScaleFaultKind kind : fault_kinds) choices.emplace_back(name_of(kind), kind);
  fault.kind = read_choice(map, "kind", choices);
  map.number("at_s", fault.at_s, 0, settings.duration_s);
  map.number("for_s", fault.duration_s, 0, settings.duration_s);
  read_count(map, "count", fault.count, 1, settings.workers);
  map.reject_unknown_keys();
  return fault;
}

std::mt19937_64 random_generator(const ScaleSettings& settings, const std::string& ref, std::uint32_t salt) {
  std::seed_seq seed{static_cast<std::uint64_t>(settings.seed),
                     static_cast<std::uint64_t>(std::hash<std::string>()(ref)),
                     static_cast<std::uint64_t>(salt)};
  return std::mt19937_64(seed);
}

constexpr std::uint32_t job_salt = 0xffffffff;  // differs from every task number

}  // namespace

const char* name_of(ScaleFaultKind kind) {
  static constexpr const char* names[] = {"controller_killed", "controllers_killed", "controller_stopped",
                                          "state_outage",      "workers_gone",       "workers_replaced",
                                          "workers_cut"};
  return names[static_cast<int>(kind)];
}

double ScaleSettings::fault_free_from_s() const {
  double end = warm_up_s;
  for (const ScaleFault& fault : faults) end = std::max(end, fault.at_s + fault.duration_s);
  return end + lease_s + settle_s;
}

ScaleSettings load_scale_settings(const std::string& file) {
  ScaleSettings settings;
  yaml::Map map(file, "", yaml::load(file));
  settings.name = map.text("name");
  double seed = 1;
  map.number("seed", seed, 1, 1e9);
  settings.seed = static_cast<std::uint64_t>(seed);
  read_count(map, "workers", settings.workers, 1, max_workers);
  read_count(map, "controllers", settings.controllers, 1, max_controllers);
  read_count(map, "zones", settings.zones, 1, 19);
  read_count(map, "teams", settings.teams, 1, 80);
  map.number("duration_s", settings.duration_s, 5, max_duration_s);
  map.number("warm_s", settings.warm_up_s, 0, settings.duration_s);
  map.number("report_s", settings.report_interval_s, 0.5, 60);
  map.number("lease_s", settings.lease_s, 2, 120);
  map.number("cancel_s", settings.cancel_timeout_s, 5, 300);
  map.number("gang_wait_s", settings.gang_wait_s, 1, 300);
  map.number("gang_peer_s", settings.gang_peer_s, 1, 60);
  map.number("state_rps", settings.state_rps, 10, 100000);
  map.number("state_write_rps", settings.state_write_rps, 10, 100000);
  map.number("value_kb", settings.value_kb, 4, 64);
  map.number("cloud_rps", settings.cloud_rps, 1, 1000);
  read_count(map, "txn_ops", settings.txn_ops, 12, 256);
  map.number("fetch_gb_per_s", settings.fetch_gb_per_s, 0.01, 100);
  map.number("boot_s", settings.boot_s, 0, 120);
  map.number("team_gpus", settings.team_gpus, 0, 1e6);
  if (auto machine = map.take("machine")) {
    yaml::Map sub = map.child("machine", *machine);
    read_resources(sub, settings.machine_resources);
    sub.reject_unknown_keys();
  }
  auto classes = map.take("classes");
  if (!classes || !classes->IsSequence() || classes->size() == 0 || classes->size() > max_classes)
    map.fail("classes", "must be a list of 1 to 16 job classes");
  for (const auto& node : *classes) settings.classes.push_back(read_class(map.child("classes", node)));
  if (auto faults = map.take("faults")) {
    if (!faults->IsSequence() || faults->size() > max_faults)
      map.fail("faults", "must be a list of at most 32 faults");
    for (const auto& node : *faults)
      settings.faults.push_back(read_fault(map.child("faults", node), settings));
  }
  map.reject_unknown_keys();
  return settings;
}

std::string scale_job_ref(std::size_t class_index, std::uint32_t number) {
  return "run-" + std::to_string(class_index) + "-" + std::to_string(number);
}

ScaleJob scale_job(const ScaleSettings& settings, const std::string& ref) {
  std::size_t dash = ref.rfind('-');
  if (ref.rfind("run-", 0) != 0 || dash < 5 || dash == std::string::npos) return {};
  std::size_t index = std::stoul(ref.substr(4, dash - 4));
  if (index >= settings.classes.size()) return {};
  ScaleJob job;
  job.job_class = &settings.classes[index];
  job.number = static_cast<std::uint32_t>(std::stoul(ref.substr(dash + 1)));
  auto random = random_generator(settings, ref, job_salt);
  job.team = std::uniform_int_distribution<std::uint32_t>(0, settings.teams - 1)(random);
  job.image = std::uniform_int_distribution<std::uint32_t>(0, job.job_class->images - 1)(random);
  job.withdrawn = std::bernoulli_distribution(job.job_class->withdrawn_fraction)(random);
  return job;
}

double scale_run_time_s(const ScaleSettings& settings, const std::string& ref, TaskNumber task) {
  ScaleJob job = scale_job(settings, ref);
  if (job.job_class == nullptr) return 1;
  // All members of a gang get the same run time, because they complete together.
  auto random = random_generator(settings, ref, job.job_class->shape == JobShape::gang ? 0 : task);
  double spread = job.job_class->spread;
  return job.job_class->run_s * std::uniform_real_distribution<double>(1 - spread, 1 + spread)(random);
}

}  // namespace oxbowmill::simulation
