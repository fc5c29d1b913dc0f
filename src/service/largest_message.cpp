#include "oxbowmill/service/largest_message.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "oxbowmill/cluster/message_size.h"

namespace oxbowmill::service {

namespace {
constexpr std::size_t min_logged_size = max_agent_message_bytes / 2;
constexpr double logged_growth = 1.1;  // ratio to the size that was logged last
}  // namespace

void LargestMessage::record(const std::string& machine, std::size_t size) {
  size_ = std::max(size_, size);
  if (size < min_logged_size || static_cast<double>(size) < logged_growth * static_cast<double>(logged_size_))
    return;
  logged_size_ = size;
  SPDLOG_INFO("largest message so far kind={} machine={} size={}", kind_, machine, size);
}

}  // namespace oxbowmill::service
