// Includes the codecs of the messages of agents, users and the cloud. The codec of the market protocol is in
// market_codec.h. Only this package knows the field names on the wire; its callers work with indices of
// machine types, zones and teams.
#pragma once

#include "oxbowmill/wire/agent_codec.h"
#include "oxbowmill/wire/cbor.h"
#include "oxbowmill/wire/cloud_codec.h"
#include "oxbowmill/wire/submission_codec.h"
