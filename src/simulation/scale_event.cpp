#include "oxbowmill/simulation/scale_event.h"

#include <unistd.h>

#include <nlohmann/json.hpp>

namespace oxbowmill::simulation {

using Json = nlohmann::json;

std::string to_line(const ScaleEvent& event) {
  return Json{static_cast<int>(event.kind),  event.at, event.job, event.machine, event.task, event.value,
              static_cast<int>(event.answer)}
             .dump() +
         "\n";
}

std::optional<ScaleEvent> parse_event(const std::string& line) {
  constexpr std::size_t field_count = 7;
  Json list = Json::parse(line, nullptr, false);
  if (!list.is_array() || list.size() != field_count) return std::nullopt;
  try {
    ScaleEvent event;
    event.kind = static_cast<ScaleEventKind>(list[0].get<int>());
    event.at = list[1].get<double>();
    event.job = list[2].get<std::string>();
    event.machine = list[3].get<std::string>();
    event.task = list[4].get<std::uint32_t>();
    event.value = list[5].get<double>();
    event.answer = static_cast<JobAnswer>(list[6].get<int>());
    return event;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

void ScaleEventWriter::write(ScaleEvent event) {
  constexpr std::size_t max_buffered_bytes = 1 << 16;
  event.at = now_();
  buffer_ += to_line(event);
  if (buffer_.size() >= max_buffered_bytes) flush();
}

void ScaleEventWriter::counter(const std::string& name, double value) {
  ScaleEvent event;
  event.job = name;
  event.value = value;
  write(event);
}

void ScaleEventWriter::flush() {
  std::size_t written = 0;
  while (written < buffer_.size()) {
    ssize_t n = ::write(descriptor_, buffer_.data() + written, buffer_.size() - written);
    if (n <= 0) break;  // the evaluating process has ended; the kernel then kills this one too
    written += static_cast<std::size_t>(n);
  }
  buffer_.clear();
}

}  // namespace oxbowmill::simulation
