// The only place that knows the names on the wire. Bodies are CBOR maps; names become indices here.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "oxbowmill/autoscaling/autoscaler.h"

namespace oxbowmill::wire {

using Json = nlohmann::json;

constexpr std::size_t max_body_size = std::size_t{64} * 1024;

/// Decodes a body; nothing when it is not CBOR, has trailing bytes, is too large or is not a map.
std::optional<Json> decode_map(const std::string& body);
std::string encode(const Json& json);

bool valid_id(const std::string& text);

/// Why a submission is not taken.
struct Rejection {
  int status = 400;
  std::string reason;
};

/// Reads the fields of a submission. Names of types, zones and teams that do not exist are told apart from
/// malformed input: the former can never run (422), the latter is 400.
std::optional<Rejection> read_submission(const Json& json, Names& names, JobSpec& out);
/// Whether an otherwise well-formed job can run at all.
std::optional<Rejection> check_runnable(const JobSpec& spec, const Settings& settings,
                                        const std::vector<MachineType>& catalog);
Json write_submission(const JobSpec& spec, const Names& names);

std::optional<WorkerReport> read_report(const Json& json);
Json write_report_answer(const ReportAnswer& answer);
Json write_direct_commands(const DirectCommands& commands);

Json job_status(const std::string& ref, const std::string& phase, std::uint32_t done, std::uint32_t running);

// Cloud.
struct CatalogEntry {
  std::string name;
  MachineType type;
  std::vector<std::string> zones;
};
std::optional<std::vector<CatalogEntry>> read_catalog(const Json& json);
Json write_catalog(const std::vector<CatalogEntry>& entries);
Json write_scale_out(const ScaleOutRequest& request, const Names& names);
std::optional<std::vector<std::string>> read_hosts(const Json& json);
Json write_delete(const std::vector<std::string>& names);
struct ListPage {
  std::vector<ListedMachine> machines;
  bool has_more = false;
};
std::optional<ListPage> read_list(const Json& json);

}  // namespace oxbowmill::wire
