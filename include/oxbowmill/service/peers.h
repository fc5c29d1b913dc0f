// What controllers tell each other, in MessagePack over HTTP. It only speeds things up: whatever is lost is
// made good by the watch.
#pragma once

#include <map>
#include <memory>
#include <msgpack.hpp>
#include <optional>

#include "oxbowmill/config/config.h"

namespace oxbowmill::service {

/// How far the start of a part has come, under the claim of this revision.
struct StartWord {
  std::string part;
  std::uint64_t claim = 0;
  std::uint32_t state = 0, expected = 0, heard = 0;
  MSGPACK_DEFINE_ARRAY(part, claim, state, expected, heard)
};

/// A controller's word about itself.
struct PeerNews {
  std::string node;
  std::uint64_t revision = 0;     // of the last change it knows of
  bool state_ok = false;          // the state service answers it
  std::vector<std::string> dark;  // zones whose machines do not reach it
  // Optional: older versions neither send nor read them.
  std::vector<StartWord> starts;      // of the parts it owns
  std::vector<std::string> suspects;  // machines of its parts that may be gone
};
std::string encode(const PeerNews& n);
std::optional<PeerNews> decode_news(const std::string& body);

/// Whether a node should take users' connections. In an outage that everyone has, all stay in: a refusal with
/// the time to come back is the better answer. A node that alone is cut off from the state service steps
/// aside.
bool should_serve(double since_state_answer, bool peer_has_state);

class Peers {
 public:
  Peers(event_base* base, const config::Config& config, std::function<double()> now,
        std::function<PeerNews()> news);
  /// Tells the others at once, at most every few milliseconds.
  void tell();
  bool any_has_state() const;
  const net::Address& address() const { return server_->address(); }
  /// Passes a worker's report on to the node that owns its machine. At once status 0 when that node has not
  /// been heard for a while.
  void relay(const std::string& node, const std::string& report, net::ResponseFn fn);
  std::function<void(std::uint64_t revision)> on_revision;
  std::function<void(const std::string& zone)> on_dark;
  std::function<void(const PeerNews&)> on_news;
  /// A report that another node passes on.
  std::function<void(const net::Request&)> on_relayed;

 private:
  void on_request(net::Request&& r);
  void send();
  std::function<double()> now_;
  std::function<PeerNews()> news_;
  struct Heard {
    double at = -1e9;
    bool state_ok = false;
  };
  std::map<std::string, Heard> heard_;
  std::vector<std::unique_ptr<net::HttpClient>> links_;
  std::map<std::string, std::unique_ptr<net::HttpClient>> relays_;
  std::vector<bool> busy_;
  net::Timer every_, soon_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace oxbowmill::service
