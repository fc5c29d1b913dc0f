// The users' command line: submit, ask, wait and withdraw.
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "oxbowmill/client/client.h"
#include "oxbowmill/version.h"
#include "oxbowmill/yaml/map.h"

namespace {

using namespace oxbowmill;
using client::Reply;
using client::RequestOutcome;
using wire::Json;

// Exit codes, as docs/clients.md says.
enum ExitCode {
  ok = 0,
  cancelled = 1,
  bad_usage = 2,
  refused = 3,
  unknown = 4,
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
    case RequestOutcome::unknown:
      return ExitCode::unknown;
    case RequestOutcome::retry:
      return reply.timed_out ? ExitCode::timed_out : ExitCode::unavailable;
  }
  return ExitCode::unavailable;
}

std::vector<net::Address> addresses(const std::string& list) {
  std::vector<net::Address> out;
  std::stringstream in(list);
  for (std::string one; std::getline(in, one, ',');) out.push_back(net::parse_address(one));
  if (out.empty())
    throw std::invalid_argument("no node: name some with --nodes, OXBOW_NODES or the config file");
  return out;
}

/// The kind of value that the protocol wants of each field of a job file.
Json value_of(const std::string& key, const YAML::Node& yaml_node) {
  static const std::set<std::string> texts = {"ref", "jobclass", "owner", "shape", "rank", "bundle", "yard"};
  static const std::set<std::string> flags = {"same_place", "scatter", "loaners"};
  static const std::set<std::string> numbers = {"vcpus",     "accelerators", "memory_gb", "size_gb",
                                                "runtime_s", "save_every_s", "flush_s",   "due_s"};
  if (key != "shards" && key != "rigs" && texts.count(key) + flags.count(key) + numbers.count(key) == 0)
    throw std::invalid_argument("unknown field");
  if (yaml_node.IsNull()) return nullptr;
  if (key == "shards") return yaml_node.as<std::uint32_t>();
  if (key == "rigs") return yaml_node.as<std::vector<std::string>>();
  if (flags.count(key) != 0) return yaml_node.as<bool>();
  if (numbers.count(key) != 0) return yaml_node.as<double>();
  return yaml_node.as<std::string>();
}

void read_job(const std::string& file, Json& job) {
  YAML::Node root = yaml::load(file);
  if (!root.IsMap()) throw std::invalid_argument(file + ": not a map of fields");
  for (const auto& e : root) {
    auto key = e.first.as<std::string>();
    try {
      job[key] = value_of(key, e.second);
    } catch (const YAML::Exception&) {
      throw std::invalid_argument(file + ": " + key + ": not of the right kind");
    } catch (const std::invalid_argument& why) {
      throw std::invalid_argument(file + ": " + key + ": " + why.what());
    }
  }
}

void print(const Reply& reply, bool as_json) {
  if (as_json) {
    Json json = {{"ref", reply.status.ref}, {"tries", reply.attempts}};
    if (reply.outcome == RequestOutcome::ok) {
      json["phase"] = reply.status.phase;
      json["done"] = reply.status.done;
      json["running"] = reply.status.running;
    } else {
      json["error"] = reply.reason;
      json["again"] = client::is_retryable(reply.outcome);
    }
    std::cout << json.dump() << std::endl;
  } else if (reply.outcome == RequestOutcome::ok) {
    std::cout << reply.status.ref << " " << reply.status.phase << " done " << reply.status.done << " running "
              << reply.status.running << std::endl;
  } else {
    std::cerr << "oxbowctl: " << reply.reason << '\n';
  }
}

}  // namespace

int main(int argc, char** argv) {
  spdlog::set_level(spdlog::level::off);
  CLI::App app{"oxbowctl: submit jobs to oxbowmill and follow them"};
  app.require_subcommand(1);
  app.set_version_flag("--version", std::string("oxbowctl ") + version);
  // A file in TOML's form, with the long options as keys; the environment goes before it, arguments before
  // both.
  app.set_config("--config", std::getenv("OXBOW_CONFIG") != nullptr ? std::getenv("OXBOW_CONFIG") : "");
  std::string nodes, team, file, ref;
  client::RetryPolicy patience;
  bool as_json = false;
  app.add_option("--nodes", nodes, "controllers, IPv4:port with commas between")->envname("OXBOW_NODES");
  app.add_option("--team", team, "team that a job belongs to, unless it says so")->envname("OXBOW_TEAM");
  app.add_option("--patience", patience.total_timeout_s, "seconds until a request is given up")
      ->check(CLI::PositiveNumber);
  app.add_flag("--json", as_json, "answers as JSON");

  Json job = {{"jobclass", "default"}, {"shape", "batch"},    {"rank", "standard"}, {"shards", 1},
              {"vcpus", 1.0},          {"accelerators", 0.0}, {"memory_gb", 1.0},   {"bundle", "none"},
              {"size_gb", 0.0},        {"rigs", nullptr},     {"yard", nullptr},    {"same_place", false},
              {"scatter", false},      {"loaners", false},    {"runtime_s", 0.0},   {"save_every_s", 0.0},
              {"flush_s", 0.0},        {"due_s", nullptr}};
  auto* submit =
      app.add_subcommand("submit", "submit a job: a YAML file of the protocol's fields, and flags");
  submit->add_option("file", file, "job file");
  std::map<std::string, std::string> given;
  for (const char* f : {"ref", "jobclass", "shape", "rank", "shards", "vcpus", "accelerators", "memory_gb",
                        "bundle", "size_gb", "yard", "runtime_s", "due_s", "save_every_s", "flush_s"})
    submit->add_option("--" + std::string(f), given[f], "the field " + std::string(f));
  double within = 3600;
  auto* status = app.add_subcommand("status", "what became of a job");
  auto* wait = app.add_subcommand("wait", "wait until a job is done or cancelled");
  wait->add_option("--within", within, "seconds")->check(CLI::PositiveNumber);
  auto* withdraw = app.add_subcommand("withdraw", "cancel a job");
  for (auto* s : {status, wait, withdraw}) s->add_option("ref", ref, "job id")->required();
  try {
    app.parse(argc, argv);
    client::Client c(addresses(nodes), patience);
    Reply reply;
    if (submit->parsed()) {
      if (!team.empty()) job["owner"] = team;
      if (!file.empty()) read_job(file, job);
      for (const auto& [key, text] : given) {
        if (text.empty()) continue;
        try {
          job[key] = value_of(key, YAML::Load(text));
        } catch (const std::exception&) {
          throw std::invalid_argument("--" + key + ": not of the right kind");
        }
      }
      for (const char* key : {"ref", "owner"}) {
        if (!job.contains(key)) throw std::invalid_argument(std::string(key) + ": missing");
      }
      ref = job["ref"].get<std::string>();
      reply = c.submit(job);
    } else if (status->parsed()) {
      reply = c.poll(ref);
    } else if (wait->parsed()) {
      reply = c.wait(ref, within, [as_json](const Reply& p) { print(p, as_json); });
    } else {
      reply = c.withdraw(ref);
    }
    if (reply.status.ref.empty()) reply.status.ref = ref;
    print(reply, as_json);
    int code = exit_code_of(reply);
    // Withdrawing is meant to cancel.
    return withdraw->parsed() && code == ExitCode::cancelled ? static_cast<int>(ExitCode::ok) : code;
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : static_cast<int>(ExitCode::bad_usage);
  } catch (const std::exception& e) {
    std::cerr << "oxbowctl: " << e.what() << '\n';
    return ExitCode::bad_usage;
  }
}
