#include "oxbowmill/market/venue.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace oxbowmill::market {

namespace {
constexpr int silent_after = 3;  // calls in a row without an answer
constexpr double first_pause_s = 2, longest_pause_s = 60;
constexpr double cautious = 0.9;       // limits stand above the final price with this probability
constexpr double proven_share = 0.8;   // of what is bid for comes, at least, with ...
constexpr double proven_chance = 0.2;  // ... this probability that it is less
constexpr double least_share = 0.05;   // below this nothing is bought there but trials

using V = VenueState;
constexpr std::uint32_t bit(V s) {
  return 1U << static_cast<unsigned>(s);
}
constexpr std::array<std::uint32_t, 6> following = {
    /* fresh     */ bit(V::trading) | bit(V::throttled) | bit(V::silent) | bit(V::shut),
    /* trading   */ bit(V::throttled) | bit(V::silent) | bit(V::shut),
    /* throttled */ bit(V::trading) | bit(V::silent) | bit(V::probing) | bit(V::shut),
    /* silent    */ bit(V::trading) | bit(V::probing) | bit(V::shut),
    /* probing   */ bit(V::trading) | bit(V::throttled) | bit(V::silent) | bit(V::shut),
    /* shut      */ 0,
};
}  // namespace

const char* name_of(VenueState s) {
  static constexpr const char* names[] = {"fresh", "trading", "throttled", "silent", "probing", "shut"};
  return names[static_cast<int>(s)];
}

bool may_follow(VenueState from, VenueState to) {
  return (following[static_cast<std::size_t>(from)] & bit(to)) != 0;
}

void CloudVenue::offers(Seconds, std::vector<Offer>& out) const {
  static const Trust punctual = [] {
    Trust t;  // it says when machines are usually there, and mostly keeps it
    for (int i = 0; i < 20; ++i) t.delivery(10, i % 2 == 0 ? 8 : 12);
    return t;
  }();
  for (const CloudOffer& c : offers_) {
    Offer o;
    o.type = c.type;
    o.zone = c.zone;
    o.spot = c.spot;
    o.most = c.most;
    o.price = o.quoted = o.limit = c.price;
    o.promised_s = c.ready_s;
    auto [table, fresh] = tables_.try_emplace(c.ready_s);
    if (fresh) table->second = punctual.punctuality(c.ready_s);
    o.punctuality = table->second;
    out.push_back(std::move(o));
  }
}

void CloudVenue::buy(const Award& a, const Offer& o, const Demand& d, const std::vector<Need>& needs, double,
                     Purchases& out) const {
  // The most urgent of the alike needs first.
  std::uint32_t tasks = a.machines * d.per_machine[o.type.v];
  for (std::size_t n : d.needs) {
    std::uint32_t more = std::min(tasks, needs[n].tasks - std::min(needs[n].tasks, out.cloud_tasks[n]));
    out.cloud_tasks[n] += more;
    tasks -= more;
  }
}

bool MarketVenue::set_state(VenueState to, const std::string& why) {
  if (state_ == to) return true;
  if (!may_follow(state_, to)) return false;
  SPDLOG_INFO("market {}: {} -> {}: {}", market_.name, name_of(state_), name_of(to), why);
  state_ = to;
  return true;
}

bool MarketVenue::turn(Seconds now) {
  turns_ = std::min(std::max(1.0, market_.rps), turns_ + (now - refilled_) * market_.rps);
  refilled_ = now;
  if (now < paused_until_ || turns_ < 1) return false;
  turns_ -= 1;
  return true;
}

void MarketVenue::heard(const Answer& a, Seconds now) {
  switch (a.kind) {
    case AnswerKind::none:
    case AnswerKind::garbage: {
      ++failures_;
      double pause =
          std::min(longest_pause_s, first_pause_s * std::exp2(std::max(0, failures_ - silent_after)));
      if (state_ == VenueState::probing || failures_ >= silent_after) {
        paused_until_ = now + pause;
        set_state(VenueState::silent, a.kind == AnswerKind::garbage ? "answers cannot be read" : "no answer");
      }
      return;
    }
    case AnswerKind::pause:
      paused_until_ = std::max(paused_until_, now + std::clamp(a.retry_after_s, 0.5, longest_pause_s));
      set_state(VenueState::throttled, "asks to be left alone");
      return;
    default:
      failures_ = 0;
      set_state(VenueState::trading, "answers");
  }
}

