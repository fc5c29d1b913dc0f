// A server of HTTP requests; see event_handles.h for threads.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "oxbowmill/error.h"
#include "oxbowmill/net/address.h"
#include "oxbowmill/net/event_handles.h"

namespace oxbowmill::net {

/// A server cannot listen on its address: it is in use, or not one of this host's.
class ListenError : public Error {
 public:
  /// The address that was asked for.
  explicit ListenError(const Address& address)
      : Error("cannot listen on " + to_string(address)), address_(address) {}
  /// The address that was asked for.
  const Address& address() const { return address_; }

 private:
  Address address_;
};

/// One request that may be answered later; the answer is dropped when its connection has closed. Not
/// answered at all, it answers 503 when it goes out of scope.
class Responder {
 public:
  /// What the server does when a request is answered.
  enum class AfterReply : std::uint8_t { keep_connection, close_connection };
  /// `before_reply` is called once, with the connection, before the answer is sent on it.
  using BeforeReply = std::function<AfterReply(evhttp_connection*)>;
  /// For servers: `raw_request` stays libevent's.
  Responder(evhttp_request* raw_request, BeforeReply before_reply)
      : before_reply_(std::move(before_reply)), raw_request_(raw_request) {}
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;
  ~Responder();
  /// Answers; further answers are ignored. `retry_after_s`: in how many seconds the client may ask again; 0:
  /// not said.
  void reply(int status, const std::string& body, int retry_after_s = 0);
  /// For servers: the request is no longer there, and answers are ignored from now on.
  void abandon() { raw_request_ = nullptr; }

 private:
  BeforeReply before_reply_;
  evhttp_request* raw_request_;
};
/// Keeps a request open until it is answered.
using ResponderPtr = std::shared_ptr<Responder>;

/// A request as it was read from its connection.
struct Request {
  evhttp_cmd_type method = EVHTTP_REQ_GET;  ///< the verb
  std::string path;                         ///< without the query
  std::string query;                        ///< what follows the question mark; empty: nothing
  std::string body;                         ///< empty: none
  ResponderPtr responder;                   ///< answers it
};

/// Listens on one address and hands requests to its handler. Must outlive the responders that it made,
/// except those it has abandoned.
class HttpServer {
 public:
  /// Takes a request; may answer at once or keep the responder.
  using Handler = std::function<void(Request&&)>;
  /// Listens at once; throws ListenError. Bodies of up to four times `max_body` bytes reach the handler.
  HttpServer(event_base* base, const Address& bind, std::size_t max_body, Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();
  /// Sockets numbered from this on are closed after their answer, so that a controller near its limit of
  /// sockets continues to accept connections.
  void keep_alive_below(int socket_number) { keep_alive_below_ = socket_number; }
  /// Where it listens; the system's choice where port 0 was asked for.
  const Address& address() const { return address_; }

 private:
  static void on_request(evhttp_request* raw_request, void* self);
  static void on_close(evhttp_connection* connection, void* self);
  Responder::AfterReply before_reply(evhttp_connection* connection);
  Handler handler_;
  int keep_alive_below_ = 1 << 30;
  Address address_;
  std::unordered_map<evhttp_connection*, Responder*> pending_responders_;
  EvhttpPtr http_;
};

}  // namespace oxbowmill::net
