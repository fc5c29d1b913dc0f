// The oxbowctl program, the command line for users: submits a job, prints its status, waits for it or
// withdraws it.
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "oxbowmill/client/client.h"
#include "oxbowmill/error.h"
#include "oxbowmill/net/broken_pipe.h"
#include "oxbowmill/version.h"
#include "oxbowmill/yaml/map.h"

namespace {

using namespace oxbowmill;
using client::Reply;
using client::RequestOutcome;
using wire::Json;

/// Exit statuses, documented in docs/clients.md.
enum ExitCode {
  ok = 0,
  cancelled = 1,
  bad_usage = 2,
  refused = 3,
  not_found = 4,
  unavailable = 5,
  timed_out = 6
};

int exit_code_of(const Reply& reply) {
  switch (reply.outcome) {
    case RequestOutcome::ok:
      return reply.status.phase == "cancelled" ? ExitCode::cancelled : ExitCode::ok;
    case RequestOutcome::malformed:
    case RequestOutcome::impossible:
      return ExitCode::refused;
    case RequestOutcome::not_found:
      return ExitCode::not_found;
    case RequestOutcome::retryable:
      return reply.timed_out ? ExitCode::timed_out : ExitCode::unavailable;
  }
  return ExitCode::unavailable;
}

/// A missing or invalid argument.
class ArgumentError : public Error {
 public:
  using Error::Error;
  ArgumentError(const std::string& name, const std::string& reason) : Error(name + ": " + reason) {}
};

/// An invalid job file; `key` is the invalid field.
class JobFileError : public Error {
 public:
  JobFileError(const std::string& file, const std::string& reason) : Error(file + ": " + reason) {}
  JobFileError(const std::string& file, const std::string& key, const std::string& reason)
      : Error(file + ": " + key + ": " + reason) {}
};

/// The protocol has no field of this name.
class UnknownFieldError : public Error {
 public:
  UnknownFieldError() : Error("unknown field") {}
};

constexpr const char* wrong_type = "value has the wrong type";

std::vector<net::Address> parse_controllers(const std::string& list) {
  std::vector<net::Address> controllers;
  std::stringstream in(list);
  for (std::string address; std::getline(in, address, ',');)
    controllers.push_back(net::parse_address(address));
  if (controllers.empty())
    throw ArgumentError("no controllers: give their addresses with --nodes, OXBOW_NODES or the config file");
  return controllers;
}

/// Converts the value of a job's field to the type that the protocol requires. Throws UnknownFieldError for
/// an unknown field and YAML::Exception for a value of another type.
Json field_value(const std::string& key, const YAML::Node& yaml_node) {
  static const std::set<std::string> string_fields = {"ref",  "jobclass", "owner", "shape",
                                                      "rank", "bundle",   "yard"};
  static const std::set<std::string> bool_fields = {"same_place", "scatter", "loaners"};
  static const std::set<std::string> number_fields = {"vcpus",     "accelerators", "memory_gb", "size_gb",
                                                      "runtime_s", "save_every_s", "flush_s",   "due_s"};
  if (key != "shards" && key != "rigs" &&
      string_fields.count(key) + bool_fields.count(key) + number_fields.count(key) == 0)
    throw UnknownFieldError();
  if (yaml_node.IsNull()) return nullptr;
  if (key == "shards") return yaml_node.as<std::uint32_t>();
  if (key == "rigs") return yaml_node.as<std::vector<std::string>>();
  if (bool_fields.count(key) != 0) return yaml_node.as<bool>();
  if (number_fields.count(key) != 0) return yaml_node.as<double>();
  return yaml_node.as<std::string>();
}

void read_job(const std::string& file, Json& job) {
  YAML::Node root = yaml::load(file);
  if (!root.IsMap()) throw JobFileError(file, "not a YAML map of job fields");
  for (const auto& field : root) {
    auto key = field.first.as<std::string>();
    try {
      job[key] = field_value(key, field.second);
    } catch (const YAML::Exception&) {
      throw JobFileError(file, key, wrong_type);
    } catch (const UnknownFieldError& error) {
      throw JobFileError(file, key, error.what());
    }
  }
}

void print(const Reply& reply, bool as_json) {
  if (as_json) {
    Json json = {{"ref", reply.status.ref}, {"tries", reply.attempts}};
    if (reply.outcome == RequestOutcome::ok) {
      json["phase"] = reply.status.phase;
      json["done"] = reply.status.done_tasks;
      json["running"] = reply.status.running_tasks;
    } else {
      json["error"] = reply.reason;
      json["again"] = client::is_retryable(reply.outcome);
    }
    std::cout << wire::to_json_text(json) << '\n';
  } else if (reply.outcome == RequestOutcome::ok) {
    std::cout << reply.status.ref << " " << reply.status.phase << " done " << reply.status.done_tasks
              << " running " << reply.status.running_tasks << '\n';
  } else {
    std::cerr << "oxbowctl: " << reply.reason << '\n';
  }
  net::flush_standard_output();
}

/// Values of the fields that the user may leave out.
Json default_job() {
  return {{"jobclass", "default"}, {"shape", "batch"},    {"rank", "standard"}, {"shards", 1},
          {"vcpus", 1.0},          {"accelerators", 0.0}, {"memory_gb", 1.0},   {"bundle", "none"},
          {"size_gb", 0.0},        {"rigs", nullptr},     {"yard", nullptr},    {"same_place", false},
          {"scatter", false},      {"loaners", false},    {"runtime_s", 0.0},   {"save_every_s", 0.0},
          {"flush_s", 0.0},        {"due_s", nullptr}};
}

/// The arguments and the variables that they are parsed into. It cannot be copied or moved, because the
/// options keep pointers to these variables.
class CommandLine {
 public:
  CommandLine();
  CommandLine(const CommandLine&) = delete;
  CommandLine& operator=(const CommandLine&) = delete;

