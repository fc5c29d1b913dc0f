// Owners of libevent's handles. Everything in this package runs in the thread that runs the event base;
// callbacks come from its loop and may call back into the objects here.
#pragma once

#include <event2/event.h>
#include <event2/http.h>

#include <memory>

namespace oxbowmill::net {

/// Frees the handles that this package owns.
struct HandleDeleter {
  /// Frees an event base; all handles on it must be gone.
  void operator()(event_base* base) const { event_base_free(base); }
  /// Cancels and frees an event.
  void operator()(event* handle) const { event_free(handle); }
  /// Stops and frees a server with its connections.
  void operator()(evhttp* server) const { evhttp_free(server); }
  /// Closes and frees a connection; its open request ends without a response.
  void operator()(evhttp_connection* connection) const { evhttp_connection_free(connection); }
};
/// Owns an event base.
using EventBasePtr = std::unique_ptr<event_base, HandleDeleter>;
/// Owns an event.
using EventPtr = std::unique_ptr<event, HandleDeleter>;
/// Owns a server's handle.
using EvhttpPtr = std::unique_ptr<evhttp, HandleDeleter>;
/// Owns a connection of a client.
using ConnectionPtr = std::unique_ptr<evhttp_connection, HandleDeleter>;

/// A new event loop; throws oxbowmill::Error where the system has none left.
EventBasePtr make_event_base();

}  // namespace oxbowmill::net
