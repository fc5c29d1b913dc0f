#include "oxbowmill/simulation/decision_simulation.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "oxbowmill/simulation/parallel.h"
#include "oxbowmill/yaml/map.h"

namespace oxbowmill::simulation {

namespace {

constexpr double step_s = 0.5, failover_s = 4;
const std::vector<std::string> model_variants = {"always on", "fixed idle", "as it is", "bound"};
const std::vector<std::string> release_variants = {"unpaired", "by hand", "as it is"};

double quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(q * static_cast<double>(values.size())))];
}

/// Controllers in turn over one cluster, and tasks that end by themselves.
struct DecisionSimulation {
  DecisionSimulation(const DecisionScenario& scenario, std::uint64_t seed)
      : scenario_(scenario), cluster(3), random(seed) {
    for (std::uint32_t i = 0; i < scenario_.machines; ++i) {
      machine_names.push_back("m" + std::to_string(100 + i));
      cluster.add_machine(machine_names.back(), i % 2 == 0 ? "a" : "b", i % 3 == 0 ? "blue" : "red");
    }
    for (std::size_t i = 0; i < 3; ++i) {
      Settings& x = cluster.controller(i).cluster_state.settings;
      x.teams[1].limit = {};
      x.operator_settings.release_to_pool_s = 2;
      x.operator_settings.idle_retention_s = 1e9;
    }
    owner_fails_at = scenario_.owner_failure_interval_s > 0
                         ? cluster.now + exponential(scenario_.owner_failure_interval_s)
                         : 1e18;
  }
  double exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(random); }
  double log_uniform(double median) {
    return median * std::exp2(std::uniform_real_distribution<double>(-1, 1)(random));
  }
  void submit(const std::string& ref, const std::string& cls, JobShape shape, std::uint32_t tasks,
              double gpus, bool blue) {
    JobSpec spec = test_job(ref, tasks, gpus);
    spec.job_class = cluster.controller(0).cluster_state.names.classes.intern(cls);
    spec.shape = shape;
    spec.partition = PartitionIndex{blue ? 2U : 1U};
    if (shape == JobShape::service) spec.priority = Priority::production;
    submitted_at[ref] = cluster.now;
    cluster.submit(spec);
  }
  /// Half a second: controllers, workers, and what runs long enough ends.
  void step(const std::function<double(const std::string&)>& runs_s) {
    if (cluster.now >= owner_fails_at) {
      cluster.fail_over(owner, (owner + 1) % 3, failover_s);
      owner = (owner + 1) % 3;
      owner_fails_at = cluster.now + exponential(scenario_.owner_failure_interval_s);
    }
    cluster.run(step_s, owner);
    for (const std::string& m : machine_names) {
      Worker& agent = cluster.worker(m);
      std::vector<std::string> over;
      for (const auto& [id, task_report] : agent.tasks()) {
        if (task_report.phase == TaskPhase::ended) continue;
        auto [at, fresh] =
            running_since.try_emplace(id + "@" + std::to_string(task_report.attempt), cluster.now);
        if (fresh) first_started_at.try_emplace(task_report.job, cluster.now);
        double runs = runs_s(task_report.job);
        if (cluster.now - at->second >= runs) over.push_back(id);
      }
      for (const std::string& id : over) on_task_ended(id, agent);
    }
  }
  std::function<void(const std::string& id, Worker& agent)> on_task_ended;

  const DecisionScenario& scenario_;
  SimulatedCluster cluster;
  std::mt19937_64 random;
  std::vector<std::string> machine_names;
  std::map<std::string, double> submitted_at, first_started_at, running_since;
  std::size_t owner = 0;
  double owner_fails_at = 1e18;
};