  /// Runs the command and returns the program's exit status. Throws CLI::ParseError for arguments that cannot
  /// be parsed and Error for other invalid arguments and job files.
  int run(int argc, char** argv);
  /// Prints the help, the version or the parse error; returns the exit status.
  int report(const CLI::ParseError& error) const {
    return app_.exit(error) == 0 ? 0 : static_cast<int>(ExitCode::bad_usage);
  }

 private:
  void add_common_options();
  void add_submit();
  void add_job_commands();
  Json job_to_submit() const;
  Reply submit(const client::Client& client);
  Reply wait(const client::Client& client) const;
  Reply run_command(const client::Client& client);

  CLI::App app_{"oxbowctl: submit jobs to oxbowmill and follow them"};
  CLI::App *submit_ = nullptr, *status_ = nullptr, *wait_ = nullptr, *withdraw_ = nullptr;
  std::string controllers_, owner_, job_file_, job_id_;
  std::map<std::string, std::string>
      job_fields_;  // field values given as flags; empty if the flag was not given
  client::RetryPolicy retry_policy_;
  double wait_timeout_s_ = 3600;
  bool as_json_ = false;
};

CommandLine::CommandLine() {
  add_common_options();
  add_submit();
  add_job_commands();
}

void CommandLine::add_common_options() {
  app_.require_subcommand(1);
  app_.set_version_flag("--version", std::string("oxbowctl ") + version);
  // The config file is TOML with the long options as keys. The environment takes precedence over it, and
  // arguments over both.
  app_.set_config("--config", std::getenv("OXBOW_CONFIG") != nullptr ? std::getenv("OXBOW_CONFIG") : "");
  app_.add_option("--nodes", controllers_, "controllers as IPv4:port, separated by commas")
      ->envname("OXBOW_NODES");
  app_.add_option("--team", owner_, "team that owns the job, unless the job file names its owner")
      ->envname("OXBOW_TEAM");
  app_.add_option("--patience", retry_policy_.total_timeout_s, "seconds until a request is given up")
      ->check(CLI::PositiveNumber);
  app_.add_flag("--json", as_json_, "print replies as JSON");
}

void CommandLine::add_submit() {
  submit_ = app_.add_subcommand("submit", "submit a job, given by a YAML file, by flags or by both");
  submit_->add_option("file", job_file_, "job file");
  for (const char* field :
       {"ref", "jobclass", "shape", "rank", "shards", "vcpus", "accelerators", "memory_gb", "bundle",
        "size_gb", "yard", "runtime_s", "due_s", "save_every_s", "flush_s"})
    submit_->add_option("--" + std::string(field), job_fields_[field],
                        "field " + std::string(field) + " of the job");
}

void CommandLine::add_job_commands() {
  status_ = app_.add_subcommand("status", "print the status of a job");
  wait_ = app_.add_subcommand("wait", "wait until a job is done or cancelled");
  wait_->add_option("--within", wait_timeout_s_, "seconds to wait at most")->check(CLI::PositiveNumber);
  withdraw_ = app_.add_subcommand("withdraw", "cancel a job");
  for (auto* command : {status_, wait_, withdraw_}) command->add_option("ref", job_id_, "job id")->required();
}

/// Flags take precedence over the job file, and the job file over --team and the defaults.
Json CommandLine::job_to_submit() const {
  Json job = default_job();
  if (!owner_.empty()) job["owner"] = owner_;
  if (!job_file_.empty()) read_job(job_file_, job);
  for (const auto& [key, value] : job_fields_) {
    if (value.empty()) continue;
    try {
      job[key] = field_value(key, YAML::Load(value));
    } catch (const std::exception&) {
      throw ArgumentError("--" + key, wrong_type);
    }
  }
  for (const char* key : {"ref", "owner"}) {
    if (!job.contains(key) || !job[key].is_string()) throw ArgumentError(key, "missing or not text");
  }
  if (auto invalid_text = wire::find_invalid_text(job)) throw ArgumentError(*invalid_text);
  return job;
}

Reply CommandLine::submit(const client::Client& client) {
  Json job = job_to_submit();
  job_id_ = job["ref"].get<std::string>();
  return client.submit(job);
}

Reply CommandLine::wait(const client::Client& client) const {
  return client.wait(job_id_, wait_timeout_s_, [this](const Reply& reply) { print(reply, as_json_); });
}

Reply CommandLine::run_command(const client::Client& client) {
  if (submit_->parsed()) return submit(client);
  if (status_->parsed()) return client.poll(job_id_);
  if (wait_->parsed()) return wait(client);
  return client.withdraw(job_id_);
}

int CommandLine::run(int argc, char** argv) {
  app_.parse(argc, argv);
  Reply reply = run_command(client::Client(parse_controllers(controllers_), retry_policy_));
  if (reply.status.ref.empty()) reply.status.ref = job_id_;
  print(reply, as_json_);
  int code = exit_code_of(reply);
  // For `withdraw` a cancelled job is a success.
  return withdraw_->parsed() && code == ExitCode::cancelled ? static_cast<int>(ExitCode::ok) : code;
}

}  // namespace

int main(int argc, char** argv) {
  net::ignore_broken_pipe_signal();
  spdlog::set_level(spdlog::level::off);
  CommandLine command_line;
  try {
    return command_line.run(argc, argv);
  } catch (const CLI::ParseError& error) {
    return command_line.report(error);
  } catch (const std::exception& error) {
    std::cerr << "oxbowctl: " << error.what() << '\n';
    return ExitCode::bad_usage;
  }
}
