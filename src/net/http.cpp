#include "oxbowmill/net/http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstddef>
#include <stdexcept>

namespace oxbowmill::net {

namespace {
timeval to_timeval(double s) {
  timeval tv;
  tv.tv_sec = static_cast<time_t>(s);
  tv.tv_usec = static_cast<suseconds_t>((s - static_cast<double>(tv.tv_sec)) * 1e6);
  return tv;
}

std::string read_all(evbuffer* in) {
  std::string body(evbuffer_get_length(in), '\0');
  if (!body.empty()) evbuffer_remove(in, body.data(), body.size());
  return body;
}
}  // namespace

EventBasePtr make_event_base() {
  EventBasePtr base(event_base_new());
  if (!base) throw std::runtime_error("no event base");
  return base;
}

Timer::Timer(event_base* base, std::function<void()> fn)
    : on_expiry_(std::move(fn)),
      event_(event_new(
          base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->on_expiry_(); },
          this)) {}

void Timer::schedule(double seconds) {
  timeval tv = to_timeval(std::max(0.0, seconds));
  event_add(event_.get(), &tv);
}
void Timer::cancel() {
  event_del(event_.get());
}
bool Timer::pending() const {
  return event_pending(event_.get(), EV_TIMEOUT, nullptr) != 0;
}

std::string to_string(const Address& a) {
  return a.host + ":" + std::to_string(a.port);
}

Address parse_bind_address(const std::string& text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    throw std::invalid_argument("'" + text + "' is not HOST:PORT");
  std::size_t used = 0;
  unsigned long port = 0;
  try {
    port = std::stoul(text.substr(colon + 1), &used);
  } catch (const std::exception&) {
    throw std::invalid_argument("'" + text + "' has no port number");
  }
  if (used + colon + 1 != text.size() || port > 65535) {
    throw std::invalid_argument("'" + text + "' has no valid port number");
  }
  return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

Address parse_address(const std::string& text) {
  Address a = parse_bind_address(text);
  if (a.port == 0) throw std::invalid_argument("'" + text + "' has no valid port number");
  return a;
}

Responder::~Responder() {
  // An answer that nobody gave would leave the client waiting.
  if (raw_request_ != nullptr) reply(503, "", 1);
}

void Responder::reply(int status, const std::string& body, int retry_after_s) {
  if (raw_request_ == nullptr) return;
  evhttp_request* raw_request = std::exchange(raw_request_, nullptr);
  evhttp_connection* conn = evhttp_request_get_connection(raw_request);
  if (conn != nullptr) {
    server_.pending_responders_.erase(conn);
    evhttp_connection_set_closecb(conn, nullptr, nullptr);
  }
  evkeyvalq* headers = evhttp_request_get_output_headers(raw_request);
  if (conn != nullptr &&
      bufferevent_getfd(evhttp_connection_get_bufferevent(conn)) >= server_.keep_alive_below_) {
    evhttp_add_header(headers, "Connection", "close");
  }
  if (!body.empty()) evhttp_add_header(headers, "Content-Type", "application/cbor");
  if (retry_after_s > 0) evhttp_add_header(headers, "Retry-After", std::to_string(retry_after_s).c_str());
  std::unique_ptr<evbuffer, decltype(&evbuffer_free)> out(evbuffer_new(), evbuffer_free);
  evbuffer_add(out.get(), body.data(), body.size());
  evhttp_send_reply(raw_request, status, nullptr, out.get());
}

HttpServer::HttpServer(event_base* base, const Address& bind, std::size_t most_body, Handler handler)
    : handler_(std::move(handler)), address_(bind), http_(evhttp_new(base)) {
  evhttp* http = http_.get();
  // A body somewhat over the limit is read, so that it gets its 400 instead of a broken connection.
  evhttp_set_max_body_size(http, static_cast<ev_ssize_t>(4 * most_body));
  evhttp_set_max_headers_size(http, ssize_t{16} * 1024);
  evhttp_set_timeout(http, 60);
  evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                       EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
  evhttp_set_gencb(http, &HttpServer::on_request, this);
  evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(http, bind.host.c_str(), bind.port);
  if (socket == nullptr) throw std::runtime_error("cannot listen on " + to_string(bind));
  if (bind.port == 0) {
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    if (getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&bound), &size) == 0)
      address_.port = ntohs(bound.sin_port);
  }
}

HttpServer::~HttpServer() {
  for (auto& [conn, r] : pending_responders_) {
    evhttp_connection_set_closecb(conn, nullptr, nullptr);
    r->raw_request_ = nullptr;
  }
}

void HttpServer::on_close(evhttp_connection* conn, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  auto it = server->pending_responders_.find(conn);
  if (it == server->pending_responders_.end()) return;
  it->second->raw_request_ = nullptr;
  server->pending_responders_.erase(it);
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
  request.responder = std::make_shared<Responder>(*server, raw_request);
  evhttp_connection* conn = evhttp_request_get_connection(raw_request);
  server->pending_responders_[conn] = request.responder.get();
  evhttp_connection_set_closecb(conn, &HttpServer::on_close, server);
  server->handler_(std::move(request));
}

