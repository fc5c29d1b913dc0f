// Turns needs into bids: who gets how much of what is offered. See docs/markets-design.md for the ways
// weighed.
#pragma once

#include "oxbowmill/core/source.h"
#include "oxbowmill/market/ledger.h"
#include "oxbowmill/market/trust.h"

namespace oxbowmill::market {

/// Something that can be had: a market's quote, or a kind of machine at the platform's posted price.
struct Offer {
  MarketIndex market;  // none: the platform's cloud
  TypeIndex type;
  ZoneIndex zone;
  bool spot = false;
  std::uint32_t most = 0;
  double price = 0;   // expected per machine and hour
  double quoted = 0;  // as the market says
  double limit = 0;   // most that would be paid per machine and hour
  Seconds promised_s = 0;
  double share = 1;         // expected to come
  Punctuality punctuality;  // of what comes
  bool proven = true;       // its share is known well enough to trust it with all
  std::string quote;        // the market's name of it
  Seconds quote_ends = 0;
};

/// Needs that are alike to the planner, counted in machines of the reference type.
struct Demand {
  Claim claim = Claim::standard;
  PartIndex part;
  bool spot = false;
  ZoneIndex zone;
  std::vector<std::uint32_t> per_machine;
  std::uint32_t machines = 0;
  std::uint32_t spare = 0;  // that may be bought beyond them
  Seconds run_s = 0, slack_s = 0;
  std::vector<std::size_t> needs;  // which of the caller's, in order of urgency
};

struct Award {
  std::size_t demand = 0, offer = 0;
  std::uint32_t machines = 0;
  bool spare = false;  // beyond the demand, since not all of it is expected in time
};

struct Plan {
  std::vector<Award> awards;
  double cost = 0;                   // expected, with lateness priced; what the planner minimises
  std::vector<std::uint32_t> unmet;  // by demand: machines
};

/// The need's place in the order: guarantees, then ranks; best-effort work that starves goes before other
/// work beyond guarantees.
Claim claim_of(const Need& n, const Settings& s);

struct Prices {
  /// Expected cost of one machine of the offer for the demand: money, and what being late is worth.
  static double of(const Demand& d, const Offer& o, double reference, const Settings& s);
  /// Chance that a machine of it is there in time, or not much later.
  static double comes(const Demand& d, const Offer& o, const Settings& s);
  /// Cost of leaving one machine's worth of it unserved.
  static double unserved(const Demand& d, double reference);
  /// The offer's machines that make one of the reference type; 0: not allowed.
  static double machines_per_unit(const Demand& d, const Offer& o);
  /// Most that is bid for it per machine and hour; below the quote: too dear for this demand.
  static double limit(const Demand& d, const Offer& o, double reference, const Settings& s);
};

/// Groups needs that are alike; keeps their order.
std::vector<Demand> group(const std::vector<Need>& needs, const Settings& s);

/// `reference`: the platform's ordinary price of a machine. Claims are served in their order; within one the
/// cost is least for the offers and the money that are left. What is expected not to come in time is bought
/// again elsewhere, within the stated spare, from what then remains: a machine that turns out not to be
/// needed costs the seconds until it goes back, and a late one the work.
Plan make_plan(const std::vector<Demand>& demands, const std::vector<Offer>& offers, const Ledger& ledger,
               double reference, const Settings& s);

}  // namespace oxbowmill::market
