#include "oxbowmill/simulation/decision_simulation.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <tuple>

#include "oxbowmill/simulation/parallel.h"
#include "oxbowmill/yaml/map.h"

namespace oxbowmill::simulation {

namespace {

constexpr double step_s = 0.5, failover_s = 4;
constexpr double seconds_per_minute = 60, seconds_per_hour = 3600;
constexpr std::size_t controller_count = 3;
constexpr const char *always_on = "always on", *fixed_idle = "fixed idle", *as_implemented = "as it is",
                     *oracle = "bound", *unpaired = "unpaired", *manual = "by hand";
const std::vector<std::string> model_variants = {always_on, fixed_idle, as_implemented, oracle};
const std::vector<std::string> release_variants = {unpaired, manual, as_implemented};

double quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(q * static_cast<double>(values.size())))];
}

/// A cluster of three controllers, one of which owns all partitions at a time, whose tasks end after their
/// run time.
struct DecisionSimulation {
  DecisionSimulation(const DecisionScenario& simulated_scenario, std::uint64_t seed)
      : scenario(simulated_scenario), cluster(controller_count), random(seed) {
    for (std::uint32_t i = 0; i < scenario.machines; ++i) {
      machine_names.push_back("m" + std::to_string(100 + i));
      cluster.add_machine(machine_names.back(), i % 2 == 0 ? "a" : "b", i % 3 == 0 ? "blue" : "red");
    }
    for (std::size_t i = 0; i < controller_count; ++i) {
      Settings& settings = cluster.controller(i).cluster_state.settings;
      settings.teams[1].limit = {};
      settings.operator_settings.release_to_pool_s = 2;
      settings.operator_settings.idle_retention_s = 1e9;
    }
    owner_fails_at = scenario.owner_failure_interval_s > 0
                         ? cluster.now + exponential(scenario.owner_failure_interval_s)
                         : 1e18;
  }
  double exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(random); }
  double log_uniform(double median) {
    return median * std::exp2(std::uniform_real_distribution<double>(-1, 1)(random));
  }
  void submit(const std::string& ref, const std::string& job_class, JobShape shape, std::uint32_t tasks,
              double gpus, bool in_blue_partition) {
    JobSpec spec = test_job(ref, tasks, gpus);
    spec.job_class = cluster.controller(0).cluster_state.names.classes.intern(job_class);
    spec.shape = shape;
    spec.partition = PartitionIndex{in_blue_partition ? 2U : 1U};
    if (shape == JobShape::service) spec.priority = Priority::production;
    submitted_at[ref] = cluster.now;
    cluster.submit(spec);
  }
  /// Simulates half a second, then calls `on_task_ended` for each task that has run for as long as
  /// `run_time_s` returns for its job, in seconds.
  void step(const std::function<double(const std::string&)>& run_time_s) {
    if (cluster.now >= owner_fails_at) {
      cluster.fail_over(owner, (owner + 1) % controller_count, failover_s);
      owner = (owner + 1) % controller_count;
      owner_fails_at = cluster.now + exponential(scenario.owner_failure_interval_s);
    }
    cluster.run(step_s, owner);
    for (const std::string& m : machine_names) {
      Agent& agent = cluster.agent(m);
      std::vector<std::string> ended_tasks;
      for (const auto& [id, task_report] : agent.tasks()) {
        if (task_report.phase == TaskPhase::ended) continue;
        auto [at, inserted] =
            running_since.try_emplace(id + "@" + std::to_string(task_report.attempt), cluster.now);
        if (inserted) first_started_at.try_emplace(task_report.job, cluster.now);
        double duration_s = run_time_s(task_report.job);
        if (cluster.now - at->second >= duration_s) ended_tasks.push_back(id);
      }
      for (const std::string& id : ended_tasks) on_task_ended(id, agent);
    }
  }
  std::function<void(const std::string& id, Agent& agent)> on_task_ended;

  const DecisionScenario& scenario;
  SimulatedCluster cluster;
  std::mt19937_64 random;
  std::vector<std::string> machine_names;
  std::map<std::string, double> submitted_at, first_started_at, running_since;
  std::size_t owner = 0;
  double owner_fails_at = 1e18;
};

std::uint64_t changes_sent(DecisionSimulation& simulation) {
  std::uint64_t changes = 0;
  for (std::size_t i = 0; i < controller_count; ++i)
    changes += simulation.cluster.controller(i).decision_log->changes_sent();
  return changes;
}

