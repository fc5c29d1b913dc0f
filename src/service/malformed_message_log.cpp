#include "oxbowmill/service/malformed_message_log.h"

#include <spdlog/spdlog.h>

namespace oxbowmill::service {

namespace {
constexpr std::size_t max_logged = 1000;  // bounds the memory that arbitrary sender names take
}  // namespace

void MalformedMessageLog::record(const std::string& kind, const std::string& sender) {
  if (logged_.size() < max_logged && logged_.insert(kind + " from " + sender).second)
    SPDLOG_ERROR("malformed message kind={} sender={}", kind, sender);
}

}  // namespace oxbowmill::service
