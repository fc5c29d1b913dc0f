#include "oxbowmill/wire/cloud_codec.h"

#include "field_reader.h"
#include "name_table.h"
#include "shared_names.h"

namespace oxbowmill::wire {

namespace {

namespace field {
// Fields of the catalog.
constexpr const char* type_name = "sku";
constexpr const char* cache_gb = "cache_gb";
constexpr const char* fetch_gb_per_s = "fetch_gb_per_s";
constexpr const char* price = "rate";
constexpr const char* spot_price = "low_price";
constexpr const char* boot_s = "ready_s";
// Fields of requests for machines.
constexpr const char* request_id = "hire";
// Field of refusals.
constexpr const char* error = "error";
// Fields of the list of machines.
constexpr const char* machine_name = "ref";
constexpr const char* age_s = "age_s";
constexpr const char* has_more = "truncated";
}  // namespace field

constexpr WireName<ListedMachine::Phase> machine_phases[] = {{"starting", ListedMachine::Phase::starting},
                                                             {"running", ListedMachine::Phase::running},
                                                             {"failed", ListedMachine::Phase::failed}};

std::optional<CatalogEntry> read_catalog_entry(const Json& json) {
  if (!json.is_object()) return std::nullopt;
  FieldReader fields(json);
  CatalogEntry entry;
  entry.name = fields.text(field::type_name);
  entry.type.capacity = machine_capacity(fields.amount(shared::cpus), fields.amount(shared::gpus),
                                         fields.amount(shared::memory_gb));
  entry.type.cache_gb = fields.amount(field::cache_gb);
  entry.type.fetch_gb_per_s = fields.amount(field::fetch_gb_per_s);
  entry.type.price = fields.amount(field::price);
  entry.type.spot_price = fields.amount(field::spot_price);
  entry.type.boot_s = fields.amount(field::boot_s);
  auto zones = json.find(shared::zones);
  if (!fields.ok() || zones == json.end() || !zones->is_array()) return std::nullopt;
  for (const Json& zone : *zones) {
    if (!zone.is_string()) return std::nullopt;
    entry.zones.push_back(zone.get<std::string>());
  }
  return entry;
}

std::optional<ListedMachine> read_listed_machine(const Json& json) {
  if (!json.is_object()) return std::nullopt;
  FieldReader fields(json);
  ListedMachine machine;
  machine.name = fields.text(field::machine_name);
  machine.address = fields.has(shared::address) ? fields.text(shared::address) : std::string();
  machine.type = fields.text(shared::machine_type);
  machine.zone = fields.text(shared::zone);
  machine.spot = fields.flag(shared::spot);
  auto phase = value_of(machine_phases, fields.text(shared::phase));
  machine.age_s = fields.amount(field::age_s);
  if (!fields.ok() || !phase || !valid_id(machine.name)) return std::nullopt;
  machine.phase = *phase;
  return machine;
}

}  // namespace

bool is_no_capacity(const Json& json) {
  auto error = json.find(field::error);
  return error != json.end() && *error == "no capacity";
}

std::optional<std::vector<CatalogEntry>> read_catalog(const Json& json) {
  auto types = json.find(shared::machine_types);
  if (types == json.end() || !types->is_array() || types->empty()) return std::nullopt;
  std::vector<CatalogEntry> entries;
  for (const Json& type : *types) {
    auto entry = read_catalog_entry(type);
    if (!entry) return std::nullopt;
    entries.push_back(std::move(*entry));
  }
  return entries;
}

Json write_catalog(const std::vector<CatalogEntry>& entries) {
  Json types = Json::array();
  for (const CatalogEntry& entry : entries) {
    types.push_back({{field::type_name, entry.name},
                     {shared::cpus, entry.type.capacity.cpus},
                     {shared::gpus, entry.type.capacity.gpus},
                     {shared::memory_gb, entry.type.capacity.memory_gb},
                     {field::cache_gb, entry.type.cache_gb},
                     {field::fetch_gb_per_s, entry.type.fetch_gb_per_s},
                     {field::price, entry.type.price},
                     {field::spot_price, entry.type.spot_price},
                     {field::boot_s, entry.type.boot_s},
                     {shared::zones, entry.zones}});
  }
  return {{shared::machine_types, types}};
}

Json write_scale_out_request(const ScaleOutRequest& request, const Names& names) {
  return {{field::request_id, request.request_id},
          {shared::machine_type, names.types.name(request.type)},
          {shared::zone, names.zones.name(request.zone)},
          {shared::spot, request.spot},
          {shared::count, request.count}};
}

std::optional<std::vector<std::string>> read_granted_machines(const Json& json) {
  auto machines = json.find(shared::machines);
  if (machines == json.end() || !machines->is_array()) return std::nullopt;
  std::vector<std::string> names;
  for (const Json& name : *machines) {
    if (!name.is_string() || !valid_id(name.get_ref<const std::string&>())) return std::nullopt;
    names.push_back(name.get<std::string>());
  }
  return names;
}

Json write_delete_request(const std::vector<std::string>& names) {
  return {{shared::machines, names}};
}

std::optional<MachineListPage> read_machine_list(const Json& json) {
  auto machines = json.find(shared::machines);
  auto has_more = json.find(field::has_more);
  if (machines == json.end() || !machines->is_array()) return std::nullopt;
  MachineListPage page;
  page.has_more = has_more != json.end() && has_more->is_boolean() && has_more->get<bool>();
  for (const Json& machine_json : *machines) {
    auto machine = read_listed_machine(machine_json);
    if (!machine) return std::nullopt;
    page.machines.push_back(std::move(*machine));
  }
  return page;
}

}  // namespace oxbowmill::wire