/// Runs a model that scales to zero, with calls that arrive in bursts.
class ModelRun {
 public:
  ModelRun(const DecisionScenario& scenario, const std::string& variant, std::uint64_t seed)
      : scenario_(scenario), row_{variant, seed}, simulation_(scenario, seed), spec_(scenario.model) {
    if (variant == always_on) spec_.min_replicas = 1;
    if (variant == fixed_idle) spec_.idle_factor = 0;
    for (std::size_t i = 0; i < controller_count; ++i)
      simulation_.cluster.controller(i).enable_decisions({}, {1, {spec_}});
    simulation_.submit(service_job, spec_.job_class, JobShape::service, spec_.max_replicas, replica_gpus,
                       false);
    for (const std::string& name : simulation_.machine_names)
      simulation_.cluster.agent(name).first_phase = TaskPhase::fetching;
    simulation_.on_task_ended = [](const std::string& id, Agent& agent) {
      bool is_replica = id.rfind(std::string(service_job) + "/", 0) == 0;
      if (!is_replica) return agent.finish(id, EndCause::done);
      if (agent.phase(id) == TaskPhase::fetching) agent.set_phase(id, TaskPhase::running);
    };
  }

  DecisionRow run() {
    double end = simulation_.cluster.now + scenario_.duration_s;
    double next_burst_at = simulation_.cluster.now + simulation_.exponential(scenario_.arrival_interval_s);
    while (simulation_.cluster.now < end) {
      if (simulation_.cluster.now >= next_burst_at &&
          simulation_.cluster.now < end - last_calls_before_end_s) {
        submit_calls();
        next_burst_at = simulation_.cluster.now + simulation_.exponential(scenario_.arrival_interval_s);
      }
      simulation_.step([&](const std::string& job) {
        return job == service_job ? scenario_.weights_fetch_s : scenario_.call_s;
      });
      observe_replicas();
    }
    return summarise();
  }

 private:
  static constexpr double last_calls_before_end_s = 300;
  static constexpr double replica_gpus = 4;
  static constexpr const char* service_job = "run-model";

  struct Call {
    double at = 0;
    std::string ref;
  };
  struct Interval {
    double from = 0, to = 0;
  };

  void submit_calls() {
    for (std::uint32_t i = 0; i < scenario_.calls_per_burst; ++i) {
      calls_.push_back({simulation_.cluster.now, "run-call" + std::to_string(calls_.size())});
      simulation_.submit(calls_.back().ref, spec_.call_classes.at(0), JobShape::array, 1, 1, i % 2 == 1);
    }
  }

  /// Adds up the time of the model replicas, and records those that started in an epoch before the model
  /// served.
  void observe_replicas() {
    auto record = simulation_.cluster.store.keys().find("o/d/model/" + spec_.name);
    if (record == simulation_.cluster.store.keys().end()) return;
    std::uint64_t current_epoch = record->second.value.value("e", std::uint64_t{0});
    skipped_epochs_ += current_epoch > epoch_ + 1 ? 1 : 0;
    epoch_ = current_epoch;
    bool model_is_warming = record->second.value.at("s") == serving::warming_stored_name;
    for (const std::string& name : simulation_.machine_names) {
      for (const auto& [id, task] : simulation_.cluster.agent(name).tasks()) {
        if (task.job != service_job || task.phase == TaskPhase::ended) continue;
        replica_time_s_ += step_s;
        if (model_is_warming)
          started_before_serving_[current_epoch].insert(id + "@" + std::to_string(task.attempt));
      }
    }
  }

  DecisionRow summarise() {
    std::vector<double> waits;
    std::vector<Interval> call_intervals;
    for (const Call& call : calls_) {
      auto started = simulation_.first_started_at.find(call.ref);
      if (started == simulation_.first_started_at.end()) {
        ++row_.violations;
        continue;
      }
      waits.push_back(row_.variant == oracle ? 0 : started->second - call.at);
      call_intervals.push_back({call.at, call.at + scenario_.call_s});
    }
    row_.epochs = static_cast<double>(epoch_);
    for (const auto& [epoch, ids] : started_before_serving_)
      row_.starts_before_serving = std::max(row_.starts_before_serving, static_cast<double>(ids.size()));
    row_.gpu_hours = replica_time_s_ * replica_gpus / seconds_per_hour;
    if (row_.variant == oracle) {
      row_.gpu_hours = oracle_active_s(std::move(call_intervals)) * replica_gpus / seconds_per_hour;
      row_.epochs = row_.starts_before_serving = 0;
    }
    row_.wait_median_s = quantile(waits, 0.5);
    row_.wait_p95_s = quantile(waits, 0.95);
    row_.changes_per_minute =
        static_cast<double>(changes_sent(simulation_)) * seconds_per_minute / scenario_.duration_s;
    row_.violations +=
        static_cast<int>(simulation_.cluster.run_log.duplicated_tasks.size() + skipped_epochs_);
    return row_;
  }

