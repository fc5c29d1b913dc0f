#include "oxbowmill/market/market_client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace oxbowmill::market {

namespace {
constexpr int unresponsive_after = 3;  // calls in a row without an answer
constexpr double min_pause_s = 2, max_pause_s = 60;
constexpr double price_limit_quantile = 0.9;  // limits stand above the final price with this probability
constexpr double proven_fraction = 0.8;       // of what is bid for comes, at least, with ...
constexpr double proven_quantile = 0.2;       // ... this probability that it is less
constexpr double min_fraction = 0.05;         // below this nothing is bought there but trials

using V = MarketState;
constexpr std::uint32_t state_bit(V s) {
  return 1U << static_cast<unsigned>(s);
}
constexpr std::array<std::uint32_t, 6> allowed_transitions = {
    /* fresh     */ state_bit(V::trading) | state_bit(V::throttled) | state_bit(V::unresponsive) |
        state_bit(V::suspended),
    /* trading   */ state_bit(V::throttled) | state_bit(V::unresponsive) | state_bit(V::suspended),
    /* throttled */ state_bit(V::trading) | state_bit(V::unresponsive) | state_bit(V::probing) |
        state_bit(V::suspended),
    /* silent    */ state_bit(V::trading) | state_bit(V::probing) | state_bit(V::suspended),
    /* probing   */ state_bit(V::trading) | state_bit(V::throttled) | state_bit(V::unresponsive) |
        state_bit(V::suspended),
    /* shut      */ 0,
};
}  // namespace

const char* name_of(MarketState s) {
  static constexpr const char* names[] = {"fresh", "trading", "throttled", "silent", "probing", "shut"};
  return names[static_cast<int>(s)];
}

bool may_follow(MarketState from, MarketState to) {
  return (allowed_transitions[static_cast<std::size_t>(from)] & state_bit(to)) != 0;
}

void CloudOfferSource::offers(Seconds, std::vector<Offer>& out) const {
  static const Reputation punctual = [] {
    Reputation t;  // it says when machines are usually there, and mostly keeps it
    for (int i = 0; i < 20; ++i) t.record_delivery(10, i % 2 == 0 ? 8 : 12);
    return t;
  }();
  for (const CloudOffer& cloud_offer : offers_) {
    Offer offer;
    offer.type = cloud_offer.type;
    offer.zone = cloud_offer.zone;
    offer.spot = cloud_offer.spot;
    offer.max_machines = cloud_offer.max_machines;
    offer.expected_price = offer.quoted_price = offer.price_limit = cloud_offer.price;
    offer.promised_delivery_s = cloud_offer.ready_s;
    auto [table, fresh] = distribution_cache_.try_emplace(cloud_offer.ready_s);
    if (fresh) table->second = punctual.delivery_distribution(cloud_offer.ready_s);
    offer.delivery_distribution = table->second;
    out.push_back(std::move(offer));
  }
}

void CloudOfferSource::buy(const Award& award, const Offer& offer, const Demand& demand,
                           const std::vector<UnmetDemand>& needs, double, Purchases& out) const {
  // The most urgent of the alike needs first.
  std::uint32_t tasks = award.machines * demand.per_machine[offer.type.value];
  for (std::size_t n : demand.unmet_demands) {
    std::uint32_t more = std::min(tasks, needs[n].tasks - std::min(needs[n].tasks, out.cloud_tasks[n]));
    out.cloud_tasks[n] += more;
    tasks -= more;
  }
}

