// Encodes and decodes the messages between the platform's cloud and controllers. src/wire/cloud_codec.cpp
// defines the names of the fields. Decoders return an empty optional if a field is missing or malformed.
// Stateless.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "oxbowmill/autoscaling/autoscaler.h"
#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::wire {

/// A machine type of the cloud's catalog, with the zones that offer it.
struct CatalogEntry {
  std::string name;                ///< name of the type
  MachineType type;                ///< the type without its `zones`
  std::vector<std::string> zones;  ///< names of zones, which need not be configured here
};

/// Whether the body of a refusal says that the cloud has no machines of the requested kind.
bool is_no_capacity(const Json& json);
/// Decodes the catalog of machine types. A catalog without types is malformed.
std::optional<std::vector<CatalogEntry>> read_catalog(const Json& json);
/// Encodes a catalog such that `read_catalog` returns it.
Json write_catalog(const std::vector<CatalogEntry>& entries);
/// Encodes a request for new machines.
Json write_scale_out_request(const ScaleOutRequest& request, const Names& names);
/// Decodes the answer to a request for new machines: the names of the machines that it grants.
std::optional<std::vector<std::string>> read_granted_machines(const Json& json);
/// Encodes a request to delete machines.
Json write_delete_request(const std::vector<std::string>& names);

/// One page of the list of all machines.
struct MachineListPage {
  std::vector<ListedMachine> machines;  ///< machines in the cloud's order
  bool has_more = false;                ///< whether further machines follow on the next page
};
/// Decodes a page of the cloud's list of machines.
std::optional<MachineListPage> read_machine_list(const Json& json);

}  // namespace oxbowmill::wire
