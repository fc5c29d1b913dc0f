// The program: arguments and settings, then the event loop.
#include <event2/event.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>

#include "oxbowmill/service/controller.h"
#include "oxbowmill/version.h"

namespace {

constexpr int bad_usage = 2;

void configure_logging() {
  spdlog::set_default_logger(spdlog::stderr_logger_st("oxbowmill"));
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level == nullptr ? spdlog::level::info : spdlog::level::from_str(level));
  spdlog::set_pattern("%l %v");
}

/// The calendar is read again on SIGHUP; one that cannot be read leaves the old one in force.
struct CalendarReload {
  oxbowmill::service::Controller* controller = nullptr;
  const std::vector<std::string>& files;
  void reload() const {
    try {
      controller->load_calendar(oxbowmill::config::load_calendar(files));
    } catch (const std::exception& e) {
      SPDLOG_ERROR("calendar not read again: {}", e.what());
    }
  }
};

}  // namespace

int main(int argc, char** argv) {
  configure_logging();
  CLI::App app{"oxbowmill, a cluster scheduler: runs one controller"};
  std::string config_file;
  std::vector<std::string> operator_files;
  bool check = false;
  app.add_option("--config", config_file, "the platform's settings (TOML)")->required();
  app.add_option("--operator", operator_files, "operators' settings (YAML); several files add to each other")
      ->allow_extra_args(false);
  app.add_flag("--check", check, "check the settings and exit");
  app.set_version_flag("--version", std::string("oxbowmill ") + oxbowmill::version);
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& e) {
    return app.exit(e);
  } catch (const CLI::ParseError& e) {
    std::cerr << "oxbowmill: " << e.what() << '\n';
    return bad_usage;
  }
  oxbowmill::config::Config config;
  try {
    config = oxbowmill::config::load(config_file, operator_files);
  } catch (const std::exception& e) {
    std::cerr << "oxbowmill: " << e.what() << '\n';
    return bad_usage;
  }
  if (check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  try {
    auto base = oxbowmill::net::make_event_base();
    // Before the log says that it listens: a signal that came sooner ended the controller. It is read once
    // the loop runs, and by then there is a node.
    CalendarReload reload{nullptr, operator_files};
    std::unique_ptr<event, void (*)(event*)> hangup(
        evsignal_new(
            base.get(), SIGHUP,
            [](evutil_socket_t, short, void* r) { static_cast<CalendarReload*>(r)->reload(); }, &reload),
        event_free);
    event_add(hangup.get(), nullptr);
    oxbowmill::service::Controller node(base.get(), std::move(config));
    reload.controller = &node;
    event_base_dispatch(base.get());
  } catch (const std::exception& e) {
    SPDLOG_ERROR("cannot run: {}", e.what());
    return 1;
  }
  return 0;
}