bool MarketClient::set_state(MarketState to, const std::string& why) {
  if (state_ == to) return true;
  if (!may_follow(state_, to)) return false;
  SPDLOG_INFO("market {}: {} -> {}: {}", market_settings_.name, name_of(state_), name_of(to), why);
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

void MarketClient::on_answer(const Answer& answer, Seconds now) {
  switch (answer.kind) {
    case AnswerKind::no_answer:
    case AnswerKind::malformed: {
      ++failures_;
      double pause =
          std::min(max_pause_s, min_pause_s * std::exp2(std::max(0, failures_ - unresponsive_after)));
      if (state_ == MarketState::probing || failures_ >= unresponsive_after) {
        paused_until_ = now + pause;
        set_state(MarketState::unresponsive,
                  answer.kind == AnswerKind::malformed ? "answers cannot be read" : "no answer");
      }
      return;
    }
    case AnswerKind::throttled:
      paused_until_ = std::max(paused_until_, now + std::clamp(answer.retry_after_s, 0.5, max_pause_s));
      set_state(MarketState::throttled, "asks to be left alone");
      return;
    default:
      failures_ = 0;
      set_state(MarketState::trading, "answers");
  }
}

void MarketClient::on_quotes(const Answer& answer, Seconds asked_at, const Names& names) {
  if (answer.implausible_quotes > 0) {
    SPDLOG_ERROR("market {}: {} quotes that nobody could mean are left out", market_settings_.name,
                 answer.implausible_quotes);
    // One that quotes nonsense for one kind is not believed in the others either.
    overall_reputation_.record_machines(0, answer.implausible_quotes);
    has_unsaved_changes = true;
  }
  quotes_.clear();
  for (const QuoteUpdate& q : answer.quotes) {
    if (q.kind.type.value >= names.types.size() || q.kind.zone.value >= names.zones.size()) continue;
    // Counted from when it was asked for: the market counts from a later moment.
    quotes_.push_back({q, asked_at + q.valid_s});
  }
}

bool MarketClient::quotes_wanted(Seconds now, bool needed) const {
  if (state_ == MarketState::suspended || now < paused_until_) return false;
  if (state_ == MarketState::unresponsive || state_ == MarketState::throttled)
    return true;  // to see whether it is back
  double every = state_ == MarketState::untried ? 1 : settings_.quote_interval_s;
  return needed && now - quotes_requested_at_ >= every;
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

void MarketClient::suspend(const std::string& why) {
  if (state_ == MarketState::suspended) return;
  SPDLOG_ERROR("market {}: shut out: {}", market_settings_.name, why);
  suspension_reason_ = why;
  has_unsaved_changes = true;
  set_state(MarketState::suspended, why);
}

void MarketClient::record_machines(const MachineKind& kind, double kept, double broken) {
  if (kept + broken <= 0) return;
  overall_reputation_.record_machines(kept, broken);
  reputation_by_kind_[kind].record_machines(kept, broken);
  has_unsaved_changes = true;
}

void MarketClient::record_delivery(const MachineKind& kind, Seconds promised_s, Seconds actual_s) {
  overall_reputation_.record_delivery(promised_s, actual_s);
  reputation_by_kind_[kind].record_delivery(promised_s, actual_s);
  ++evidence_version_;
  has_unsaved_changes = true;
}

void MarketClient::record_price(const MachineKind& kind, double quoted, double paid) {
  overall_reputation_.record_price(quoted, paid);
  reputation_by_kind_[kind].record_price(quoted, paid);
  has_unsaved_changes = true;
}

Reputation MarketClient::reputation(const MachineKind& kind) const {
  auto own = reputation_by_kind_.find(kind);
  Reputation t = own == reputation_by_kind_.end() ? Reputation().combined_with(overall_reputation_)
                                                  : own->second.combined_with(overall_reputation_);
  if (auto it = overdue_machines.find(kind); it != overdue_machines.end()) t.record_machines(0, it->second);
  return t;
}

void MarketClient::offers(Seconds now, std::vector<Offer>& out) const {
  if (!accepts_bids()) return;
  for (const Quote& quote : quotes_) {
    // One that runs out before a bid can be committed and sent is of no use.
    constexpr double to_send_s = 0.3;
    if (quote.expires_at < now + to_send_s) continue;
    Reputation t = reputation(quote.update.kind);
    Offer offer;
    offer.market = market_settings_.index;
    offer.type = quote.update.kind.type;
    offer.zone = quote.update.kind.zone;
    offer.spot = quote.update.kind.spot;
    offer.max_machines = quote.update.count;
    offer.quoted_price = quote.update.rate;
    offer.expected_price = quote.update.rate * t.price_drift();
    offer.price_limit = quote.update.rate * std::max(1.0, t.price_drift_quantile(price_limit_quantile));
    offer.promised_delivery_s = quote.update.deliver_s;
    offer.delivered_fraction = t.delivered_fraction();
    offer.proven = t.delivered_fraction_quantile(proven_quantile) >= proven_fraction;
    if (offer.delivered_fraction < min_fraction) continue;
    // The table is made anew only where what is known of deliveries has changed.
    int promised = static_cast<int>(std::lround(quote.update.deliver_s));
    auto& [known, table] = distribution_cache_[{quote.update.kind, promised}];
    if (known != evidence_version_) {
      known = evidence_version_;
      table = t.delivery_distribution(quote.update.deliver_s);
    }
    offer.delivery_distribution = table;
    offer.quote_id = quote.update.quote_id;
    offer.quote_expires_at = quote.expires_at;
    out.push_back(std::move(offer));
  }
}

void MarketClient::buy(const Award& award, const Offer& offer, const Demand& demand,
                       const std::vector<UnmetDemand>&, double reference, Purchases& out) const {
  double limit = Pricing::bid_limit(demand, offer, reference, settings_);
  auto same = std::find_if(out.drafts.begin(), out.drafts.end(), [&](const Purchases::BidDraft& x) {
    return x.offer.market == offer.market && x.offer.quote_id == offer.quote_id &&
           x.offer.type == offer.type && x.offer.zone == offer.zone && x.offer.spot == offer.spot &&
           x.priority == demand.priority && x.limit == limit;
  });
  if (same == out.drafts.end()) same = out.drafts.insert(same, {offer, demand.priority, limit, {}});
  same->machines[demand.partition] += award.machines;
}

}  // namespace oxbowmill::market
