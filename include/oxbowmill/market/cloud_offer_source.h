// The platform's cloud as a source of offers: its price is posted and it answers at once. Scaling out there
// remains the autoscaler's task. Owns the offers of the current plan; used on the controller's thread only.
#pragma once

#include <map>
#include <vector>

#include "oxbowmill/market/offer_source.h"

namespace oxbowmill::market {

/// Offers of the platform's cloud; buying from it is asking the autoscaler to serve that many tasks.
class CloudOfferSource : public OfferSource {
 public:
  /// Replaces what it offers.
  void set_offers(const std::vector<CloudOffer>& offers) { offers_ = offers; }
  void offers(Seconds now, std::vector<Offer>& out) const override;
  void buy(const Award& award, const Offer& offer, const Demand& demand,
           const std::vector<UnmetDemand>& unmet_demands, double reference, Purchases& out) const override;

 private:
  std::vector<CloudOffer> offers_;
  mutable std::map<Seconds, DeliveryDistribution> distribution_cache_;  // by promised delivery time
};

}  // namespace oxbowmill::market
