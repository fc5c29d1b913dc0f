// The leader's trading: follows markets and bids, commits money before it bids, and takes in what is
// delivered. Pure: durable changes, answers and the time go in; transactions and calls come out.
#pragma once

#include <functional>
#include <memory>

#include "oxbowmill/core/fleet.h"
#include "oxbowmill/market/venue.h"

namespace oxbowmill::market {

class Desk : public MachineSource {
 public:
  /// `model` and `scheduler` are the controller's; money enters the tables through them.
  Desk(Model& model, Scheduler& scheduler, const Settings& settings);

  // The fleet's side.
  std::vector<Expected> expected(PartIndex part, Seconds now) const override;
  std::vector<std::uint32_t> plan(const std::vector<Need>& needs, const std::vector<CloudOffer>& cloud,
                                  Clock clock, Effects& out) override;
  void give_back(const std::vector<MachineIndex>& machines, Seconds now) override;
  /// A machine that was bid for is there; the record names its market and bid.
  std::function<void(const HostNews&, const MachineRecord&)> on_delivered;
  /// The market says that they are back, or was not to be moved to say so.
  std::function<void(const std::vector<MachineIndex>&, bool said)> on_returned;
  /// They cost more than was agreed: work is to leave them, and they go back.
  std::function<void(const std::vector<MachineIndex>&)> on_unwanted;
  /// How needs are turned into awards; the experiments put baselines here.
  std::function<Plan(const std::vector<Demand>&, const std::vector<Offer>&, const Ledger&, double reference,
                     const Settings&)>
      planner = make_plan;

  // The controller's side.
  void pass(Clock clock, Effects& out, std::vector<Call>& calls);
  void on_answer(const Call& call, const Answer& answer, Clock clock);

  const std::map<std::string, Bid>& bids() const { return bids_; }
  const MarketVenue& venue(MarketIndex m) const { return *venues_.at(m.v); }
  const Ledger& ledger() const { return ledger_; }
  /// Machines within guarantees that the last plan left unserved for want of money.
  std::uint32_t unmet_guarantee() const { return unmet_guarantee_; }

 private:
  struct Return {
    std::string host;
    MachineIndex machine;  // none: one that never got a record
    Seconds next_at = 0;
    bool out = false;
  };
  bool take_lead(Clock clock);
  void let_go();
  void adopt_records(Clock clock);
  void commit(const Purchases::Draft& d, Clock clock, Effects& out);
  void step(Bid& b, Clock clock, std::vector<Call>& calls);
  void follow(Bid& b, const BidNews& news, Clock clock);
  void take_hosts(Bid& b, const BidNews& news, Clock clock);
  void check_charge(Bid& b, Money charged, Seconds now);
  void decide_raise(Bid& b, const BidNews& news);
  void judge(Bid& b);
  void finish(Bid& b, Money charged, const std::string& why);
  void dispute(Bid& b, const std::string& why);
  void read_charges(MarketVenue& v, const Answer& a, Seconds now);
  void settle(Clock clock, Effects& out);
  void tend_venues(Clock clock, std::vector<Call>& calls);
  void send_returns(Clock clock, std::vector<Call>& calls);
  bool ask(const Bid& b, CallKind kind, Clock clock, std::vector<Call>& calls);
  void send(Call c, Clock clock, std::vector<Call>& calls);
  bool overdue(const Bid& b, Seconds now) const;
  bool doubted(const Bid& b, Seconds now) const;
  void set_patience(Bid& b) const;
  std::uint32_t missing(const Bid& b) const;
  void hold_back_spare(std::vector<Demand>& demands, Seconds now) const;
  void note_unmet(const std::vector<Demand>& demands, const Plan& plan, Seconds now);
  double reference_price() const;
  MarketVenue* known_venue(MarketIndex m) const;

  Model& model_;
  Scheduler& scheduler_;
  const Settings& settings_;
  Ledger ledger_;
  CloudVenue cloud_;
  std::vector<std::unique_ptr<MarketVenue>> venues_;  // by market; those that are not configured are null
  std::map<std::string, Bid> bids_;
  std::map<std::string, std::string> host_bid_;  // who delivered it
  std::map<std::string, Return> returns_;
  std::map<std::string, Money> settled_;  // bids of this term that are over, and what they cost
  std::vector<Kind> wanted_;              // what quotes are asked for
  Seconds wanted_at_ = -1e9, wanted_since_ = 0;
  Stamp term_ = 0;  // the leader's claim that this state belongs to; 0: not leading
  std::uint64_t names_ = 0, calls_ = 0;
  std::map<std::uint64_t, Seconds> out_;  // calls without an answer, and when they were sent
  std::set<std::string> bid_calls_;       // bids with a call that is out
  std::set<std::pair<std::uint32_t, CallKind>> market_calls_;
  bool settling_ = false;
  Seconds next_plan_ = 0, unmet_logged_ = -1e9;
  std::uint32_t unmet_guarantee_ = 0;
  bool short_of_money_ = false;  // for work within a guarantee
};

/// The desk buys for this fleet from now on, and the fleet takes in what it is delivered.
void connect(Desk& desk, Fleet& fleet);

}  // namespace oxbowmill::market
