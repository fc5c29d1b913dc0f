#include "oxbowmill/service/cloud_client.h"

namespace oxbowmill::service {

using wire::Json;

namespace {
constexpr std::size_t max_connections = 3;
constexpr double request_rate_fraction = 0.8;  // of the cloud's request limit; the rest is a margin
constexpr unsigned dispatches_per_background_call = 3;
constexpr double scale_out_timeout_s = 5;
constexpr double delete_timeout_s = 8;
constexpr double list_timeout_s = 5;
constexpr double catalog_timeout_s = 4;
constexpr const char* cloud_sender = "cloud";
}  // namespace

CloudClient::CloudClient(event_base* base, const net::Address& address, const ClusterState& state,
                         Autoscaler& autoscaler, MalformedMessageLog& malformed_messages,
                         std::function<double()> clock)
    : state_(state),
      autoscaler_(autoscaler),
      malformed_messages_(malformed_messages),
      clock_(std::move(clock)),
      http_client_(base, address, max_connections),
      rate_limit_(state.settings.cloud_rps * request_rate_fraction, state.settings.cloud_rps) {}

void CloudClient::enqueue(CallPriority priority, std::function<void()> call) {
  (priority == CallPriority::urgent ? urgent_calls_ : background_calls_).push_back(std::move(call));
  dispatch();
}

void CloudClient::dispatch() {
  // While both queues have calls, every third one sent is a background call. Otherwise repeated requests for
  // machines that the cloud lacks would delay the deletion of other machines.
  while (!urgent_calls_.empty() || !background_calls_.empty()) {
    if (!rate_limit_.take(1, clock_())) return;
    bool is_background =
        urgent_calls_.empty() ||
        (!background_calls_.empty() && ++contended_dispatches_ % dispatches_per_background_call == 0);
    auto& queue = is_background ? background_calls_ : urgent_calls_;
    auto call = std::move(queue.front());
    queue.pop_front();
    call();
  }
}

void CloudClient::scale_out(const ScaleOutRequest& request) {
  enqueue(CallPriority::urgent, [this, request] { send_scale_out(request); });
}

void CloudClient::send_scale_out(const ScaleOutRequest& request) {
  http_client_.send(EVHTTP_REQ_POST, "/rentals",
                    wire::encode(wire::write_scale_out_request(request, state_.names)), scale_out_timeout_s,
                    [this, id = request.request_id](const net::Response& http_response) {
                      on_scale_out_response(id, http_response);
                    });
}

void CloudClient::on_scale_out_response(const std::string& request_id, const net::Response& http_response) {
  auto body = wire::decode_map(http_response.body);
  if (http_response.status == 200 && body) {
    if (auto machines = wire::read_granted_machines(*body))
      return autoscaler_.on_scale_out_result(request_id, true, *machines, clock_());
  }
  if (http_response.status == 200) log_malformed("scale_out_response", body);
  bool no_capacity = http_response.status == 503 && body && wire::is_no_capacity(*body);
  bool is_refused = no_capacity || http_response.status == 400;
  autoscaler_.on_scale_out_result(request_id, is_refused, {}, clock_());
}

void CloudClient::log_malformed(const char* kind, const wire::DecodedMap& body) {
  malformed_messages_.record({kind, cloud_sender, body ? "a field is missing or invalid" : body.error()});
}

void CloudClient::delete_machines(const std::vector<MachineIndex>& machines) {
  enqueue(CallPriority::background, [this, machines] { send_delete(machines); });
}

void CloudClient::send_delete(const std::vector<MachineIndex>& machines) {
  std::vector<std::string> names;
  for (MachineIndex machine : machines) names.push_back(state_.names.machines.name(machine));
  http_client_.send(EVHTTP_REQ_POST, "/rentals/delete", wire::encode(wire::write_delete_request(names)),
                    delete_timeout_s, [this, machines](const net::Response& http_response) {
                      autoscaler_.on_deleted(machines, http_response.status == 200);
                    });
}

void CloudClient::list_machines() {
  enqueue(CallPriority::background,
          [this] { request_page("", std::make_shared<std::vector<ListedMachine>>()); });
}

void CloudClient::request_page(const std::string& last_name, const MachineList& machines) {
  std::string path = "/rentals?most=500";
  if (!last_name.empty()) path += "&from=" + last_name;
  http_client_.send(
      EVHTTP_REQ_GET, path, "", list_timeout_s,
      [this, machines](const net::Response& http_response) { on_page(http_response, machines); });
}

void CloudClient::on_page(const net::Response& http_response, const MachineList& machines) {
  if (http_response.status != 200) return autoscaler_.on_list_failed();
  // Pages may be larger than the bodies that users and agents may send.
  auto body = wire::decode_map(http_response.body, wire::large_body_rules);
  auto page = body ? wire::read_machine_list(*body) : std::nullopt;
  if (!page) {
    log_malformed("machine_list", body);
    return autoscaler_.on_list_failed();
  }
  machines->insert(machines->end(), page->machines.begin(), page->machines.end());
  if (page->has_more && !page->machines.empty()) {
    std::string last_name = page->machines.back().name;
    return enqueue(CallPriority::background,
                   [this, last_name, machines] { request_page(last_name, machines); });
  }
  autoscaler_.on_listed(*machines, clock_());
}

void CloudClient::fetch_catalog(std::function<void(const Json&)> on_catalog) {
  enqueue(CallPriority::urgent, [this, on_catalog = std::move(on_catalog)] {
    http_client_.send(EVHTTP_REQ_GET, "/catalog", "", catalog_timeout_s,
                      [this, on_catalog](const net::Response& http_response) {
                        if (http_response.status != 200) return;
                        auto body = wire::decode_map(http_response.body);
                        if (!body) return log_malformed("catalog", body);
                        on_catalog(*body);
                      });
  });
}

}  // namespace oxbowmill::service
