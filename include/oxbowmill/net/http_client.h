// A client of HTTP services; see event_handles.h for threads.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "oxbowmill/net/address.h"
#include "oxbowmill/net/event_handles.h"
#include "oxbowmill/net/timer.h"

namespace oxbowmill::net {

/// What came back for a request.
struct Response {
  int status = 0;            ///< 0: no response (time-out, refused or broken connection)
  std::string body;          ///< empty: none
  double retry_after_s = 0;  ///< 0: not said
};
/// Called once for each request, unless its client is destroyed before.
using ResponseHandler = std::function<void(const Response&)>;

/// A few kept-alive connections to one address; requests beyond them wait in order.
class HttpClient {
 public:
  /// `max_body`: a longer response counts as none; 0: no limit.
  HttpClient(event_base* base, Address address, std::size_t connections, std::size_t max_body = 0);
  /// Handlers of open requests are not called.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  /// The time-out in seconds counts from when the request gets a connection.
  void send(evhttp_cmd_type method, const std::string& path, std::string body, double timeout_s,
            ResponseHandler on_response);
  /// Requests that wait for a connection.
  std::size_t queued() const { return queue_.size(); }
  /// All connections are busy: a further request would wait.
  bool all_busy() const;

 private:
  struct QueuedRequest;
  struct Connection;
  void dispatch();
  void start(Connection& connection);
  static void on_done(evhttp_request* raw_request, void* arg);
  event_base* base_;
  Address address_;
  std::size_t max_body_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::deque<std::unique_ptr<QueuedRequest>> queue_;
  Timer dispatch_timer_;
};

/// A single request on a connection of its own.
void send_once(event_base* base, const Address& destination, evhttp_cmd_type method, const std::string& path,
               const std::string& body, double timeout_s, ResponseHandler on_response);

}  // namespace oxbowmill::net
