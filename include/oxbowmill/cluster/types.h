// The shared vocabulary in one include: indices, resources, job specifications, machine types, agent
// messages.
#pragma once

#include "oxbowmill/cluster/agent_messages.h"
#include "oxbowmill/cluster/index.h"
#include "oxbowmill/cluster/job_spec.h"
#include "oxbowmill/cluster/machine_type.h"
#include "oxbowmill/cluster/resources.h"
