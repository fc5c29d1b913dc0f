#include "scale_report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace oxbowmill::simulation {

using Json = nlohmann::json;

namespace {

// Above either of these, a simulator and not the controllers limited the run, so that its figures are
// invalid. The first is the fraction of a core that a simulator uses, the second the delay of its event loop.
constexpr double max_processor_fraction = 0.85, max_lateness_s = 0.5;

Json distribution_json(const Distribution& distribution) {
  return {{"n", distribution.count()},
          {"p50", distribution.quantile(0.5)},
          {"p99", distribution.quantile(0.99)},
          {"worst", distribution.quantile(1)}};
}

Json processes_json(const std::vector<ScaleProcess>& processes, double seconds) {
  Json json = Json::array();
  for (const ScaleProcess& process : processes) {
    json.push_back({{"role", process.role()},
                    {"processor", process.processor_s() / seconds},
                    {"resident_mb", process.max_resident_mb()},
                    {"sockets", process.max_sockets()}});
  }
  return json;
}

Json classes_json(const ScaleSettings& settings, const ScaleEvaluator& evaluator) {
  Json json = Json::object();
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const ScaleEvaluator::ClassWaits& waits = evaluator.waits()[i];
    json[settings.classes[i].name] = {{"jobs", waits.jobs},
                                      {"begun", waits.fully_started},
                                      {"first_s", distribution_json(waits.first_task_s)},
                                      {"all_s", distribution_json(waits.all_tasks_s)}};
  }
  return json;
}

/// Returns the reasons why a simulator limited this run; empty if none did.
std::vector<std::string> simulator_limits(const ScaleEvaluator& evaluator,
                                          const std::vector<ScaleProcess>& processes, double seconds) {
  std::vector<std::string> reasons;
  for (const ScaleProcess& process : processes) {
    double fraction = process.processor_s() / seconds;
    if (process.is_simulator() && fraction > max_processor_fraction)
      reasons.push_back(process.role() + " used " + std::to_string(fraction) + " of a core, more than " +
                        std::to_string(max_processor_fraction));
  }
  for (const char* counter : {"workers_late_s", "users_late_s", "state_late_s"}) {
    if (evaluator.maximum_of(counter) > max_lateness_s)
      reasons.push_back(std::string(counter) + " was " + std::to_string(evaluator.maximum_of(counter)) +
                        " s, more than " + std::to_string(max_lateness_s) + " s");
  }
  return reasons;
}

}  // namespace

ScaleReport make_report(const ScaleSettings& settings, const ScaleEvaluator& evaluator,
                        const std::vector<ScaleProcess>& processes,
                        const std::vector<std::string>& unexpectedly_ended, double measured_s) {
  ScaleReport out;
  out.violations = evaluator.violations();
  for (const std::string& role : unexpectedly_ended)
    out.violations.push_back("process ended unexpectedly: " + role);
  double seconds = std::max(1.0, measured_s);
  out.invalid_figure_reasons = simulator_limits(evaluator, processes, seconds);
  double controllers = 0;
  for (const ScaleProcess& process : processes)
    controllers += process.is_simulator() ? 0 : process.processor_s();
  double starts = std::max<double>(1, static_cast<double>(evaluator.starts()));
  out.figures = {
      {"run", settings.name},
      {"seed", settings.seed},
      {"workers", settings.workers},
      {"controllers", settings.controllers},
      {"measured_s", seconds},
      {"processes", processes_json(processes, seconds)},
      {"starts", evaluator.starts()},
      {"starts_a_s", static_cast<double>(evaluator.starts()) / seconds},
      {"most_running", evaluator.max_running()},
      {"lost", evaluator.lost_tasks()},
      {"controllers_ms_a_start", 1000 * controllers / starts},
      {"controllers_processor", controllers / seconds},
      {"changes_a_start", evaluator.increase_of("state_changes") / starts},
      {"state_requests_a_s", evaluator.increase_of("state_requests") / seconds},
      {"state_refused", evaluator.increase_of("state_refused")},
      {"state_failed", evaluator.increase_of("state_failed")},
      {"state_bytes_in_a_start", evaluator.increase_of("state_bytes_in") / starts},
      {"watch_bytes_a_s", evaluator.increase_of("state_watch_bytes") / seconds},
      {"state_keys", evaluator.maximum_of("state_keys")},
      {"reports_a_s", evaluator.increase_of("reports") / seconds},
      {"report_bytes_a_worker_s", evaluator.increase_of("report_bytes") / seconds / settings.workers},
      {"answer_bytes_a_worker_s", evaluator.increase_of("answer_bytes") / seconds / settings.workers},
      {"command_bytes_a_worker_s", evaluator.increase_of("command_bytes") / seconds / settings.workers},
      {"commands_a_s", evaluator.increase_of("commands") / seconds},
      {"reports_unanswered", evaluator.increase_of("reports_unanswered")},
      {"users_asked", evaluator.increase_of("users_asked")},
      {"users_refused", evaluator.increase_of("users_refused")},
      {"submit_ms", distribution_json(evaluator.submit_ms())},
      {"classes", classes_json(settings, evaluator)},
      {"broken", out.violations},
      {"no_figure", out.invalid_figure_reasons}};
  return out;
}

std::string table(const ScaleReport& report) {
  std::ostringstream out;
  const Json& figures = report.figures;
  out << std::fixed << std::setprecision(2);
  auto row = [&](const std::string& name, const Json& value) {
    out << "  " << std::left << std::setw(28) << name << value << '\n';
  };
  out << figures.at("run").get<std::string>() << ", seed " << figures.at("seed") << ", "
      << figures.at("workers") << " workers, " << figures.at("controllers") << " controllers, "
      << figures.at("measured_s").get<double>() << " s measured\n";
  if (!report.invalid_figure_reasons.empty()) {
    out << "  invalid figures, because a simulator and not the controllers limited the run:\n";
    for (const std::string& reason : report.invalid_figure_reasons) out << "    " << reason << '\n';
  }
  for (const char* key :
       {"starts", "starts_a_s", "most_running", "lost", "controllers_ms_a_start", "controllers_processor",
        "changes_a_start", "state_requests_a_s", "state_bytes_in_a_start", "watch_bytes_a_s", "reports_a_s",
        "report_bytes_a_worker_s", "answer_bytes_a_worker_s", "submit_ms"})
    row(key, figures.at(key));
  for (const auto& [name, waits] : figures.at("classes").items()) row(name, waits);
  for (const Json& process : figures.at("processes")) row(process.at("role").get<std::string>(), process);
  out << "  " << report.violations.size() << " invariant violations\n";
  for (const std::string& violation : report.violations) out << "    " << violation << '\n';
  return out.str();
}

}  // namespace oxbowmill::simulation
