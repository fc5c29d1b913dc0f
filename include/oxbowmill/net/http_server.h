// HTTP server. event_handles.h describes the threading rules.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "oxbowmill/error.h"
#include "oxbowmill/logged_count.h"
#include "oxbowmill/net/address.h"
#include "oxbowmill/net/event_handles.h"

namespace oxbowmill::net {

/// The server cannot listen on its address, for example because the address is in use or belongs to another
/// host.
class ListenError : public Error {
 public:
  /// `address` is the requested address.
  explicit ListenError(const Address& address)
      : Error("cannot listen on " + to_string(address)), address_(address) {}
  /// The requested address.
  const Address& address() const { return address_; }

 private:
  Address address_;
};

/// Answers one request, at once or later. The answer is dropped if the connection has closed, and counted if
/// the connection closes while it is being sent. An unanswered request is answered with 503 when its
/// responder is destroyed.
class Responder {
 public:
  /// What the server does with the connection after an answer.
  enum class AfterReply : std::uint8_t { keep_connection, close_connection };
  /// Called once, with the connection, before the answer is sent on it.
  using BeforeReply = std::function<AfterReply(evhttp_connection*)>;
  /// Called by the server. libevent keeps the ownership of `raw_request`.
  Responder(evhttp_request* raw_request, BeforeReply before_reply)
      : before_reply_(std::move(before_reply)), raw_request_(raw_request) {}
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;
  ~Responder();
  /// Sends the answer. Further answers are ignored. `retry_after_s` is the value of the Retry-After header,
  /// in seconds (0: no such header).
  void reply(int status, const std::string& body, int retry_after_s = 0);
  /// Called by the server when the request no longer exists. Later answers are ignored.
  void abandon() { raw_request_ = nullptr; }

 private:
  BeforeReply before_reply_;
  evhttp_request* raw_request_;
};
/// Shared ownership of a responder.
using ResponderPtr = std::shared_ptr<Responder>;

/// A received request.
struct Request {
  evhttp_cmd_type method = EVHTTP_REQ_GET;  ///< HTTP method
  std::string path;                         ///< path without the query
  std::string query;                        ///< query without the question mark; empty: no query
  std::string body;                         ///< empty: no body
  std::string peer_host;                    ///< IP address of the peer, for log lines
  ResponderPtr responder;                   ///< sends the answer
};

/// Listens on one address and passes requests to a handler. Responders may outlive the server: its destructor
/// abandons those of open requests.
class HttpServer {
 public:
  /// Handles a request. May answer at once, or keep the responder and answer later.
  using Handler = std::function<void(Request&&)>;
  /// Starts to listen. Throws ListenError. Bodies of up to four times `max_body` bytes are passed to the
  /// handler.
  HttpServer(event_base* base, const Address& bind, std::size_t max_body, Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();
  /// Connections on sockets with this number or a higher one are closed after their answer, so that a
  /// controller near its socket limit can still accept connections.
  void keep_alive_below(int socket_number) { keep_alive_below_ = socket_number; }
  /// The address on which the server listens. If port 0 was requested, it has the port that the system chose.
  const Address& address() const { return address_; }
  /// Number of answers that were not sent in full because the connection closed.
  std::uint64_t undelivered_answers() const { return undelivered_.count(); }

 private:
  static void on_request(evhttp_request* raw_request, void* self);
  static std::string peer_host_of(evhttp_connection* connection);
  static void on_close(evhttp_connection* connection, void* self);
  static void on_close_before_sent(evhttp_connection* connection, void* self);
  Responder::AfterReply before_reply(evhttp_connection* connection);
  Handler handler_;
  LoggedCount undelivered_;
  int keep_alive_below_ = 1 << 30;
  Address address_;
  std::unordered_map<evhttp_connection*, Responder*> pending_responders_;
  EvhttpPtr http_;
};

}  // namespace oxbowmill::net
