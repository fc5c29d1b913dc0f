// Includes all headers of this package, HTTP over libevent.
#pragma once

#include "oxbowmill/net/address.h"
#include "oxbowmill/net/event_handles.h"
#include "oxbowmill/net/http_client.h"
#include "oxbowmill/net/http_server.h"
#include "oxbowmill/net/timer.h"
