// Includes all durable records and the transactions over them.
#pragma once

#include <map>
#include <optional>

#include "oxbowmill/cluster/accounting_records.h"
#include "oxbowmill/cluster/control_records.h"
#include "oxbowmill/cluster/job_records.h"
#include "oxbowmill/cluster/machine_record.h"
#include "oxbowmill/cluster/transaction.h"