struct HttpClient::QueuedRequest {
  evhttp_cmd_type method;
  std::string path, body;
  double timeout_s;
  ResponseHandler on_response;
  HttpClient* client = nullptr;
  Connection* connection = nullptr;
};
struct HttpClient::Connection {
  ConnectionPtr handle;
  std::unique_ptr<QueuedRequest> request;
};

HttpClient::HttpClient(event_base* base, Address address, std::size_t connections, std::size_t most_body)
    : base_(base),
      address_(std::move(address)),
      max_body_(most_body),
      dispatch_timer_(base, [this] { dispatch(); }) {
  for (std::size_t i = 0; i < connections; ++i) connections_.push_back(std::make_unique<Connection>());
}

HttpClient::~HttpClient() {
  for (auto& s : connections_) {
    if (s->request) s->request->on_response = nullptr;
  }
}

bool HttpClient::all_busy() const {
  return !queue_.empty() || std::all_of(connections_.begin(), connections_.end(), [](const auto& connection) {
    return connection->request != nullptr;
  });
}

void HttpClient::send(evhttp_cmd_type method, const std::string& path, std::string body, double timeout_s,
                      ResponseHandler on_response) {
  auto queued = std::make_unique<QueuedRequest>();
  queued->method = method;
  queued->path = path;
  queued->body = std::move(body);
  queued->timeout_s = timeout_s;
  queued->on_response = std::move(on_response);
  queued->client = this;
  queue_.push_back(std::move(queued));
  dispatch();
}

namespace {
evhttp_request* make_request(const Address& destination, const std::string& body,
                             void (*done)(evhttp_request*, void*), void* arg) {
  evhttp_request* raw_request = evhttp_request_new(done, arg);
  evkeyvalq* headers = evhttp_request_get_output_headers(raw_request);
  evhttp_add_header(headers, "Host", to_string(destination).c_str());
  if (!body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/cbor");
    evbuffer_add(evhttp_request_get_output_buffer(raw_request), body.data(), body.size());
  }
  return raw_request;
}

Response read_response(evhttp_request* raw_request) {
  Response response;
  if (raw_request == nullptr) return response;
  response.status = evhttp_request_get_response_code(raw_request);
  if (response.status != 0) response.body = read_all(evhttp_request_get_input_buffer(raw_request));
  const char* after = evhttp_find_header(evhttp_request_get_input_headers(raw_request), "Retry-After");
  if (after != nullptr) response.retry_after_s = std::clamp(std::strtod(after, nullptr), 0.0, 3600.0);
  return response;
}
}  // namespace

void HttpClient::dispatch() {
  for (auto& slot : connections_) {
    if (queue_.empty()) return;
    if (slot->request) continue;
    if (!slot->handle) {
      slot->handle.reset(evhttp_connection_base_new(base_, nullptr, address_.host.c_str(), address_.port));
      if (max_body_ > 0)
        evhttp_connection_set_max_body_size(slot->handle.get(), static_cast<ev_ssize_t>(max_body_));
    }
    slot->request = std::move(queue_.front());
    queue_.pop_front();
    QueuedRequest* queued = slot->request.get();
    queued->connection = slot.get();
    timeval tv = to_timeval(queued->timeout_s);
    evhttp_connection_set_timeout_tv(slot->handle.get(), &tv);
    evhttp_request* req = make_request(address_, queued->body, &HttpClient::on_done, queued);
    if (evhttp_make_request(slot->handle.get(), req, queued->method, queued->path.c_str()) != 0) {
      // The request is freed by evhttp; its callback does not come.
      auto failed = std::move(slot->request);
      failed->on_response({});
    }
  }
}

void HttpClient::on_done(evhttp_request* raw_request, void* arg) {
  auto* queued = static_cast<QueuedRequest*>(arg);
  if (!queued->on_response) return;  // the client is going away
  HttpClient* client = queued->client;
  auto own = std::move(queued->connection->request);
  // Not from inside evhttp's callback: the connection is still being tidied up.
  client->dispatch_timer_.schedule(0);
  own->on_response(read_response(raw_request));
}

void send_once(event_base* base, const Address& destination, evhttp_cmd_type method, const std::string& path,
               const std::string& body, double timeout_s, ResponseHandler on_response) {
  evhttp_connection* conn =
      evhttp_connection_base_new(base, nullptr, destination.host.c_str(), destination.port);
  timeval tv = to_timeval(timeout_s);
  evhttp_connection_set_timeout_tv(conn, &tv);
  auto* keep = new ResponseHandler(std::move(on_response));
  evhttp_request* raw_request = make_request(
      destination, body,
      [](evhttp_request* response, void* arg) {
        std::unique_ptr<ResponseHandler> done(static_cast<ResponseHandler*>(arg));
        if (*done) (*done)(read_response(response));
      },
      keep);
  evhttp_add_header(evhttp_request_get_output_headers(raw_request), "Connection", "close");
  evhttp_connection_free_on_completion(conn);
  if (evhttp_make_request(conn, raw_request, method, path.c_str()) != 0) {
    std::unique_ptr<ResponseHandler> done(keep);
    if (*done) (*done)({});
  }
}

}  // namespace oxbowmill::net
