#include "oxbowmill/wire/agent_codec.h"

#include <limits>

#include "field_reader.h"
#include "name_table.h"
#include "shared_names.h"

namespace oxbowmill::wire {

namespace {

namespace field {
// Fields of reports.
constexpr const char* machine = "host";
constexpr const char* agent_epoch = "tenure";
constexpr const char* report_sequence = "serial";
constexpr const char* fencing_token = "warrant";
constexpr const char* preemption_notice_s = "recall_s";
constexpr const char* tasks = "shards";
// Fields of tasks, in reports and commands.
constexpr const char* task = "shard";
constexpr const char* attempt = "try";
constexpr const char* cause = "cause";
constexpr const char* checkpoint_saved = "stored";
// Fields of answers and commands.
constexpr const char* owner = "foreman";
constexpr const char* commands = "orders";
constexpr const char* command_kind = "verb";
constexpr const char* termination_timeout_s = "wind_down_s";
}  // namespace field

constexpr WireName<TaskPhase> task_phases[] = {{"fetching", TaskPhase::fetching},
                                               {"gathering", TaskPhase::gathering},
                                               {"running", TaskPhase::running},
                                               {"saving", TaskPhase::saving},
                                               {"ended", TaskPhase::ended}};

constexpr WireName<EndCause> end_causes[] = {{"done", EndCause::done},
                                             {"stopped", EndCause::stopped},
                                             {"peers", EndCause::peers_lost},
                                             {"incomplete", EndCause::gang_incomplete},
                                             {"error", EndCause::error},
                                             {"no_room", EndCause::no_capacity},
                                             {"busy", EndCause::attempt_conflict},
                                             {"no_such", EndCause::unknown_task}};

constexpr WireName<CommandKind> command_kinds[] = {
    {"start", CommandKind::start}, {"kill", CommandKind::kill}, {"clear", CommandKind::clear}};

constexpr std::size_t max_report_size = 4 * max_body_size;
constexpr std::size_t max_small_report_size = 2048;

const FieldNames report_fields{field::machine,
                               field::agent_epoch,
                               field::report_sequence,
                               field::fencing_token,
                               field::preemption_notice_s,
                               field::tasks,
                               field::task,
                               field::attempt,
                               field::cause,
                               field::checkpoint_saved,
                               shared::address,
                               shared::machine_type,
                               shared::zone,
                               shared::spot,
                               shared::phase};

struct TaskId {
  std::string job;
  TaskNumber task = 0;
};

/// Parses a task id: "run-000412/3" is task 3 of the job "run-000412".
std::optional<TaskId> read_task_id(const std::string& text) {
  constexpr std::size_t max_digits = 9;  // every number of 9 digits fits into a TaskNumber
  std::size_t slash = text.rfind('/');
  if (slash == std::string::npos || slash + 1 == text.size() || text.size() - slash > max_digits + 1)
    return std::nullopt;
  std::uint64_t number = 0;
  for (std::size_t i = slash + 1; i < text.size(); ++i) {
    if (text[i] < '0' || text[i] > '9') return std::nullopt;
    number = number * 10 + static_cast<std::uint64_t>(text[i] - '0');
  }
  TaskId id{text.substr(0, slash), static_cast<TaskNumber>(number)};
  return valid_id(id.job) ? std::optional<TaskId>(std::move(id)) : std::nullopt;
}

std::string write_task_id(const std::string& job, TaskNumber task) {
  return job + "/" + std::to_string(task);
}

/// An unknown cause is read as an error, because the task has ended in any case.
EndCause read_end_cause(FieldReader& fields) {
  std::string name = fields.has(field::cause) ? fields.text(field::cause) : std::string();
  return value_of(end_causes, name).value_or(EndCause::error);
}

std::optional<TaskReport> read_task(const Json& json) {
  if (!json.is_object()) return std::nullopt;
  FieldReader fields(json);
  auto id = read_task_id(fields.text(field::task));
  if (!id) return std::nullopt;
  TaskReport task;
  task.job = std::move(id->job);
  task.task = id->task;
  task.attempt = fields.count(field::attempt);
  auto phase = value_of(task_phases, fields.text(shared::phase));
  if (!fields.ok() || !phase) return std::nullopt;
  task.phase = *phase;
  if (task.phase == TaskPhase::ended) task.cause = read_end_cause(fields);
  const Json* saved = fields.optional(field::checkpoint_saved);
  task.checkpoint_saved = saved != nullptr && saved->is_boolean() && saved->get<bool>();
  return task;
}

bool is_text_valid(const Json& task) {
  return task.is_object() && !find_invalid_text(task);
}

/// The report without its tasks.
std::optional<AgentReport> read_report_fields(const Json& json) {
  FieldReader fields(json);
  AgentReport report;
  report.machine = fields.text(field::machine);
  if (!valid_id(report.machine)) fields.fail(field::machine);
  report.address = fields.text(shared::address);
  report.type = fields.text(shared::machine_type);
  report.zone = fields.text(shared::zone);
  report.spot = fields.flag(shared::spot);
  report.agent_epoch = fields.count(field::agent_epoch);
  report.report_sequence = fields.count(field::report_sequence);
  report.fencing_token = fields.count(field::fencing_token);
  report.preemption_notice_s =
      fields.has(field::preemption_notice_s) ? fields.amount(field::preemption_notice_s) : -1;
  auto tasks = json.find(field::tasks);
  if (!fields.ok() || tasks == json.end() || !tasks->is_array()) return std::nullopt;
  return report;
}

Json write_commands(const std::vector<AgentCommand>& commands) {
  Json out = Json::array();
  for (const AgentCommand& command : commands) {
    Json json = {{field::command_kind, name_on_wire(command_kinds, command.kind)},
                 {field::task, write_task_id(command.job, command.task)},
                 {field::attempt, command.attempt}};
    if (command.kind == CommandKind::kill) json[field::termination_timeout_s] = command.termination_timeout_s;
    out.push_back(std::move(json));
  }
  return out;
}

}  // namespace

const BodyRules report_rules{max_report_size, max_body_size, TextCheck::whole_body,
                             std::numeric_limits<std::size_t>::max(), &report_fields};

std::optional<AgentReport> read_report(const Json& json) {
  auto report = read_report_fields(json);
  if (!report) return std::nullopt;
  for (const Json& task_json : json.at(field::tasks)) {
    auto task = read_task(task_json);
    if (!task) return std::nullopt;
    report->tasks.push_back(std::move(*task));
  }
  return report;
}

namespace {
constexpr const char* unreadable_field = "a field is missing or invalid";

/// Builds the whole content before it is read, which is the faster way for the usual report.
ReceivedReport decode_small_report(const std::string& body) {
  DecodedMap decoded = decode_map(body);
  if (!decoded) return {std::nullopt, decoded.error(), ""};
  ReceivedReport received{read_report(*decoded), "", ""};
  if (received.report) return received;
  return {std::nullopt, unreadable_field, FieldReader(*decoded).text(field::machine)};
}
}  // namespace

ReceivedReport decode_report(const std::string& body) {
  if (body.size() <= max_small_report_size) return decode_small_report(body);
  std::vector<TaskReport> tasks;
  bool is_valid = true;
  ListReader task_reader{field::tasks,
                         [&](const Json& item) {
                           auto task = is_text_valid(item) ? read_task(item) : std::nullopt;
                           is_valid = is_valid && task.has_value();
                           if (task) tasks.push_back(std::move(*task));
                         },
                         [&is_valid] { return !is_valid; }};
  DecodedMap decoded = decode_map(body, report_rules, &task_reader);
  if (!decoded) return {std::nullopt, decoded.error(), ""};
  ReceivedReport received{read_report_fields(*decoded), "", FieldReader(*decoded).text(field::machine)};
  if (!is_valid) received.report.reset();
  if (received.report) {
    received.report->tasks = std::move(tasks);
  } else {
    received.error = unreadable_field;
  }
  return received;
}

Json write_report_answer(const ReportAnswer& answer) {
  if (answer.kind == ReportAnswer::Kind::redirect) return {{field::owner, answer.owner}};
  return {{field::fencing_token, answer.fencing_token}, {field::commands, write_commands(answer.commands)}};
}

Json write_direct_commands(const DirectCommands& commands) {
  return {{field::fencing_token, commands.fencing_token},
          {field::agent_epoch, commands.agent_epoch},
          {field::commands, write_commands(commands.commands)}};
}

}  // namespace oxbowmill::wire
