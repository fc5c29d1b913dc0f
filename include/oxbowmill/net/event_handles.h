// Smart pointers for libevent's handles. All objects of this package belong to the thread that runs the event
// loop. The loop calls their callbacks, which may use the objects again.
#pragma once

#include <event2/event.h>
#include <event2/http.h>

#include <memory>

namespace oxbowmill::net {

/// Frees libevent's handles.
struct HandleDeleter {
  /// Frees an event base. All handles that use it must have been freed before.
  void operator()(event_base* base) const { event_base_free(base); }
  /// Cancels and frees an event.
  void operator()(event* handle) const { event_free(handle); }
  /// Stops and frees a server with its connections.
  void operator()(evhttp* server) const { evhttp_free(server); }
  /// Closes and frees a connection. Its open request completes without a response.
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

/// Creates an event loop. Throws oxbowmill::Error if libevent cannot create one. From then on, SIGPIPE is
/// ignored unless the program handles it itself: libevent writes to connections without regard to it.
EventBasePtr make_event_base();

}  // namespace oxbowmill::net
