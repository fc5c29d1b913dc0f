#include "oxbowmill/lab/worker_wire.h"

namespace oxbowmill::lab {

using wire::Json;

namespace {

constexpr const char* phase_names[] = {"fetching", "gathering", "running", "saving", "ended"};

std::vector<Order> read_orders(const Json& list) {
  std::vector<Order> orders;
  for (const Json& entry : list) {
    auto shard = entry.at("shard").get<std::string>(), verb = entry.at("verb").get<std::string>();
    std::size_t slash = shard.rfind('/');
    Order order;
    order.verb = verb == "start" ? OrderVerb::start : verb == "kill" ? OrderVerb::kill : OrderVerb::clear;
    order.job = shard.substr(0, slash);
    order.task = static_cast<TaskNo>(std::stoul(shard.substr(slash + 1)));
    order.attempt = entry.at("try").get<Attempt>();
    order.wind_down_s = entry.value("wind_down_s", 0.0);
    orders.push_back(std::move(order));
  }
  return orders;
}

}  // namespace

Json write_report(const WorkerReport& report) {
  Json tasks = Json::array();
  for (const TaskReport& task : report.tasks) {
    Json entry = {{"shard", task.job + "/" + std::to_string(task.task)},
                  {"try", task.attempt},
                  {"phase", phase_names[static_cast<int>(task.phase)]}};
    if (task.phase == TaskPhase::ended) entry["cause"] = name_of(task.cause);
    if (task.saved) entry["stored"] = true;
    tasks.push_back(std::move(entry));
  }
  return {{"host", report.machine},    {"address", report.address}, {"rig", report.type},
          {"yard", report.zone},       {"loaners", report.spot},    {"tenure", report.tenure},
          {"serial", report.serial},   {"warrant", report.token},   {"recall_s", nullptr},
          {"shards", std::move(tasks)}};
}

std::optional<ReportAnswer> read_answer(const Json& body) {
  try {
    ReportAnswer answer;
    answer.kind = ReportAnswer::Kind::ok;
    answer.token = body.at("warrant").get<Stamp>();
    answer.orders = read_orders(body.at("orders"));
    return answer;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::optional<DirectOrders> read_command(const Json& body) {
  try {
    DirectOrders command;
    command.token = body.at("warrant").get<Stamp>();
    command.tenure = body.at("tenure").get<std::uint64_t>();
    command.orders = read_orders(body.at("orders"));
    return command;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace oxbowmill::lab
