// Offers of the platform's cloud at its posted prices. The autoscaler sends the resulting scale-out requests.
// Owns the offers of the current plan; used on the controller's thread only.
#pragma once

#include <map>
#include <vector>

#include "oxbowmill/market/offer_source.h"

namespace oxbowmill::market {

/// Offer source for the platform's cloud. Buying adds to the tasks that the autoscaler requests from the
/// cloud.
class CloudOfferSource : public OfferSource {
 public:
  /// Replaces the offers.
  void set_offers(const std::vector<CloudOffer>& offers) { offers_ = offers; }
  void append_offers(Seconds now, std::vector<Offer>& out) const override;
  void add_purchase(const Award& award, const Offer& offer, const Demand& demand,
                    const std::vector<UnmetDemand>& unmet_demands, double reference_price,
                    Purchases& out) const override;

 private:
  std::vector<CloudOffer> offers_;
  mutable std::map<Seconds, DeliveryDistribution>
      distribution_cache_;  // by promised delivery time in seconds
};

}  // namespace oxbowmill::market
