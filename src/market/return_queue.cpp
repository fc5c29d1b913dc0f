#include "oxbowmill/market/return_queue.h"

#include <algorithm>
#include <utility>

namespace oxbowmill::market {

namespace {
constexpr Seconds retry_interval_s = 8;  // between attempts to return a machine
constexpr std::size_t max_machines_per_call = 100;
}  // namespace

void ReturnQueue::add(const std::string& host, MachineIndex machine, Seconds now) {
  pending_.try_emplace(host, PendingReturn{machine, now, false});
}

MarketIndex ReturnQueue::market_of(const std::string& host, const PendingReturn& pending) const {
  MarketIndex market;
  if (pending.machine.valid()) market = state_.machine(pending.machine).record.market;
  // A machine without a record is identified by its name, which has the market's name as its prefix.
  if (!market.valid()) market = state_.names.markets.find(host.substr(0, host.find('.')));
  return market;
}

void ReturnQueue::send(Seconds now, std::vector<Call>& calls) {
  std::map<std::uint32_t, std::vector<std::string>> due_by_market;
  for (const auto& [host, pending] : pending_) {
    if (pending.in_flight || now < pending.next_attempt_at) continue;
    MarketIndex market = market_of(host, pending);
    if (markets_.find(market) == nullptr) continue;
    std::vector<std::string>& due = due_by_market[market.value];
    if (due.size() < max_machines_per_call) due.push_back(host);
  }
  for (auto& [market_number, hosts] : due_by_market) {
    MarketIndex market{market_number};
    if (call_tracker_.has_market_call(market, CallKind::release) ||
        !markets_.at(market).try_acquire_request(now))
      continue;
    for (const std::string& host : hosts) pending_.at(host).in_flight = true;
    Call call;
    call.market = market;
    call.kind = CallKind::release;
    call.hosts = std::move(hosts);
    call_tracker_.send(std::move(call), now, calls);
  }
}

void ReturnQueue::on_answer(const Call& call, const Answer& answer, Seconds now) {
  std::vector<MachineIndex> returned;
  for (const std::string& host : call.hosts) {
    auto it = pending_.find(host);
    if (it == pending_.end()) continue;
    PendingReturn& pending = it->second;
    pending.in_flight = false;
    pending.next_attempt_at = now + retry_interval_s;
    if (answer.kind != AnswerKind::ok || std::find(answer.returned_hosts.begin(), answer.returned_hosts.end(),
                                                   host) == answer.returned_hosts.end())
      continue;
    if (pending.machine.valid()) returned.push_back(pending.machine);
    // Requests the status at once: the market may have closed the bid with its last machine, which frees its
    // money.
    Bid* bid = bids_.find_by_host(host);
    if (bid != nullptr && bid->state == BidState::running) bid->next_action_at = now;
    pending_.erase(it);
  }
  if (!returned.empty() && on_returned_) on_returned_(returned, true);
}

void ReturnQueue::end_leadership() {
  std::vector<MachineIndex> unconfirmed;
  for (const auto& [host, pending] : pending_) {
    if (pending.machine.valid()) unconfirmed.push_back(pending.machine);
  }
  if (!unconfirmed.empty() && on_returned_) on_returned_(unconfirmed, false);
  pending_.clear();
}

}  // namespace oxbowmill::market