DecisionRow play_model(const DecisionScenario& scenario, const std::string& variant, std::uint64_t seed) {
  DecisionRow row{variant, seed};
  DecisionSimulation simulation(scenario, seed);
  serving::ModelSpec terms = scenario.terms;
  if (variant == "always on") terms.min_replicas = 1;
  if (variant == "fixed idle") terms.idle_factor = 0;
  for (std::size_t i = 0; i < 3; ++i) simulation.cluster.controller(i).enable_decisions({}, {1, {terms}});
  simulation.submit("run-model", terms.job_class, JobShape::service, terms.max_replicas, 4, false);
  for (const std::string& m : simulation.machine_names)
    simulation.cluster.worker(m).first_phase = TaskPhase::fetching;
  simulation.on_task_ended = [](const std::string& id, Worker& worker) {
    bool replica = id.compare(0, 10, "run-model/") == 0;
    if (!replica) return worker.finish(id, EndCause::done);
    if (worker.phase(id) == TaskPhase::fetching) worker.set_phase(id, TaskPhase::running);
  };
  std::vector<std::pair<double, std::string>> calls;
  double end = simulation.cluster.now + scenario.duration_s,
         next = simulation.cluster.now + simulation.exponential(scenario.arrival_interval_s), replicas_s = 0;
  std::uint64_t epoch = 0, wrong_epochs = 0;
  std::map<std::uint64_t, std::set<std::string>> before_serving;
  while (simulation.cluster.now < end) {
    if (simulation.cluster.now >= next && simulation.cluster.now < end - 300) {
      for (std::uint32_t i = 0; i < scenario.calls_per_burst; ++i) {
        calls.emplace_back(simulation.cluster.now, "run-call" + std::to_string(calls.size()));
        simulation.submit(calls.back().second, terms.call_classes.at(0), JobShape::array, 1, 1, i % 2 == 1);
      }
      next = simulation.cluster.now + simulation.exponential(scenario.arrival_interval_s);
    }
    simulation.step([&](const std::string& job) {
      return job == "run-model" ? scenario.weights_fetch_s : scenario.call_s;
    });
    auto record = simulation.cluster.store.keys().find("o/d/model/" + terms.name);
    if (record == simulation.cluster.store.keys().end()) continue;
    std::uint64_t current_round = record->second.value.value("e", std::uint64_t{0});
    wrong_epochs += current_round > epoch + 1 ? 1 : 0;
    epoch = current_round;
    bool warms = record->second.value.at("s") == serving::warming;
    for (const std::string& m : simulation.machine_names) {
      for (const auto& [id, task] : simulation.cluster.worker(m).tasks()) {
        if (task.job != "run-model" || task.phase == TaskPhase::ended) continue;
        replicas_s += step_s;
        if (warms) before_serving[current_round].insert(id + "@" + std::to_string(task.attempt));
      }
    }
  }
  std::vector<double> waits;
  std::vector<std::pair<double, double>> busy;
  for (const auto& [called_at, ref] : calls) {
    auto began = simulation.first_started_at.find(ref);
    if (began == simulation.first_started_at.end()) {
      ++row.violations;
      continue;
    }
    waits.push_back(variant == "bound" ? 0 : began->second - called_at);
    busy.emplace_back(called_at, called_at + scenario.call_s);
  }
  row.rounds = static_cast<double>(epoch);
  std::vector<double> starts;
  for (const auto& [e, ids] : before_serving) starts.push_back(static_cast<double>(ids.size()));
  row.starts_before_serving = starts.empty() ? 0 : *std::max_element(starts.begin(), starts.end());
  row.gpu_hours = replicas_s * 4 / 3600;
  if (variant == "bound") {
    // Knows when calls come: a replica is there as they do, and stays where a cold start would cost more.
    double active_s = 0, until = -1e9;
    std::sort(busy.begin(), busy.end());
    for (const auto& [from, to] : busy) {
      active_s += from - until <= scenario.weights_fetch_s
                      ? std::max(0.0, to - std::max(until, from)) + std::max(0.0, from - until)
                      : scenario.weights_fetch_s + to - from;
      until = std::max(until, to);
    }
    row.gpu_hours = active_s * 4 / 3600;
    row.rounds = row.starts_before_serving = 0;
  }
  row.wait_median = quantile(waits, 0.5);
  row.wait_p95 = quantile(waits, 0.95);
  std::uint64_t changes = 0;
  for (std::size_t i = 0; i < 3; ++i)
    changes += simulation.cluster.controller(i).decision_log->changes_sent();
  row.changes_per_minute = static_cast<double>(changes) * 60 / scenario.duration_s;
  row.violations += static_cast<int>(simulation.cluster.run_log.duplicated_tasks.size() + wrong_epochs);
  return row;
}

