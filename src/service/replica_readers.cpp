#include "oxbowmill/service/replica_readers.h"

#include <cmath>

namespace oxbowmill::service {

namespace {
// Readers wait for the replica no longer than a read of their own could take.
constexpr double reader_timeout_s = 0.8;
constexpr double read_count_decay_s = 2;
constexpr double frequent_reads = 8;  // recent reads from which watches return at once
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
  return !open_watch_readers_.empty() && now - watch_sent_at > reader_timeout_s / 2;
}

void ReplicaReaders::wait_for_next_watch(FreshnessHandler on_done, double now) {
  next_watch_readers_.push_back({std::move(on_done), now});
  if (!timeout_timer_.pending()) timeout_timer_.schedule(reader_timeout_s);
}

void ReplicaReaders::on_watch_sent() {
  for (Reader& reader : next_watch_readers_) open_watch_readers_.push_back(std::move(reader));
  next_watch_readers_.clear();
}

std::vector<FreshnessHandler> ReplicaReaders::take_open_watch_readers() {
  std::vector<FreshnessHandler> handlers;
  for (Reader& reader : open_watch_readers_) handlers.push_back(std::move(reader.on_done));
  open_watch_readers_.clear();
  return handlers;
}

void ReplicaReaders::time_out() {
  double now = clock_();
  std::vector<FreshnessHandler> late_handlers;
  for (auto* queue : {&open_watch_readers_, &next_watch_readers_}) {
    while (!queue->empty() && now - queue->front().since >= reader_timeout_s) {
      late_handlers.push_back(std::move(queue->front().on_done));
      queue->pop_front();
    }
  }
  if (!open_watch_readers_.empty() || !next_watch_readers_.empty()) {
    double since =
        open_watch_readers_.empty() ? next_watch_readers_.front().since : open_watch_readers_.front().since;
    timeout_timer_.schedule(std::max(min_timer_s, since + reader_timeout_s - now));
  }
  for (const FreshnessHandler& on_done : late_handlers) on_done(false);
}

}  // namespace oxbowmill::service
