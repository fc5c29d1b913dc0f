#include "oxbowmill/market/cloud_offer_source.h"

#include <algorithm>

namespace oxbowmill::market {

namespace {
/// Assumed delivery times of the cloud, which mostly keeps to its stated boot time: deviations of a fifth
/// around a promise of 10 s, with the weight of 20 deliveries.
Reputation punctual_reputation() {
  constexpr int deliveries = 20;
  constexpr Seconds promised_s = 10, early_s = 8, late_s = 12;
  Reputation reputation;
  for (int i = 0; i < deliveries; ++i) reputation.record_delivery(promised_s, i % 2 == 0 ? early_s : late_s);
  return reputation;
}
}  // namespace

void CloudOfferSource::append_offers(Seconds, std::vector<Offer>& out) const {
  static const Reputation punctual = punctual_reputation();
  for (const CloudOffer& cloud_offer : offers_) {
    Offer offer;
    offer.type = cloud_offer.type;
    offer.zone = cloud_offer.zone;
    offer.spot = cloud_offer.spot;
    offer.max_machines = cloud_offer.max_machines;
    offer.expected_price = offer.quoted_price = offer.price_limit = cloud_offer.price;
    offer.promised_delivery_s = cloud_offer.ready_s;
    auto [cached, inserted] = distribution_cache_.try_emplace(cloud_offer.ready_s);
    if (inserted) cached->second = punctual.delivery_distribution(cloud_offer.ready_s);
    offer.delivery_distribution = cached->second;
    out.push_back(std::move(offer));
  }
}

void CloudOfferSource::add_purchase(const Award& award, const Offer& offer, const Demand& demand,
                                    const std::vector<UnmetDemand>& unmet_demands, double,
                                    Purchases& out) const {
  // The most urgent demands of the group come first.
  std::uint32_t tasks = award.machines * demand.tasks_per_machine[offer.type.value];
  for (std::size_t index : demand.unmet_demands) {
    std::uint32_t wanted = unmet_demands[index].tasks;
    std::uint32_t served = std::min(tasks, wanted - std::min(wanted, out.cloud_tasks[index]));
    out.cloud_tasks[index] += served;
    tasks -= served;
  }
}

}  // namespace oxbowmill::market