  /// Time with an active replica if arrivals of calls were known in advance: a replica is ready for each
  /// call, and stays between two calls unless a cold start takes less time.
  double oracle_active_s(std::vector<Interval> call_intervals) const {
    std::sort(call_intervals.begin(), call_intervals.end(), [](const Interval& a, const Interval& b) {
      return std::tie(a.from, a.to) < std::tie(b.from, b.to);
    });
    double active_s = 0, until = -1e9;
    for (const Interval& call : call_intervals) {
      active_s += call.from - until <= scenario_.weights_fetch_s
                      ? std::max(0.0, call.to - std::max(until, call.from)) + std::max(0.0, call.from - until)
                      : scenario_.weights_fetch_s + call.to - call.from;
      until = std::max(until, call.to);
    }
    return active_s;
  }

  const DecisionScenario& scenario_;
  DecisionRow row_;
  DecisionSimulation simulation_;
  serving::ModelSpec spec_;
  std::vector<Call> calls_;
  double replica_time_s_ = 0;
  std::uint64_t epoch_ = 0, skipped_epochs_ = 0;
  std::map<std::uint64_t, std::set<std::string>> started_before_serving_;  // by epoch
};

/// Runs revisions one after the other; each has two editions that are to be published together.
class ReleaseRun {
 public:
  ReleaseRun(const DecisionScenario& scenario, const std::string& variant, std::uint64_t seed)
      : scenario_(scenario), row_{variant, seed}, simulation_(scenario, seed) {
    for (std::size_t i = 0; i < controller_count; ++i) simulation_.cluster.controller(i).enable_decisions({});
    simulation_.on_task_ended = [](const std::string& id, Agent& agent) { agent.finish(id, EndCause::done); };
  }

  DecisionRow run() {
    auto revisions = static_cast<std::uint64_t>(scenario_.duration_s / scenario_.arrival_interval_s);
    for (std::uint64_t number = 1; number <= revisions; ++number) {
      revision_tag_ = std::to_string(number);
      if (is_coordinated()) load_release(number);
      submit_revision();
      follow_revision();
    }
    row_.time_to_publish_median_s = quantile(times_to_publish_s_, 0.5);
    row_.time_to_publish_max_s = quantile(times_to_publish_s_, 1);
    row_.stale_fraction = total_s_ > 0 ? partly_published_s_ / total_s_ : 0;
    row_.changes_per_minute =
        static_cast<double>(changes_sent(simulation_)) * seconds_per_minute / std::max(1.0, total_s_);
    row_.violations += static_cast<int>(simulation_.cluster.run_log.duplicated_tasks.size());
    return row_;
  }

 private:
  bool is_coordinated() const { return row_.variant == as_implemented; }
  std::string render_job(const std::string& edition) const { return "run-" + edition + revision_tag_; }
  std::string publish_job(const std::string& edition) const { return "run-pub-" + edition + revision_tag_; }
  bool is_done(const std::string& ref) const { return simulation_.cluster.phase(ref) == "done"; }
  bool is_submitted(const std::string& ref) const { return simulation_.submitted_at.count(ref) != 0; }

  void load_release(std::uint64_t number) {
    release_calendar::ReleaseSpec spec;
    spec.name = "manual";
    spec.revision = "r" + revision_tag_;
    for (const std::string& edition : editions)
      spec.editions.push_back(
          {edition, {{render_job(edition), "", "", 1}}, {publish_job(edition), "", "", 1}});
    for (std::size_t i = 0; i < controller_count; ++i)
      simulation_.cluster.controller(i).release_coordinator->load({number, {spec}});
  }

  void submit_revision() {
    for (const std::string& edition : editions) {
      run_s_[render_job(edition)] = simulation_.log_uniform(scenario_.render_s);
      run_s_[publish_job(edition)] = simulation_.log_uniform(scenario_.publish_s);
      simulation_.submit(render_job(edition), "render", JobShape::array, 1, 4, edition == "fr");
      if (is_coordinated()) submit_publish_job(edition);
    }
  }

  void submit_publish_job(const std::string& edition) {
    simulation_.submit(publish_job(edition), "publish", JobShape::array, 1, 1, edition == "fr");
  }

