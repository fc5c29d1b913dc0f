#include "oxbowmill/cluster/ownership_table.h"

#include <algorithm>

namespace oxbowmill {

void OwnershipTable::set_owner(PartitionIndex partition, const OwnershipRecord* record, Revision revision,
                               Seconds now) {
  ownerships_[partition.value] = record != nullptr ? Ownership{*record, revision, now} : Ownership{};
}

void OwnershipTable::set_controller(const std::string& name, const OwnershipRecord* record, Seconds now) {
  if (record == nullptr) {
    controllers_.erase(name);
    return;
  }
  auto [it, added] = controllers_.try_emplace(name, LiveController{*record, now});
  if (!added && it->second.record.lease_id != record->lease_id) it->second = {*record, now};
}

std::optional<Seconds> OwnershipTable::all_live_since(const std::vector<std::string>& names) const {
  std::optional<Seconds> last;
  for (const std::string& name : names) {
    auto it = controllers_.find(name);
    if (it == controllers_.end()) return std::nullopt;
    last = std::max(last.value_or(it->second.since), it->second.since);
  }
  return last;
}

}  // namespace oxbowmill
