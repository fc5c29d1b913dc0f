// Bodies that the platform's cloud and controllers exchange. The names of all fields are in
// src/wire/cloud_codec.cpp. Readers return nothing where a field is missing or malformed. Stateless.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "oxbowmill/autoscaling/autoscaler.h"
#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::wire {

/// A machine type of the cloud's catalog, with the zones that offer it.
struct CatalogEntry {
  std::string name;                ///< of the type
  MachineType type;                ///< its `zones` are not filled in
  std::vector<std::string> zones;  ///< names, known here or not
};

/// The catalog of machine types; an empty one counts as malformed.
std::optional<std::vector<CatalogEntry>> read_catalog(const Json& json);
/// The body that reads back as this catalog.
Json write_catalog(const std::vector<CatalogEntry>& entries);
/// The request for new machines.
Json write_scale_out(const ScaleOutRequest& request, const Names& names);
/// Names of the machines that the answer to such a request grants.
std::optional<std::vector<std::string>> read_hosts(const Json& json);
/// The request to delete machines.
Json write_delete(const std::vector<std::string>& names);

/// One page of the list of all machines.
struct ListPage {
  std::vector<ListedMachine> machines;  ///< in the cloud's order
  bool has_more = false;                ///< further machines follow the last one of this page
};
/// A page of the cloud's list of machines.
std::optional<ListPage> read_list(const Json& json);

}  // namespace oxbowmill::wire