DecisionRow play_release(const DecisionScenario& scenario, const std::string& variant, std::uint64_t seed) {
  DecisionRow row{variant, seed};
  DecisionSimulation simulation(scenario, seed);
  bool paired = variant == "as it is";
  for (std::size_t i = 0; i < 3; ++i) simulation.cluster.controller(i).enable_decisions({});
  std::map<std::string, double> runs;
  simulation.on_task_ended = [](const std::string& id, Worker& worker) { worker.finish(id, EndCause::done); };
  const std::vector<std::string> editions = {"ar", "fr"};
  std::vector<double> to_publish;
  double stale = 0, total = 0;
  auto revisions = static_cast<std::uint64_t>(scenario.duration_s / scenario.arrival_interval_s);
  auto step = [&] { simulation.step([&](const std::string& job) { return runs.at(job); }); };
  auto done = [&](const std::string& ref) { return simulation.cluster.phase(ref) == "done"; };
  for (std::uint64_t revision_number = 1; revision_number <= revisions; ++revision_number) {
    std::string tag = std::to_string(revision_number);
    release_calendar::ReleaseSpec terms;
    terms.name = "manual";
    terms.revision = "r" + tag;
    for (const std::string& e : editions)
      terms.editions.push_back({e, {{"run-" + e + tag, "", "", 1}}, {"run-pub-" + e + tag, "", "", 1}});
    for (std::size_t i = 0; i < 3 && paired; ++i)
      simulation.cluster.controller(i).release_planner->load({revision_number, {terms}});
    for (const std::string& edition : editions) {
      runs["run-" + edition + tag] = simulation.log_uniform(scenario.render_s);
      runs["run-pub-" + edition + tag] = simulation.log_uniform(scenario.publish_s);
      simulation.submit("run-" + edition + tag, "render", JobShape::array, 1, 4, edition == "fr");
      if (paired)
        simulation.submit("run-pub-" + edition + tag, "publish", JobShape::array, 1, 1, edition == "fr");
    }
    double rendered = -1, begun = simulation.cluster.now, looked = begun + scenario.manual_check_interval_s;
    std::map<std::string, double> published;
    while (published.size() < 2 && simulation.cluster.now < begun + 4 * scenario.arrival_interval_s +
                                                                scenario.manual_check_interval_s) {
      step();
      bool all = done("run-ar" + tag) && done("run-fr" + tag);
      if (all && rendered < 0) rendered = simulation.cluster.now;
      bool looks = simulation.cluster.now >= looked;
      if (looks) looked += scenario.manual_check_interval_s;
      for (const std::string& edition : editions) {
        std::string publish_job = "run-pub-" + edition + tag;
        bool go = variant == "unpaired" ? done("run-" + edition + tag) : variant == "by hand" && all && looks;
        if (go && simulation.submitted_at.count(publish_job) == 0)
          simulation.submit(publish_job, "publish", JobShape::array, 1, 1, edition == "fr");
        if (simulation.first_started_at.count(publish_job) != 0 && !all && variant != "unpaired")
          ++row.violations;
        if (simulation.submitted_at.count(publish_job) != 0 && done(publish_job))
          published.emplace(edition, simulation.cluster.now);
      }
      total += step_s;
      stale += published.size() == 1 ? step_s : 0;
    }
    if (published.size() < 2) {
      ++row.violations;  // stranded
      continue;
    }
    if (variant != "unpaired")
      to_publish.push_back(std::max(simulation.first_started_at.at("run-pub-ar" + tag),
                                    simulation.first_started_at.at("run-pub-fr" + tag)) -
                           rendered);
  }
  row.to_publish_median = quantile(to_publish, 0.5);
  row.to_publish_max = quantile(to_publish, 1);
  row.stale_fraction = total > 0 ? stale / total : 0;
  std::uint64_t changes = 0;
  for (std::size_t i = 0; i < 3; ++i)
    changes += simulation.cluster.controller(i).decision_log->changes_sent();
  row.changes_per_minute = static_cast<double>(changes) * 60 / std::max(1.0, total);
  row.violations += static_cast<int>(simulation.cluster.run_log.duplicated_tasks.size());
  return row;
}

}  // namespace

