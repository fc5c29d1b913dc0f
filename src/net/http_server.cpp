#include "oxbowmill/net/http_server.h"

#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <spdlog/spdlog.h>

#include <cstddef>
#include <utility>

#include "event_util.h"
#include "oxbowmill/net/current_message.h"

namespace oxbowmill::net {

namespace {
constexpr ssize_t max_headers_size = ssize_t{16} * 1024;
constexpr int idle_timeout_s = 60;
constexpr int unanswered_retry_after_s = 1;

const char* method_name(evhttp_cmd_type method) {
  switch (method) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "other";
  }
}

/// The answer was sent in full, so the connection may close.
void on_sent(evhttp_request* raw_request, void* /*unused*/) {
  evhttp_connection* connection = evhttp_request_get_connection(raw_request);
  if (connection != nullptr) evhttp_connection_set_closecb(connection, nullptr, nullptr);
}
}  // namespace

Responder::~Responder() {
  // Without an answer, the client would wait until its own timeout.
  if (raw_request_ != nullptr) reply(HTTP_SERVUNAVAIL, "", unanswered_retry_after_s);
}

void Responder::reply(int status, const std::string& body, int retry_after_s) {
  if (raw_request_ == nullptr) return;
  evhttp_request* raw_request = std::exchange(raw_request_, nullptr);
  evhttp_connection* connection = evhttp_request_get_connection(raw_request);
  evkeyvalq* headers = evhttp_request_get_output_headers(raw_request);
  if (connection != nullptr && before_reply_(connection) == AfterReply::close_connection)
    evhttp_add_header(headers, "Connection", "close");
  if (!body.empty()) evhttp_add_header(headers, "Content-Type", body_content_type);
  if (retry_after_s > 0) evhttp_add_header(headers, "Retry-After", std::to_string(retry_after_s).c_str());
  std::unique_ptr<evbuffer, decltype(&evbuffer_free)> out(evbuffer_new(), evbuffer_free);
  evbuffer_add(out.get(), body.data(), body.size());
  evhttp_request_set_on_complete_cb(raw_request, &on_sent, nullptr);
  evhttp_send_reply(raw_request, status, nullptr, out.get());
}

HttpServer::HttpServer(event_base* base, const Address& bind, std::size_t max_body, Handler handler)
    : handler_(std::move(handler)), address_(bind), http_(evhttp_new(base)) {
  evhttp* http = http_.get();
  // Bodies somewhat over the limit are still read, so that the handler can answer 400. Otherwise the client
  // would only see a broken connection.
  evhttp_set_max_body_size(http, static_cast<ev_ssize_t>(4 * max_body));
  evhttp_set_max_headers_size(http, max_headers_size);
  evhttp_set_timeout(http, idle_timeout_s);
  evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                       EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
  evhttp_set_gencb(http, &HttpServer::on_request, this);
  evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(http, bind.host.c_str(), bind.port);
  if (socket == nullptr) throw ListenError(bind);
  if (bind.port == 0) {
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    if (getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&bound), &size) == 0)
      address_.port = ntohs(bound.sin_port);
  }
}

HttpServer::~HttpServer() {
  for (auto& [connection, responder] : pending_responders_) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    responder->abandon();
  }
}

void HttpServer::on_close(evhttp_connection* connection, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  auto it = server->pending_responders_.find(connection);
  if (it == server->pending_responders_.end()) return;
  it->second->abandon();
  server->pending_responders_.erase(it);
}

void HttpServer::on_close_before_sent(evhttp_connection* /*connection*/, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  if (server->undelivered_.add())
    SPDLOG_INFO("answers not delivered bind={} count={}", to_string(server->address_),
                server->undelivered_.count());
}

std::string HttpServer::peer_host_of(evhttp_connection* connection) {
  char* host = nullptr;
  ev_uint16_t port = 0;
  evhttp_connection_get_peer(connection, &host, &port);
  return host != nullptr ? host : "";
}

Responder::AfterReply HttpServer::before_reply(evhttp_connection* connection) {
  pending_responders_.erase(connection);
  evhttp_connection_set_closecb(connection, &HttpServer::on_close_before_sent, this);
  return bufferevent_getfd(evhttp_connection_get_bufferevent(connection)) >= keep_alive_below_
             ? Responder::AfterReply::close_connection
             : Responder::AfterReply::keep_connection;
}

void HttpServer::on_request(evhttp_request* raw_request, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  Request request;
  request.method = evhttp_request_get_command(raw_request);
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(raw_request);
  const char* path = uri != nullptr ? evhttp_uri_get_path(uri) : nullptr;
  request.path = path != nullptr ? path : "/";
  const char* query = uri != nullptr ? evhttp_uri_get_query(uri) : nullptr;
  request.query = query != nullptr ? query : "";
  request.body = read_all(evhttp_request_get_input_buffer(raw_request));
  request.responder = std::make_shared<Responder>(
      raw_request, [server](evhttp_connection* connection) { return server->before_reply(connection); });
  evhttp_connection* connection = evhttp_request_get_connection(raw_request);
  request.peer_host = peer_host_of(connection);
  server->pending_responders_[connection] = request.responder.get();
  evhttp_connection_set_closecb(connection, &HttpServer::on_close, server);
  MessageScope scope(method_name(request.method), request.path, request.peer_host, request.body.size());
  server->handler_(std::move(request));
}

}  // namespace oxbowmill::net
