#include "oxbowmill/market/market_client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace oxbowmill::market {

namespace {
constexpr int unresponsive_after = 3;                 // consecutive calls without a readable answer
constexpr Seconds min_pause_s = 2, max_pause_s = 60;  // exponential backoff while unresponsive
constexpr Seconds min_throttle_s = 0.5;
constexpr Seconds first_quote_interval_s = 1;  // until the market answers for the first time
constexpr Seconds charges_interval_s = 10;
constexpr Seconds min_quote_remaining_s = 0.3;  // time to write and send a bid before the quote expires
constexpr double price_limit_quantile = 0.9;    // probability that the final price stays below the limit
// A market is proven if it delivers less than `proven_fraction` with a probability of at most
// `proven_quantile`.
constexpr double proven_fraction = 0.8;
constexpr double proven_quantile = 0.2;
constexpr double min_fraction = 0.05;  // offers with a lower expected delivered fraction are ignored
}  // namespace

bool MarketClient::set_state(MarketState to, const std::string& reason) {
  if (state_ == to) return true;
  if (!may_follow(state_, to)) return false;
  SPDLOG_INFO("market state changed market={} from={} to={} reason=\"{}\"", market_settings_.name,
              name_of(state_), name_of(to), reason);
  state_ = to;
  return true;
}

bool MarketClient::try_acquire_request(Seconds now) {
  request_tokens_ = std::min(std::max(1.0, market_settings_.requests_per_s),
                             request_tokens_ + (now - refilled_at_) * market_settings_.requests_per_s);
  refilled_at_ = now;
  if (now < paused_until_ || request_tokens_ < 1) return false;
  request_tokens_ -= 1;
  return true;
}

void MarketClient::on_no_answer(AnswerKind kind, Seconds now) {
  ++consecutive_failures_;
  if (state_ != MarketState::probing && consecutive_failures_ < unresponsive_after) return;
  paused_until_ =
      now +
      std::min(max_pause_s, min_pause_s * std::exp2(std::max(0, consecutive_failures_ - unresponsive_after)));
  set_state(MarketState::unresponsive, kind == AnswerKind::malformed ? "malformed answers" : "no answer");
}

void MarketClient::on_answer(const Answer& answer, Seconds now) {
  switch (answer.kind) {
    case AnswerKind::no_answer:
    case AnswerKind::malformed:
      on_no_answer(answer.kind, now);
      return;
    case AnswerKind::throttled:
      paused_until_ =
          std::max(paused_until_, now + std::clamp(answer.retry_after_s, min_throttle_s, max_pause_s));
      set_state(MarketState::throttled, "the market asked for a pause");
      return;
    default:
      consecutive_failures_ = 0;
      set_state(MarketState::trading, "the market answers");
  }
}

void MarketClient::on_quotes(const Answer& answer, Seconds requested_at, const Names& names) {
  if (answer.implausible_quotes > 0) {
    SPDLOG_ERROR("implausible quotes dropped market={} quotes={}", market_settings_.name,
                 answer.implausible_quotes);
    // Implausible quotes count against the whole market, because its other quotes are no more credible.
    overall_reputation_.record_machines(0, answer.implausible_quotes);
    has_unsaved_changes_ = true;
  }
  quotes_.clear();
  for (const QuoteUpdate& quote : answer.quotes) {
    if (quote.kind.type.value >= names.types.size() || quote.kind.zone.value >= names.zones.size()) continue;
    // Validity is counted from the request. The market starts to count it later, so no quote is used for too
    // long.
    quotes_.push_back({quote, requested_at + quote.valid_s});
  }
}

bool MarketClient::quotes_due(Seconds now, bool has_demand) const {
  if (state_ == MarketState::suspended || now < paused_until_) return false;
  if (state_ == MarketState::unresponsive || state_ == MarketState::throttled)
    return true;  // one probe, to find out whether the market answers again
  Seconds interval = state_ == MarketState::untried ? first_quote_interval_s : settings_.quote_interval_s;
  return has_demand && now - quotes_requested_at_ >= interval;
}

bool MarketClient::has_quotes(Seconds now) const {
  return std::any_of(quotes_.begin(), quotes_.end(),
                     [now](const Quote& quote) { return quote.expires_at > now; });
}

void MarketClient::load_record(const MarketRecord& record) {
  overall_reputation_ = Reputation(record.evidence);
  ++evidence_version_;
  if (record.suspended && !market_settings_.reinstate) {
    suspension_reason_ = record.reason;
    set_state(MarketState::suspended, record.reason);
  }
}

MarketRecord MarketClient::to_record() const {
  return {state_ == MarketState::suspended, suspension_reason_, overall_reputation_.evidence()};
}