DecisionScenario load_decision_scenario(const std::string& file) {
  DecisionScenario scenario;
  yaml::Map root(file, "", yaml::load(file));
  scenario.terms.name = "chat";
  scenario.terms.job_class = "serve";
  scenario.terms.call_classes = {"call"};
  scenario.name = root.text("name");
  root.flag("releases", scenario.is_release_scenario);
  root.get("length_s", scenario.duration_s)
      .get("owner_ends_s", scenario.owner_failure_interval_s)
      .get("machines", scenario.machines);
  root.get("every_s", scenario.arrival_interval_s)
      .get("burst", scenario.calls_per_burst)
      .get("call_s", scenario.call_s)
      .get("fetch_s", scenario.weights_fetch_s);
  root.get("render_s", scenario.render_s)
      .get("publish_s", scenario.publish_s)
      .get("hand_s", scenario.manual_check_interval_s);
  root.get("most", scenario.terms.max_replicas).get("calls_per_replica", scenario.terms.calls_per_replica);
  root.get("idle_factor", scenario.terms.idle_factor).get("idle_floor_s", scenario.terms.idle_floor_s);
  root.reject_unknown_keys();
  return scenario;
}

std::vector<DecisionRow> play_decisions(const DecisionScenario& scenario, unsigned seeds, unsigned threads) {
  std::vector<DecisionRow> rows;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    for (const std::string& w : scenario.is_release_scenario ? release_variants : model_variants)
      rows.push_back({w, seed});
  }
  run_in_parallel(rows.size(), threads, [&](std::size_t i) {
    rows[i] = scenario.is_release_scenario ? play_release(scenario, rows[i].variant, rows[i].seed)
                                           : play_model(scenario, rows[i].variant, rows[i].seed);
  });
  return rows;
}

std::string table(const DecisionScenario& scenario, const std::vector<DecisionRow>& rows) {
  std::string out = scenario.name + ", medians over seeds\n";
  out += scenario.is_release_scenario
             ? "way          to publish  worst  stale  changes/min  broken\n"
             : "way          epochs  first starts  wait  wait 95%  GPU hours  changes/min  broken\n";
  for (const std::string& variant : scenario.is_release_scenario ? release_variants : model_variants) {
    auto median = [&](double DecisionRow::*field) {
      std::vector<double> values;
      for (const DecisionRow& r : rows) {
        if (r.variant == variant) values.push_back(r.*field);
      }
      return quantile(std::move(values), 0.5);
    };
    int broken = 0;
    double worst = 0, most_starts = 0;
    for (const DecisionRow& row : rows) {
      if (row.variant != variant) continue;
      broken += row.violations;
      worst = std::max(worst, row.to_publish_max);
      most_starts = std::max(most_starts, row.starts_before_serving);
    }
    if (scenario.is_release_scenario) {
      out += fmt::format("{:<12} {:>10.1f} {:>6.1f} {:>6.3f} {:>12.2f} {:>7}\n", variant,
                         median(&DecisionRow::to_publish_median), worst, median(&DecisionRow::stale_fraction),
                         median(&DecisionRow::changes_per_minute), broken);
    } else {
      out += fmt::format("{:<12} {:>6.0f} {:>13.0f} {:>5.1f} {:>9.1f} {:>10.2f} {:>12.2f} {:>7}\n", variant,
                         median(&DecisionRow::rounds), most_starts, median(&DecisionRow::wait_median),
                         median(&DecisionRow::wait_p95), median(&DecisionRow::gpu_hours),
                         median(&DecisionRow::changes_per_minute), broken);
    }
  }
  return out;
}

}  // namespace oxbowmill::simulation
