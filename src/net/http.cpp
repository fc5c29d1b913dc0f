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

std::string drain(evbuffer* in) {
  std::string body(evbuffer_get_length(in), '\0');
  if (!body.empty()) evbuffer_remove(in, body.data(), body.size());
  return body;
}
}  // namespace

EventBasePtr make_base() {
  EventBasePtr base(event_base_new());
  if (!base) throw std::runtime_error("no event base");
  return base;
}

Timer::Timer(event_base* base, std::function<void()> fn)
    : fn_(std::move(fn)),
      event_(event_new(
          base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->fn_(); }, this)) {}

void Timer::after(double seconds) {
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

Address parse_bind_address(const std::string& s) {
  std::size_t colon = s.rfind(':');
  if (colon == std::string::npos || colon == 0) throw std::invalid_argument("'" + s + "' is not HOST:PORT");
  std::size_t used = 0;
  unsigned long port = 0;
  try {
    port = std::stoul(s.substr(colon + 1), &used);
  } catch (const std::exception&) {
    throw std::invalid_argument("'" + s + "' has no port number");
  }
  if (used + colon + 1 != s.size() || port > 65535) {
    throw std::invalid_argument("'" + s + "' has no valid port number");
  }
  return {s.substr(0, colon), static_cast<std::uint16_t>(port)};
}

Address parse_address(const std::string& s) {
  Address a = parse_bind_address(s);
  if (a.port == 0) throw std::invalid_argument("'" + s + "' has no valid port number");
  return a;
}

Responder::~Responder() {
  // An answer that nobody gave would leave the client waiting.
  if (req_ != nullptr) reply(503, "", 1);
}

void Responder::reply(int status, const std::string& body, int retry_after_s) {
  if (req_ == nullptr) return;
  evhttp_request* req = std::exchange(req_, nullptr);
  evhttp_connection* conn = evhttp_request_get_connection(req);
  if (conn != nullptr) {
    server_.open_.erase(conn);
    evhttp_connection_set_closecb(conn, nullptr, nullptr);
  }
  evkeyvalq* headers = evhttp_request_get_output_headers(req);
  if (conn != nullptr &&
      bufferevent_getfd(evhttp_connection_get_bufferevent(conn)) >= server_.keep_alive_below_) {
    evhttp_add_header(headers, "Connection", "close");
  }
  if (!body.empty()) evhttp_add_header(headers, "Content-Type", "application/cbor");
  if (retry_after_s > 0) evhttp_add_header(headers, "Retry-After", std::to_string(retry_after_s).c_str());
  std::unique_ptr<evbuffer, decltype(&evbuffer_free)> out(evbuffer_new(), evbuffer_free);
  evbuffer_add(out.get(), body.data(), body.size());
  evhttp_send_reply(req, status, nullptr, out.get());
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
  for (auto& [conn, r] : open_) {
    evhttp_connection_set_closecb(conn, nullptr, nullptr);
    r->req_ = nullptr;
  }
}

void HttpServer::on_close(evhttp_connection* conn, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  auto it = server->open_.find(conn);
  if (it == server->open_.end()) return;
  it->second->req_ = nullptr;
  server->open_.erase(it);
}

void HttpServer::on_request(evhttp_request* req, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  Request r;
  r.method = evhttp_request_get_command(req);
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(req);
  const char* path = uri != nullptr ? evhttp_uri_get_path(uri) : nullptr;
  r.path = path != nullptr ? path : "/";
  const char* query = uri != nullptr ? evhttp_uri_get_query(uri) : nullptr;
  r.query = query != nullptr ? query : "";
  r.body = drain(evhttp_request_get_input_buffer(req));
  r.responder = std::make_shared<Responder>(*server, req);
  evhttp_connection* conn = evhttp_request_get_connection(req);
  server->open_[conn] = r.responder.get();
  evhttp_connection_set_closecb(conn, &HttpServer::on_close, server);
  server->handler_(std::move(r));
}

struct HttpClient::Job {
  evhttp_cmd_type method;
  std::string path, body;
  double timeout_s;
  ResponseFn fn;
  HttpClient* client = nullptr;
  Slot* slot = nullptr;
};
struct HttpClient::Slot {
  ConnectionPtr conn;
  std::unique_ptr<Job> job;
};

HttpClient::HttpClient(event_base* base, Address address, std::size_t connections, std::size_t most_body)
    : base_(base),
      address_(std::move(address)),
      most_body_(most_body),
      pump_timer_(base, [this] { pump(); }) {
  for (std::size_t i = 0; i < connections; ++i) slots_.push_back(std::make_unique<Slot>());
}

HttpClient::~HttpClient() {
  for (auto& s : slots_) {
    if (s->job) s->job->fn = nullptr;
  }
}

bool HttpClient::full() const {
  return !queue_.empty() ||
         std::all_of(slots_.begin(), slots_.end(), [](const auto& s) { return s->job != nullptr; });
}

void HttpClient::send(evhttp_cmd_type method, const std::string& path, std::string body, double timeout_s,
                      ResponseFn fn) {
  auto job = std::make_unique<Job>();
  job->method = method;
  job->path = path;
  job->body = std::move(body);
  job->timeout_s = timeout_s;
  job->fn = std::move(fn);
  job->client = this;
  queue_.push_back(std::move(job));
  pump();
}

namespace {
evhttp_request* make_request(const Address& to, const std::string& body, void (*done)(evhttp_request*, void*),
                             void* arg) {
  evhttp_request* req = evhttp_request_new(done, arg);
  evkeyvalq* headers = evhttp_request_get_output_headers(req);
  evhttp_add_header(headers, "Host", to_string(to).c_str());
  if (!body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/cbor");
    evbuffer_add(evhttp_request_get_output_buffer(req), body.data(), body.size());
  }
  return req;
}

Response read_response(evhttp_request* req) {
  Response r;
  if (req == nullptr) return r;
  r.status = evhttp_request_get_response_code(req);
  if (r.status != 0) r.body = drain(evhttp_request_get_input_buffer(req));
  const char* after = evhttp_find_header(evhttp_request_get_input_headers(req), "Retry-After");
  if (after != nullptr) r.retry_after_s = std::clamp(std::strtod(after, nullptr), 0.0, 3600.0);
  return r;
}
}  // namespace

void HttpClient::pump() {
  for (auto& slot : slots_) {
    if (queue_.empty()) return;
    if (slot->job) continue;
    if (!slot->conn) {
      slot->conn.reset(evhttp_connection_base_new(base_, nullptr, address_.host.c_str(), address_.port));
      if (most_body_ > 0)
        evhttp_connection_set_max_body_size(slot->conn.get(), static_cast<ev_ssize_t>(most_body_));
    }
    slot->job = std::move(queue_.front());
    queue_.pop_front();
    Job* job = slot->job.get();
    job->slot = slot.get();
    timeval tv = to_timeval(job->timeout_s);
    evhttp_connection_set_timeout_tv(slot->conn.get(), &tv);
    evhttp_request* req = make_request(address_, job->body, &HttpClient::on_done, job);
    if (evhttp_make_request(slot->conn.get(), req, job->method, job->path.c_str()) != 0) {
      // The request is freed by evhttp; its callback does not come.
      auto failed = std::move(slot->job);
      failed->fn({});
    }
  }
}

void HttpClient::on_done(evhttp_request* req, void* arg) {
  auto* job = static_cast<Job*>(arg);
  if (!job->fn) return;  // the client is going away
  HttpClient* client = job->client;
  auto own = std::move(job->slot->job);
  // Not from inside evhttp's callback: the connection is still being tidied up.
  client->pump_timer_.after(0);
  own->fn(read_response(req));
}

void send_once(event_base* base, const Address& to, evhttp_cmd_type method, const std::string& path,
               const std::string& body, double timeout_s, ResponseFn fn) {
  evhttp_connection* conn = evhttp_connection_base_new(base, nullptr, to.host.c_str(), to.port);
  timeval tv = to_timeval(timeout_s);
  evhttp_connection_set_timeout_tv(conn, &tv);
  auto* keep = new ResponseFn(std::move(fn));
  evhttp_request* req = make_request(
      to, body,
      [](evhttp_request* r, void* arg) {
        std::unique_ptr<ResponseFn> done(static_cast<ResponseFn*>(arg));
        if (*done) (*done)(read_response(r));
      },
      keep);
  evhttp_add_header(evhttp_request_get_output_headers(req), "Connection", "close");
  evhttp_connection_free_on_completion(conn);
  if (evhttp_make_request(conn, req, method, path.c_str()) != 0) {
    std::unique_ptr<ResponseFn> done(keep);
    if (*done) (*done)({});
  }
}

}  // namespace oxbowmill::net
