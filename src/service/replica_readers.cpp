#include "oxbowmill/service/replica_readers.h"

#include <cmath>

namespace oxbowmill::service {

namespace {
// Readers wait for the replica no longer than they would for a read of their own.
constexpr double reader_timeout_s = 0.8;
constexpr double read_count_decay_s = 2;
constexpr double frequent_reads = 8;  // recent reads from which on watches return at once
constexpr double min_timer_s = 0.001;
}  // namespace

ReplicaReaders::ReplicaReaders(event_base* base, std::function<double()> clock)
    : clock_(std::move(clock)), timeout_timer_(base, [this] { time_out(); }) {}

void ReplicaReaders::record_read(double now) {
  read_count_ = read_count_ * std::exp((counted_at_ - now) / read_count_decay_s) + 1;
  counted_at_ = now;
}

bool ReplicaReaders::is_read_often() const {
  return read_count_ * std::exp((counted_at_ - clock_()) / read_count_decay_s) >= frequent_reads;
}

bool ReplicaReaders::is_watch_late(double watch_sent_at, double now) const {
  return !watching_.empty() && now - watch_sent_at > reader_timeout_s / 2;
}

void ReplicaReaders::wait_for_next_watch(CurrencyHandler on_done, double now) {
  waiting_.push_back({std::move(on_done), now});
  if (!timeout_timer_.pending()) timeout_timer_.schedule(reader_timeout_s);
}

void ReplicaReaders::on_watch_sent() {
  for (Reader& reader : waiting_) watching_.push_back(std::move(reader));
  waiting_.clear();
}

std::vector<CurrencyHandler> ReplicaReaders::take_watching() {
  std::vector<CurrencyHandler> handlers;
  for (Reader& reader : watching_) handlers.push_back(std::move(reader.on_done));
  watching_.clear();
  return handlers;
}

void ReplicaReaders::time_out() {
  double now = clock_();
  std::vector<CurrencyHandler> late;
  for (auto* queue : {&watching_, &waiting_}) {
    while (!queue->empty() && now - queue->front().since >= reader_timeout_s) {
      late.push_back(std::move(queue->front().on_done));
      queue->pop_front();
    }
  }
  if (!watching_.empty() || !waiting_.empty()) {
    double since = watching_.empty() ? waiting_.front().since : watching_.front().since;
    timeout_timer_.schedule(std::max(min_timer_s, since + reader_timeout_s - now));
  }
  for (const CurrencyHandler& on_done : late) on_done(false);
}

}  // namespace oxbowmill::service
