#include "oxbowmill/service/malformed_message_log.h"

#include <spdlog/spdlog.h>

#include "oxbowmill/net/current_message.h"

namespace oxbowmill::service {

namespace {
// Bounds the memory that arbitrary texts take. Applies to each kind, so that users cannot use it up for
// agents.
constexpr std::size_t max_logged_per_kind = 200;
constexpr std::size_t max_sender_length = 120;  // bytes
}  // namespace

void MalformedMessageLog::record(const MalformedMessage& message) {
  // As JSON, because a sender or the name of a field may hold line breaks.
  std::string sender = wire::to_json_text(message.sender), reason = wire::to_json_text(message.reason);
  Refused& refused = refused_[message.kind];
  if (refused.logged.size() < max_logged_per_kind && refused.logged.insert(sender + reason).second)
    SPDLOG_ERROR("malformed message kind={} sender={} reason={} size={}", message.kind, sender, reason,
                 net::current_message().size);
  if (refused.count.add())
    SPDLOG_ERROR("malformed messages refused kind={} count={}", message.kind, refused.count.count());
}

std::uint64_t MalformedMessageLog::count(const std::string& kind) const {
  auto refused = refused_.find(kind);
  return refused == refused_.end() ? 0 : refused->second.count.count();
}

std::string sender_in(const wire::DecodedMap& body, const char* field, const std::string& otherwise) {
  if (!body) return otherwise;
  auto sender = body->find(field);
  bool is_name = sender != body->end() && sender->is_string() &&
                 sender->get_ref<const std::string&>().size() <= max_sender_length;
  return is_name ? sender->get<std::string>() : otherwise;
}

}  // namespace oxbowmill::service
