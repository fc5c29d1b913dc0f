#include "oxbowmill/simulation/agent_wire.h"

namespace oxbowmill::simulation {

using wire::Json;

namespace {

constexpr const char* phase_names[] = {"fetching", "gathering", "running", "saving", "ended"};

std::vector<AgentCommand> decode_command_list(const Json& list) {
  std::vector<AgentCommand> commands;
  for (const Json& entry : list) {
    auto shard = entry.at("shard").get<std::string>(), verb = entry.at("verb").get<std::string>();
    std::size_t slash = shard.rfind('/');
    AgentCommand command;
    command.kind = verb == "start"  ? CommandKind::start
                   : verb == "kill" ? CommandKind::kill
                                    : CommandKind::clear;
    command.job = shard.substr(0, slash);
    command.task = static_cast<TaskNumber>(std::stoul(shard.substr(slash + 1)));
    command.attempt = entry.at("try").get<Attempt>();
    command.termination_timeout_s = entry.value("wind_down_s", 0.0);
    commands.push_back(std::move(command));
  }
  return commands;
}

}  // namespace

Json write_report(const AgentReport& report) {
  Json tasks = Json::array();
  for (const TaskReport& task : report.tasks) {
    Json entry = {{"shard", task.job + "/" + std::to_string(task.task)},
                  {"try", task.attempt},
                  {"phase", phase_names[static_cast<int>(task.phase)]}};
    if (task.phase == TaskPhase::ended) entry["cause"] = name_of(task.cause);
    if (task.checkpoint_saved) entry["stored"] = true;
    tasks.push_back(std::move(entry));
  }
  return {{"host", report.machine},
          {"address", report.address},
          {"rig", report.type},
          {"yard", report.zone},
          {"loaners", report.spot},
          {"tenure", report.agent_epoch},
          {"serial", report.report_sequence},
          {"warrant", report.fencing_token},
          {"recall_s", nullptr},
          {"shards", std::move(tasks)}};
}

bool exceeds_limit(const Json& message) {
  return wire::to_json_text(message).size() > wire::max_body_size;
}

std::optional<ReportAnswer> read_answer(const Json& body) {
  try {
    ReportAnswer answer;
    answer.kind = ReportAnswer::Kind::ok;
    answer.fencing_token = body.at("warrant").get<Revision>();
    answer.commands = decode_command_list(body.at("orders"));
    return answer;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::optional<DirectCommands> read_direct_commands(const Json& body) {
  try {
    DirectCommands command;
    command.fencing_token = body.at("warrant").get<Revision>();
    command.agent_epoch = body.at("tenure").get<std::uint64_t>();
    command.commands = decode_command_list(body.at("orders"));
    return command;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace oxbowmill::simulation
