#include "oxbowmill/cluster/accounting_tables.h"

namespace oxbowmill {

namespace {
/// Sets the record under its key, or erases it if the change is a removal.
template <class Record, class MapKey>
void set_or_erase(std::map<MapKey, AccountingTables::Entry<Record>>& table, const MapKey& key,
                  const Change& change, Revision revision) {
  if (const auto* record = std::get_if<Record>(&change.value)) {
    table[key] = {*record, revision};
  } else {
    table.erase(key);
  }
}
}  // namespace

void AccountingTables::apply(const Change& change, Revision revision) {
  if (const auto* bid_key = std::get_if<BidKey>(&change.key)) {
    set_or_erase(bids, bid_key->name, change, revision);
  } else if (const auto* market_key = std::get_if<MarketKey>(&change.key)) {
    set_or_erase(markets, market_key->market, change, revision);
  } else if (std::holds_alternative<LedgerKey>(change.key)) {
    const auto* record = std::get_if<LedgerRecord>(&change.value);
    ledger = record != nullptr ? Entry<LedgerRecord>{*record, revision} : Entry<LedgerRecord>{};
  }
}

}  // namespace oxbowmill
