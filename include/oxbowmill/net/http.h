// HTTP over libevent, with handles owned by objects.
#pragma once

#include <event2/event.h>
#include <event2/http.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace oxbowmill::net {

struct EventBaseFree {
  void operator()(event_base* b) const { event_base_free(b); }
};
struct EventFree {
  void operator()(event* e) const { event_free(e); }
};
struct EvhttpFree {
  void operator()(evhttp* h) const { evhttp_free(h); }
};
struct ConnectionFree {
  void operator()(evhttp_connection* c) const { evhttp_connection_free(c); }
};
using EventBasePtr = std::unique_ptr<event_base, EventBaseFree>;
using EventPtr = std::unique_ptr<event, EventFree>;
using EvhttpPtr = std::unique_ptr<evhttp, EvhttpFree>;
using ConnectionPtr = std::unique_ptr<evhttp_connection, ConnectionFree>;

EventBasePtr make_event_base();

/// Calls back after a time, once or again and again.
class Timer {
 public:
  Timer(event_base* base, std::function<void()> fn);
  void schedule(double seconds);
  void cancel();
  bool pending() const;

 private:
  std::function<void()> on_expiry_;
  EventPtr event_;
};

struct Address {
  std::string host;
  std::uint16_t port = 0;
};
std::string to_string(const Address& a);
/// Throws std::invalid_argument unless it is "host:port".
Address parse_address(const std::string& text);
/// The same for an address to listen on, where port 0 leaves the choice to the system.
Address parse_bind_address(const std::string& text);

class HttpServer;

/// One request that may be answered later; the answer is dropped when its connection has gone.
class Responder {
 public:
  Responder(HttpServer& server, evhttp_request* raw_request) : server_(server), raw_request_(raw_request) {}
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;
  ~Responder();
  void reply(int status, const std::string& body, int retry_after_s = 0);

 private:
  friend class HttpServer;
  HttpServer& server_;
  evhttp_request* raw_request_;
};
using ResponderPtr = std::shared_ptr<Responder>;

struct Request {
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string path;
  std::string query;  // what follows the question mark; empty: nothing
  std::string body;
  ResponderPtr responder;
};

class HttpServer {
 public:
  using Handler = std::function<void(Request&&)>;
  HttpServer(event_base* base, const Address& bind, std::size_t most_body, Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();
  /// Sockets numbered beyond this are not kept alive after their answer, so that a node near its limit of
  /// sockets goes on taking new connections.
  void keep_alive_below(int socket_number) { keep_alive_below_ = socket_number; }
  /// Where it listens; the system's choice where port 0 was asked for.
  const Address& address() const { return address_; }

 private:
  friend class Responder;
  static void on_request(evhttp_request* raw_request, void* self);
  static void on_close(evhttp_connection* conn, void* self);
  Handler handler_;
  int keep_alive_below_ = 1 << 30;
  Address address_;
  std::unordered_map<evhttp_connection*, Responder*> pending_responders_;
  EvhttpPtr http_;
};

/// Status 0: no answer (time-out, refused or broken connection).
struct Response {
  int status = 0;
  std::string body;
  double retry_after_s = 0;  // 0: not said
};
using ResponseHandler = std::function<void(const Response&)>;

/// A few kept-alive connections to one address; requests beyond them wait in order.
class HttpClient {
 public:
  /// `most_body`: a longer answer counts as none; 0: no limit.
  HttpClient(event_base* base, Address address, std::size_t connections, std::size_t most_body = 0);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  void send(evhttp_cmd_type method, const std::string& path, std::string body, double timeout_s,
            ResponseHandler on_response);
  std::size_t queued() const { return queue_.size(); }
  /// All connections are busy: a further request would wait.
  bool all_busy() const;

 private:
  struct QueuedRequest;
  struct Connection;
  void dispatch();
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
