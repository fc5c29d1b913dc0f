// Includes the basic types that all packages share: indices, resources, job specifications, machine types and
// agent messages.
#pragma once

#include "oxbowmill/cluster/agent_messages.h"
#include "oxbowmill/cluster/index.h"
#include "oxbowmill/cluster/job_spec.h"
#include "oxbowmill/cluster/machine_type.h"
#include "oxbowmill/cluster/resources.h"
