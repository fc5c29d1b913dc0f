// The names on the wire, by who speaks; only this package knows them. Names of machines, types, zones and
// teams become indices here. The market protocol is in market_codec.h.
#pragma once

#include "oxbowmill/wire/agent_codec.h"
#include "oxbowmill/wire/cbor.h"
#include "oxbowmill/wire/cloud_codec.h"
#include "oxbowmill/wire/submission_codec.h"
