#include "oxbowmill/market/market_registry.h"

#include "oxbowmill/market/bid_book.h"

namespace oxbowmill::market {

MarketRegistry::MarketRegistry(const Settings& settings) {
  for (const MarketSettings& market : settings.markets) {
    if (by_index_.size() <= market.index.value) by_index_.resize(market.index.value + 1);
    by_index_[market.index.value] = std::make_unique<MarketClient>(market, settings);
  }
  for (const auto& client : by_index_) {
    if (client) configured_.push_back(client.get());
  }
}

MarketClient* MarketRegistry::find(MarketIndex market) const {
  return market.valid() && market.value < by_index_.size() ? by_index_[market.value].get() : nullptr;
}

void MarketRegistry::load_records(const ClusterState& state) {
  for (MarketClient* client : configured_) {
    auto entry = state.accounting.markets.find(client->market_settings().index);
    if (entry != state.accounting.markets.end()) client->load_record(entry->second.record);
  }
}

void MarketRegistry::end_leadership() {
  for (MarketClient* client : configured_) {
    client->clear_overdue_machines();
    client->reset_last_charge_read();
  }
}

void MarketRegistry::update_overdue_machines(const BidBook& bids, Seconds now) {
  for (MarketClient* client : configured_) client->clear_overdue_machines();
  for (const auto& [name, bid] : bids.bids()) {
    MarketClient* client = find(bid.record.market);
    if (client != nullptr && !bid.outcome_counted && is_overdue(bid, now))
      client->add_overdue_machines(bid.record.kind(), missing_machines(bid));
  }
}

void MarketRegistry::append_offers(Seconds now, std::vector<Offer>& out) const {
  for (const MarketClient* client : configured_) client->append_offers(now, out);
}

}  // namespace oxbowmill::market
