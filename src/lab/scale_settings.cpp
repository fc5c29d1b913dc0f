#include "oxbowmill/lab/scale_settings.h"

#include <algorithm>
#include <functional>
#include <random>

#include "oxbowmill/yaml/map.h"

namespace oxbowmill::lab {

namespace {

constexpr double most_workers = 5000, most_controllers = 9, longest_run_s = 300, most_tasks = 100000;
constexpr double settles_s = 5;  // after a trouble, until nothing of it is under way
constexpr std::size_t most_kinds = 16, most_faults = 32;

constexpr ScaleFaultKind fault_kinds[] = {
    ScaleFaultKind::controller_killed, ScaleFaultKind::controllers_killed, ScaleFaultKind::controller_stopped,
    ScaleFaultKind::state_outage,      ScaleFaultKind::workers_gone,       ScaleFaultKind::workers_replaced,
    ScaleFaultKind::workers_cut};

void count(yaml::Map& map, const std::string& key, std::uint32_t& out, double least, double most) {
  double value = out;
  map.number(key, value, least, most);
  if (value != static_cast<double>(static_cast<std::uint32_t>(value))) map.fail(key, "not a whole number");
  out = static_cast<std::uint32_t>(value);
}

void amounts(yaml::Map& map, Amounts& out) {
  map.number("cpus", out.cpus, 0, 1024);
  map.number("gpus", out.gpus, 0, 1024);
  map.number("memory_gb", out.memory_gb, 0, 65536);
}

template <class Value>
Value one_of(yaml::Map& map, const std::string& key,
             const std::vector<std::pair<std::string, Value>>& known) {
  std::string name = map.text(key);
  for (const auto& [known_name, value] : known) {
    if (known_name == name) return value;
  }
  map.fail(key, "none is named " + name);
}

ScaleClass read_class(yaml::Map map) {
  ScaleClass kind;
  kind.name = map.text("name");
  kind.shape = one_of<Shape>(map, "shape",
                             {{"array", Shape::array}, {"gang", Shape::gang}, {"service", Shape::service}});
  kind.rank = one_of<Rank>(
      map, "rank",
      {{"low", Rank::low}, {"normal", Rank::normal}, {"high", Rank::high}, {"production", Rank::production}});
  map.number("rate", kind.rate, 0, 50);
  count(map, "initial", kind.initial, 0, 5000);
  count(map, "tasks", kind.tasks, 1, most_tasks);
  map.number("run_s", kind.run_s, 1, longest_run_s);
  map.number("spread", kind.spread, 0, 0.9);
  amounts(map, kind.need);
  map.number("image_gb", kind.image_gb, 0, 100);
  count(map, "images", kind.images, 1, 1000);
  map.number("withdrawn", kind.withdrawn, 0, 1);
  map.done();
  return kind;
}

ScaleFault read_fault(yaml::Map map, const ScaleSettings& settings) {
  ScaleFault fault;
  std::vector<std::pair<std::string, ScaleFaultKind>> known;
  for (ScaleFaultKind kind : fault_kinds) known.emplace_back(name_of(kind), kind);
  fault.kind = one_of(map, "kind", known);
  map.number("at_s", fault.at_s, 0, settings.duration_s);
  map.number("for_s", fault.for_s, 0, settings.duration_s);
  count(map, "count", fault.count, 1, settings.workers);
  map.done();
  return fault;
}

std::mt19937_64 random_of(const ScaleSettings& settings, const std::string& ref, std::uint32_t salt) {
  std::seed_seq seed{static_cast<std::uint64_t>(settings.seed),
                     static_cast<std::uint64_t>(std::hash<std::string>()(ref)),
                     static_cast<std::uint64_t>(salt)};
  return std::mt19937_64(seed);
}

constexpr std::uint32_t job_salt = 0xffffffff;  // no task has this number

}  // namespace

const char* name_of(ScaleFaultKind kind) {
  static constexpr const char* names[] = {"controller_killed", "controllers_killed", "controller_stopped",
                                          "state_outage",      "workers_gone",       "workers_replaced",
                                          "workers_cut"};
  return names[static_cast<int>(kind)];
}

double ScaleSettings::quiet_from_s() const {
  double end = warm_s;
  for (const ScaleFault& fault : faults) end = std::max(end, fault.at_s + fault.for_s);
  return end + lease_s + settles_s;
}

ScaleSettings load_scale_settings(const std::string& file) {
  ScaleSettings s;
  yaml::Map map(file, "", yaml::load(file));
  s.name = map.text("name");
  double seed = 1;
  map.number("seed", seed, 1, 1e9);
  s.seed = static_cast<std::uint64_t>(seed);
  count(map, "workers", s.workers, 1, most_workers);
  count(map, "controllers", s.controllers, 1, most_controllers);
  count(map, "zones", s.zones, 1, 19);
  count(map, "teams", s.teams, 1, 80);
  map.number("duration_s", s.duration_s, 5, longest_run_s);
  map.number("warm_s", s.warm_s, 0, s.duration_s);
  map.number("report_s", s.report_s, 0.5, 60);
  map.number("lease_s", s.lease_s, 2, 120);
  map.number("cancel_s", s.cancel_s, 5, 300);
  map.number("gang_wait_s", s.gang_wait_s, 1, 300);
  map.number("gang_peer_s", s.gang_peer_s, 1, 60);
  map.number("state_rps", s.state_rps, 10, 100000);
  map.number("state_write_rps", s.state_write_rps, 10, 100000);
  map.number("value_kb", s.value_kb, 4, 64);
  map.number("cloud_rps", s.cloud_rps, 1, 1000);
  count(map, "txn_ops", s.txn_ops, 12, 256);
  map.number("fetch_gb_per_s", s.fetch_gb_per_s, 0.01, 100);
  map.number("boot_s", s.boot_s, 0, 120);
  map.number("team_gpus", s.team_gpus, 0, 1e6);
  if (auto machine = map.take("machine")) {
    yaml::Map sub = map.sub("machine", *machine);
    amounts(sub, s.machine);
    sub.done();
  }
  auto classes = map.take("classes");
  if (!classes || !classes->IsSequence() || classes->size() == 0 || classes->size() > most_kinds)
    map.fail("classes", "1 to 16 are needed");
  for (const auto& node : *classes) s.classes.push_back(read_class(map.sub("classes", node)));
  if (auto faults = map.take("faults")) {
    if (!faults->IsSequence() || faults->size() > most_faults)
      map.fail("faults", "a list of 32 at most is needed");
    for (const auto& node : *faults) s.faults.push_back(read_fault(map.sub("faults", node), s));
  }
  map.done();
  return s;
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
  job.kind = &settings.classes[index];
  job.number = static_cast<std::uint32_t>(std::stoul(ref.substr(dash + 1)));
  auto random = random_of(settings, ref, job_salt);
  job.team = std::uniform_int_distribution<std::uint32_t>(0, settings.teams - 1)(random);
  job.image = std::uniform_int_distribution<std::uint32_t>(0, job.kind->images - 1)(random);
  job.withdrawn = std::bernoulli_distribution(job.kind->withdrawn)(random);
  return job;
}

double scale_run_time_s(const ScaleSettings& settings, const std::string& ref, TaskNo task) {
  ScaleJob job = scale_job(settings, ref);
  if (job.kind == nullptr) return 1;
  // The members of a gang complete together.
  auto random = random_of(settings, ref, job.kind->shape == Shape::gang ? 0 : task);
  double spread = job.kind->spread;
  return job.kind->run_s * std::uniform_real_distribution<double>(1 - spread, 1 + spread)(random);
}

}  // namespace oxbowmill::lab
