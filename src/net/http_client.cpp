#include "oxbowmill/net/http_client.h"

#include <event2/keyvalq_struct.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>

#include "event_util.h"
#include "oxbowmill/net/current_message.h"

namespace oxbowmill::net {

namespace {
constexpr double max_retry_after_s = 3600;

evhttp_request* make_request(const Address& destination, const std::string& body,
                             void (*on_done)(evhttp_request*, void*), void* arg) {
  evhttp_request* raw_request = evhttp_request_new(on_done, arg);
  evkeyvalq* headers = evhttp_request_get_output_headers(raw_request);
  evhttp_add_header(headers, "Host", to_string(destination).c_str());
  if (!body.empty()) {
    evhttp_add_header(headers, "Content-Type", body_content_type);
    evbuffer_add(evhttp_request_get_output_buffer(raw_request), body.data(), body.size());
  }
  return raw_request;
}

Response read_response(evhttp_request* raw_request) {
  Response response;
  if (raw_request == nullptr) return response;
  response.status = evhttp_request_get_response_code(raw_request);
  if (response.status != 0) response.body = read_all(evhttp_request_get_input_buffer(raw_request));
  const char* retry_after = evhttp_find_header(evhttp_request_get_input_headers(raw_request), "Retry-After");
  if (retry_after != nullptr)
    response.retry_after_s = std::clamp(std::strtod(retry_after, nullptr), 0.0, max_retry_after_s);
  return response;
}
}  // namespace

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

HttpClient::HttpClient(event_base* base, Address address, std::size_t connections, std::size_t max_body)
    : base_(base),
      address_(std::move(address)),
      max_body_(max_body),
      dispatch_timer_(base, [this] { dispatch(); }) {
  for (std::size_t i = 0; i < connections; ++i) connections_.push_back(std::make_unique<Connection>());
}

HttpClient::~HttpClient() {
  for (auto& connection : connections_) {
    if (connection->request) connection->request->on_response = nullptr;
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

void HttpClient::dispatch() {
  for (auto& connection : connections_) {
    if (queue_.empty()) return;
    if (!connection->request) start(*connection);
  }
}

void HttpClient::start(Connection& connection) {
  if (!connection.handle) {
    connection.handle.reset(evhttp_connection_base_new(base_, nullptr, address_.host.c_str(), address_.port));
    if (max_body_ > 0)
      evhttp_connection_set_max_body_size(connection.handle.get(), static_cast<ev_ssize_t>(max_body_));
  }
  connection.request = std::move(queue_.front());
  queue_.pop_front();
  QueuedRequest* queued = connection.request.get();
  queued->connection = &connection;
  timeval tv = to_timeval(queued->timeout_s);
  evhttp_connection_set_timeout_tv(connection.handle.get(), &tv);
  evhttp_request* raw_request = make_request(address_, queued->body, &HttpClient::on_done, queued);
  if (evhttp_make_request(connection.handle.get(), raw_request, queued->method, queued->path.c_str()) != 0) {
    // In this case, evhttp frees the request without calling on_done.
    auto failed = std::move(connection.request);
    count_unanswered();
    failed->on_response({});
  }
}

void HttpClient::on_done(evhttp_request* raw_request, void* arg) {
  auto* queued = static_cast<QueuedRequest*>(arg);
  if (!queued->on_response) return;  // the client is being destroyed
  HttpClient* client = queued->client;
  auto finished = std::move(queued->connection->request);
  // The next request must not start inside this callback, because evhttp still uses the connection.
  client->dispatch_timer_.schedule(0);
  Response response = read_response(raw_request);
  if (response.status == 0) client->count_unanswered();
  MessageScope scope("response", finished->path, to_string(client->address_), response.body.size());
  finished->on_response(response);
}

void HttpClient::count_unanswered() {
  if (unanswered_.add())
    SPDLOG_INFO("requests unanswered destination={} count={}", to_string(address_), unanswered_.count());
}

void send_once(event_base* base, const Address& destination, evhttp_cmd_type method, const std::string& path,
               const std::string& body, double timeout_s, ResponseHandler on_response) {
  evhttp_connection* connection =
      evhttp_connection_base_new(base, nullptr, destination.host.c_str(), destination.port);
  timeval tv = to_timeval(timeout_s);
  evhttp_connection_set_timeout_tv(connection, &tv);
  auto* handler = new ResponseHandler(std::move(on_response));
  evhttp_request* raw_request = make_request(
      destination, body,
      [](evhttp_request* response, void* arg) {
        std::unique_ptr<ResponseHandler> owned_handler(static_cast<ResponseHandler*>(arg));
        if (*owned_handler) (*owned_handler)(read_response(response));
      },
      handler);
  evhttp_add_header(evhttp_request_get_output_headers(raw_request), "Connection", "close");
  evhttp_connection_free_on_completion(connection);
  if (evhttp_make_request(connection, raw_request, method, path.c_str()) != 0) {
    std::unique_ptr<ResponseHandler> owned_handler(handler);
    if (*owned_handler) (*owned_handler)({});
  }
}

}  // namespace oxbowmill::net
