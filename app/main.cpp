// The oxbowmill program: parses the arguments, loads the settings and runs one controller.
#include <event2/event.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>

#include "oxbowmill/net/broken_pipe.h"
#include "oxbowmill/service/controller.h"
#include "oxbowmill/service/crash_report.h"
#include "oxbowmill/service/log_output.h"
#include "oxbowmill/version.h"

namespace {

// Exit statuses.
constexpr int exit_failure = 1, exit_bad_usage = 2;

void configure_logging() {
  oxbowmill::service::log_to_standard_error();
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level == nullptr ? spdlog::level::info : spdlog::level::from_str(level));
  spdlog::set_pattern("%l %v");
}

struct Arguments {
  std::string config_file;
  std::vector<std::string> operator_files;
  bool check_only = false;  ///< check the settings and exit
};

/// Returns the exit status if the program has to end now: after help or version, or for invalid arguments.
std::optional<int> parse_arguments(int argc, char** argv, Arguments& arguments) {
  CLI::App app{"oxbowmill, a cluster scheduler: runs one controller"};
  app.add_option("--config", arguments.config_file, "the platform's settings (TOML)")->required();
  app.add_option("--operator", arguments.operator_files,
                 "operators' settings (YAML); may be repeated, the files add to each other")
      ->allow_extra_args(false);
  app.add_flag("--check", arguments.check_only, "check the settings and exit");
  app.set_version_flag("--version", std::string("oxbowmill ") + oxbowmill::version);
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& success) {
    return app.exit(success);
  } catch (const CLI::ParseError& error) {
    std::cerr << "oxbowmill: " << error.what() << '\n';
    return exit_bad_usage;
  }
  return std::nullopt;
}

/// Prints the reason to standard error and returns nothing if the settings are invalid.
std::optional<oxbowmill::config::Config> load_settings(const Arguments& arguments) {
  try {
    return oxbowmill::config::load(arguments.config_file, arguments.operator_files);
  } catch (const std::exception& error) {
    std::cerr << "oxbowmill: " << error.what() << '\n';
    return std::nullopt;
  }
}

/// Reloads the release calendar on SIGHUP. If it is invalid, the previous one stays in force.
struct CalendarReload {
  oxbowmill::service::Controller* controller = nullptr;
  const std::vector<std::string>& files;
  void reload() const {
    try {
      controller->load_calendar(oxbowmill::config::load_calendar(files));
    } catch (const std::exception& error) {
      SPDLOG_ERROR("release calendar not reloaded, the previous one stays in force: {}", error.what());
    }
  }
};

using SignalEvent = std::unique_ptr<event, void (*)(event*)>;

/// Installs the SIGHUP handler. `reload` must outlive the returned event.
SignalEvent reload_on_hangup(event_base* base, CalendarReload& reload) {
  SignalEvent hangup(
      evsignal_new(
          base, SIGHUP,
          [](evutil_socket_t, short, void* target) { static_cast<CalendarReload*>(target)->reload(); },
          &reload),
      event_free);
  event_add(hangup.get(), nullptr);
  return hangup;
}

/// Runs a controller until its event loop ends; returns the exit status.
int run_controller(oxbowmill::config::Config config, const std::vector<std::string>& operator_files) {
  try {
    auto base = oxbowmill::net::make_event_base();
    // Installed before the controller logs that it is listening, because a SIGHUP that is sent right after
    // that line would otherwise end the program. The handler runs only in the event loop, when the controller
    // exists.
    CalendarReload reload{nullptr, operator_files};
    SignalEvent hangup = reload_on_hangup(base.get(), reload);
    oxbowmill::service::Controller controller(base.get(), std::move(config));
    reload.controller = &controller;
    event_base_dispatch(base.get());
  } catch (const std::exception& error) {
    oxbowmill::service::log_failure(error.what());
    return exit_failure;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  oxbowmill::net::ignore_broken_pipe_signal();
  configure_logging();
  oxbowmill::service::report_crashes();
  Arguments arguments;
  if (auto exit_status = parse_arguments(argc, argv, arguments)) return *exit_status;
  auto config = load_settings(arguments);
  if (!config) return exit_bad_usage;
  if (arguments.check_only) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return run_controller(std::move(*config), arguments.operator_files);
}
