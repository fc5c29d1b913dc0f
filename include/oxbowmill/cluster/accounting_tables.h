// What is bid and spent on markets, and how markets behaved: written by the leader, known to all controllers.
// Plain tables; `apply` alone changes them. Not thread-safe.
#pragma once

#include <map>
#include <string>

#include "oxbowmill/cluster/records.h"

namespace oxbowmill {

/// Bids, what has been paid and what markets did: written by the leader, known to all.
struct AccountingTables {
  /// A record and its revision.
  template <class Record>
  struct Entry {
    Record record;                  ///< valid while `revision` is not `no_record`
    Revision revision = no_record;  ///< of the record
  };
  std::map<std::string, Entry<BidRecord>> bids;        ///< by name
  Entry<LedgerRecord> ledger;                          ///< the present window
  std::map<MarketIndex, Entry<MarketRecord>> markets;  ///< by market

  /// Takes over a durable change of a bid, the ledger or a market; any other has no effect.
  void apply(const Change& change, Revision revision);
};

}  // namespace oxbowmill