  /// Simulates until both editions are published or the time allowed for that is over.
  void follow_revision() {
    double begun_at = simulation_.cluster.now, rendered_at = -1;
    double give_up_at = begun_at + 4 * scenario_.arrival_interval_s + scenario_.manual_check_interval_s;
    double next_check_at = begun_at + scenario_.manual_check_interval_s;
    std::set<std::string> published;
    while (published.size() < editions.size() && simulation_.cluster.now < give_up_at) {
      simulation_.step([&](const std::string& job) { return run_s_.at(job); });
      bool all_rendered = std::all_of(editions.begin(), editions.end(), [this](const std::string& edition) {
        return is_done(render_job(edition));
      });
      if (all_rendered && rendered_at < 0) rendered_at = simulation_.cluster.now;
      bool check_due = simulation_.cluster.now >= next_check_at;
      if (check_due) next_check_at += scenario_.manual_check_interval_s;
      for (const std::string& edition : editions) {
        if (advance_edition(edition, all_rendered, check_due)) published.insert(edition);
      }
      total_s_ += step_s;
      partly_published_s_ += published.size() == 1 ? step_s : 0;
    }
    if (published.size() < editions.size()) {
      ++row_.violations;  // not published in time
      return;
    }
    if (row_.variant == unpaired) return;
    times_to_publish_s_.push_back(std::max(simulation_.first_started_at.at(publish_job("ar")),
                                           simulation_.first_started_at.at(publish_job("fr"))) -
                                  rendered_at);
  }

  /// Submits the publishing job in the variants without a coordinated release; returns whether the edition is
  /// published.
  bool advance_edition(const std::string& edition, bool all_rendered, bool check_due) {
    std::string job = publish_job(edition);
    bool should_submit = row_.variant == unpaired ? is_done(render_job(edition))
                                                  : row_.variant == manual && all_rendered && check_due;
    if (should_submit && !is_submitted(job)) submit_publish_job(edition);
    if (simulation_.first_started_at.count(job) != 0 && !all_rendered && row_.variant != unpaired)
      ++row_.violations;
    return is_submitted(job) && is_done(job);
  }

  const std::vector<std::string> editions = {"ar", "fr"};
  const DecisionScenario& scenario_;
  DecisionRow row_;
  DecisionSimulation simulation_;
  std::string revision_tag_;             // number of the present revision, part of the names of its jobs
  std::map<std::string, double> run_s_;  // by job
  std::vector<double>
      times_to_publish_s_;  // by revision: seconds from the last rendering until both publishing jobs run
  double partly_published_s_ = 0, total_s_ = 0;
};

}  // namespace

DecisionScenario load_decision_scenario(const std::string& file) {
  DecisionScenario scenario;
  yaml::Map root(file, "", yaml::load(file));
  scenario.model.name = "chat";
  scenario.model.job_class = "serve";
  scenario.model.call_classes = {"call"};
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
  root.get("most", scenario.model.max_replicas).get("calls_per_replica", scenario.model.calls_per_replica);
  root.get("idle_factor", scenario.model.idle_factor).get("idle_floor_s", scenario.model.idle_floor_s);
  root.reject_unknown_keys();
  return scenario;
}

std::vector<DecisionRow> run_decision_variants(const DecisionScenario& scenario, unsigned seeds,
                                               unsigned threads) {
  std::vector<DecisionRow> rows;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    for (const std::string& variant : scenario.is_release_scenario ? release_variants : model_variants)
      rows.push_back({variant, seed});
  }
  run_in_parallel(rows.size(), threads, [&](std::size_t i) {
    rows[i] = scenario.is_release_scenario ? ReleaseRun(scenario, rows[i].variant, rows[i].seed).run()
                                           : ModelRun(scenario, rows[i].variant, rows[i].seed).run();
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
    int violations = 0;
    double worst = 0, most_starts = 0;
    for (const DecisionRow& row : rows) {
      if (row.variant != variant) continue;
      violations += row.violations;
      worst = std::max(worst, row.time_to_publish_max_s);
      most_starts = std::max(most_starts, row.starts_before_serving);
    }
    if (scenario.is_release_scenario) {
      out += fmt::format("{:<12} {:>10.1f} {:>6.1f} {:>6.3f} {:>12.2f} {:>7}\n", variant,
                         median(&DecisionRow::time_to_publish_median_s), worst,
                         median(&DecisionRow::stale_fraction), median(&DecisionRow::changes_per_minute),
                         violations);
    } else {
      out += fmt::format("{:<12} {:>6.0f} {:>13.0f} {:>5.1f} {:>9.1f} {:>10.2f} {:>12.2f} {:>7}\n", variant,
                         median(&DecisionRow::epochs), most_starts, median(&DecisionRow::wait_median_s),
                         median(&DecisionRow::wait_p95_s), median(&DecisionRow::gpu_hours),
                         median(&DecisionRow::changes_per_minute), violations);
    }
  }
  return out;
}

}  // namespace oxbowmill::simulation