void MarketClient::suspend(const std::string& reason) {
  if (state_ == MarketState::suspended) return;
  SPDLOG_ERROR("market suspended market={} reason=\"{}\"", market_settings_.name, reason);
  suspension_reason_ = reason;
  has_unsaved_changes_ = true;
  set_state(MarketState::suspended, reason);
}

void MarketClient::record_machines(const MachineKind& kind, double delivered, double undelivered) {
  if (delivered + undelivered <= 0) return;
  overall_reputation_.record_machines(delivered, undelivered);
  reputation_by_kind_[kind].record_machines(delivered, undelivered);
  has_unsaved_changes_ = true;
}

void MarketClient::record_delivery(const MachineKind& kind, Seconds promised_s, Seconds actual_s) {
  overall_reputation_.record_delivery(promised_s, actual_s);
  reputation_by_kind_[kind].record_delivery(promised_s, actual_s);
  ++evidence_version_;
  has_unsaved_changes_ = true;
}

void MarketClient::record_price(const MachineKind& kind, double quoted, double paid) {
  overall_reputation_.record_price(quoted, paid);
  reputation_by_kind_[kind].record_price(quoted, paid);
  has_unsaved_changes_ = true;
}

void MarketClient::on_charges_requested(Seconds now) {
  next_charges_at_ = now + charges_interval_s;
}

void MarketClient::on_charge_read(std::uint64_t number) {
  last_charge_read_ = std::max(last_charge_read_, number);
}

Reputation MarketClient::reputation(const MachineKind& kind) const {
  auto own = reputation_by_kind_.find(kind);
  Reputation combined = own == reputation_by_kind_.end() ? Reputation().combined_with(overall_reputation_)
                                                         : own->second.combined_with(overall_reputation_);
  if (auto overdue = overdue_machines_.find(kind); overdue != overdue_machines_.end())
    combined.record_machines(0, overdue->second);
  return combined;
}

Offer MarketClient::make_offer(const Quote& quote, const Reputation& reputation) const {
  const QuoteUpdate& update = quote.update;
  Offer offer;
  offer.market = market_settings_.index;
  offer.type = update.kind.type;
  offer.zone = update.kind.zone;
  offer.spot = update.kind.spot;
  offer.max_machines = update.count;
  offer.quoted_price = update.rate;
  offer.expected_price = update.rate * reputation.price_drift();
  offer.price_limit = update.rate * std::max(1.0, reputation.price_drift_quantile(price_limit_quantile));
  offer.promised_delivery_s = update.deliver_s;
  offer.delivered_fraction = reputation.delivered_fraction();
  offer.is_proven = reputation.delivered_fraction_quantile(proven_quantile) >= proven_fraction;
  offer.quote_id = update.quote_id;
  offer.quote_expires_at = quote.expires_at;
  return offer;
}

const DeliveryDistribution& MarketClient::delivery_distribution(const QuoteUpdate& quote,
                                                                const Reputation& reputation) const {
  // Recomputed only after another delivery has been counted, because plans use it several times a second.
  int promised_s = static_cast<int>(std::lround(quote.deliver_s));
  CachedDistribution& cached = distribution_cache_[{quote.kind, promised_s}];
  if (cached.evidence_version != evidence_version_) {
    cached.evidence_version = evidence_version_;
    cached.distribution = reputation.delivery_distribution(quote.deliver_s);
  }
  return cached.distribution;
}

void MarketClient::append_offers(Seconds now, std::vector<Offer>& out) const {
  if (!accepts_bids()) return;
  for (const Quote& quote : quotes_) {
    if (quote.expires_at < now + min_quote_remaining_s) continue;
    Reputation expected = reputation(quote.update.kind);
    Offer offer = make_offer(quote, expected);
    if (offer.delivered_fraction < min_fraction) continue;
    offer.delivery_distribution = delivery_distribution(quote.update, expected);
    out.push_back(std::move(offer));
  }
}

void MarketClient::add_purchase(const Award& award, const Offer& offer, const Demand& demand,
                                const std::vector<UnmetDemand>&, double reference_price,
                                Purchases& out) const {
  double limit = Pricing::bid_limit(demand, offer, reference_price, settings_);
  auto same = std::find_if(out.drafts.begin(), out.drafts.end(), [&](const Purchases::BidDraft& draft) {
    return draft.offer.market == offer.market && draft.offer.quote_id == offer.quote_id &&
           draft.offer.type == offer.type && draft.offer.zone == offer.zone &&
           draft.offer.spot == offer.spot && draft.priority == demand.priority && draft.limit == limit;
  });
  if (same == out.drafts.end()) same = out.drafts.insert(same, {offer, demand.priority, limit, {}});
  same->machines[demand.partition] += award.machines;
}

}  // namespace oxbowmill::market
