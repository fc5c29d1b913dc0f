// HTTP client. event_handles.h describes the threading rules.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "oxbowmill/logged_count.h"
#include "oxbowmill/net/address.h"
#include "oxbowmill/net/event_handles.h"
#include "oxbowmill/net/timer.h"

namespace oxbowmill::net {

/// The response to a request.
struct Response {
  int status = 0;            ///< HTTP status; 0: no response (timeout, refused or broken connection)
  std::string body;          ///< empty: no body
  double retry_after_s = 0;  ///< value of the Retry-After header, in seconds; 0: no such header
};
/// Handles a response. Called once per request, unless the client is destroyed before.
using ResponseHandler = std::function<void(const Response&)>;

/// A fixed number of keep-alive connections to one address. Requests that find none free wait in a queue.
class HttpClient {
 public:
  /// `connections` is the number of connections. `max_body` is the size limit of a response body in bytes (0:
  /// no limit); a response with a larger body is treated as no response.
  HttpClient(event_base* base, Address address, std::size_t connections, std::size_t max_body = 0);
  /// Drops open requests without calling their handlers.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  /// Sends a request. Its timeout, in seconds, starts when it gets a connection.
  void send(evhttp_cmd_type method, const std::string& path, std::string body, double timeout_s,
            ResponseHandler on_response);
  /// Number of requests that wait for a connection.
  std::size_t queued() const { return queue_.size(); }
  /// Whether a further request would have to wait for a connection.
  bool all_busy() const;
  /// Number of requests that were sent and got no response. The peer may have executed them.
  std::uint64_t unanswered() const { return unanswered_.count(); }

 private:
  struct QueuedRequest;
  struct Connection;
  void dispatch();
  void start(Connection& connection);
  static void on_done(evhttp_request* raw_request, void* arg);
  void count_unanswered();
  event_base* base_;
  Address address_;
  std::size_t max_body_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::deque<std::unique_ptr<QueuedRequest>> queue_;
  Timer dispatch_timer_;
  LoggedCount unanswered_;
};

/// Sends one request on a new connection, which is closed afterwards. `timeout_s` is in seconds.
void send_once(event_base* base, const Address& destination, evhttp_cmd_type method, const std::string& path,
               const std::string& body, double timeout_s, ResponseHandler on_response);

}  // namespace oxbowmill::net
