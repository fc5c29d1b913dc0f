// Tables of bids, of the money spent on markets and of how markets behaved. The leader writes the records,
// and every controller keeps a copy. Only `apply` changes the tables. Not thread-safe.
#pragma once

#include <map>
#include <string>

#include "oxbowmill/cluster/records.h"

namespace oxbowmill {

/// Replica of the records of bids, ledger and markets.
struct AccountingTables {
  /// A record and its revision.
  template <class Record>
  struct Entry {
    Record record;                  ///< valid while `revision` is not `no_record`
    Revision revision = no_record;  ///< revision of the record
  };
  std::map<std::string, Entry<BidRecord>> bids;        ///< by name of the bid
  Entry<LedgerRecord> ledger;                          ///< ledger of the current budget window
  std::map<MarketIndex, Entry<MarketRecord>> markets;  ///< by market

  /// Applies a durable change of a bid, the ledger or a market. Changes of other keys have no effect.
  void apply(const Change& change, Revision revision);
};

}  // namespace oxbowmill