void MarketVenue::quoted(const Answer& a, Seconds asked_at, const Names& names) {
  if (a.absurd > 0) {
    SPDLOG_ERROR("market {}: {} quotes that nobody could mean are left out", market_.name, a.absurd);
    // One that quotes nonsense for one kind is not believed in the others either.
    whole_.machines(0, a.absurd);
    changed = true;
  }
  quotes_.clear();
  for (const QuoteNews& q : a.quotes) {
    if (q.kind.type.v >= names.types.size() || q.kind.zone.v >= names.zones.size()) continue;
    // Counted from when it was asked for: the market counts from a later moment.
    quotes_.push_back({q, asked_at + q.valid_s});
  }
}

bool MarketVenue::quotes_wanted(Seconds now, bool needed) const {
  if (state_ == VenueState::shut || now < paused_until_) return false;
  if (state_ == VenueState::silent || state_ == VenueState::throttled)
    return true;  // to see whether it is back
  double every = state_ == VenueState::fresh ? 1 : settings_.quote_every_s;
  return needed && now - asked_quotes_ >= every;
}

bool MarketVenue::has_quotes(Seconds now) const {
  return std::any_of(quotes_.begin(), quotes_.end(), [now](const Quote& q) { return q.ends > now; });
}

void MarketVenue::read_durable(const MarketRecord& r) {
  whole_ = Trust(r.evidence);
  ++learnt_;
  if (r.shut && !market_.forgive) {
    why_shut_ = r.why;
    set_state(VenueState::shut, r.why);
  }
}

MarketRecord MarketVenue::durable() const {
  return {state_ == VenueState::shut, why_shut_, whole_.evidence()};
}

void MarketVenue::shut(const std::string& why) {
  if (state_ == VenueState::shut) return;
  SPDLOG_ERROR("market {}: shut out: {}", market_.name, why);
  why_shut_ = why;
  changed = true;
  set_state(VenueState::shut, why);
}

void MarketVenue::judge_machines(const Kind& k, double kept, double broken) {
  if (kept + broken <= 0) return;
  whole_.machines(kept, broken);
  kinds_[k].machines(kept, broken);
  changed = true;
}

void MarketVenue::judge_delivery(const Kind& k, Seconds promised_s, Seconds actual_s) {
  whole_.delivery(promised_s, actual_s);
  kinds_[k].delivery(promised_s, actual_s);
  ++learnt_;
  changed = true;
}

void MarketVenue::judge_price(const Kind& k, double quoted, double paid) {
  whole_.price(quoted, paid);
  kinds_[k].price(quoted, paid);
  changed = true;
}

Trust MarketVenue::trust(const Kind& k) const {
  auto own = kinds_.find(k);
  Trust t = own == kinds_.end() ? Trust().within(whole_) : own->second.within(whole_);
  if (auto it = overdue.find(k); it != overdue.end()) t.machines(0, it->second);
  return t;
}

void MarketVenue::offers(Seconds now, std::vector<Offer>& out) const {
  if (!open_for_business()) return;
  for (const Quote& q : quotes_) {
    // One that runs out before a bid can be committed and sent is of no use.
    constexpr double to_send_s = 0.3;
    if (q.ends < now + to_send_s) continue;
    Trust t = trust(q.news.kind);
    Offer o;
    o.market = market_.index;
    o.type = q.news.kind.type;
    o.zone = q.news.kind.zone;
    o.spot = q.news.kind.spot;
    o.most = q.news.count;
    o.quoted = q.news.rate;
    o.price = q.news.rate * t.drift();
    o.limit = q.news.rate * std::max(1.0, t.drift_at(cautious));
    o.promised_s = q.news.deliver_s;
    o.share = t.share();
    o.proven = t.share_at(proven_chance) >= proven_share;
    if (o.share < least_share) continue;
    // The table is made anew only where what is known of deliveries has changed.
    int promised = static_cast<int>(std::lround(q.news.deliver_s));
    auto& [known, table] = tables_[{q.news.kind, promised}];
    if (known != learnt_) {
      known = learnt_;
      table = t.punctuality(q.news.deliver_s);
    }
    o.punctuality = table;
    o.quote = q.news.quote;
    o.quote_ends = q.ends;
    out.push_back(std::move(o));
  }
}

void MarketVenue::buy(const Award& a, const Offer& o, const Demand& d, const std::vector<Need>&,
                      double reference, Purchases& out) const {
  double limit = Prices::limit(d, o, reference, settings_);
  auto same = std::find_if(out.drafts.begin(), out.drafts.end(), [&](const Purchases::Draft& x) {
    return x.offer.market == o.market && x.offer.quote == o.quote && x.offer.type == o.type &&
           x.offer.zone == o.zone && x.offer.spot == o.spot && x.claim == d.claim && x.limit == limit;
  });
  if (same == out.drafts.end()) same = out.drafts.insert(same, {o, d.claim, limit, {}});
  same->machines[d.part] += a.machines;
}

}  // namespace oxbowmill::market
