#include "oxbowmill/cluster/machine.h"

#include <algorithm>
#include <utility>

namespace oxbowmill {

const char* name_of(MachineState state) {
  static constexpr const char* names[] = {"unknown", "expected",      "unreconciled",
                                          "ready",   "lease_expired", "deleting"};
  return names[static_cast<int>(state)];
}

bool Machine::has_image(ImageIndex image) const {
  return std::find(cached_images.begin(), cached_images.end(), image) != cached_images.end();
}

void Machine::restart_session(Seconds now) {
  in_partition_since = now;
  idle_since = now;
  last_answered_report_at = time_not_set;
  first_report_at = time_not_set;
  // A report held back from an earlier session must not pass for a new one.
  agent_epoch = 0;
  report_sequence = 0;
  first_fencing_token = 0;
  lost_responses = 0;
}

void Machine::reset_except_usage() {
  Machine fresh;
  fresh.placed_tasks = std::move(placed_tasks);
  fresh.used = used;
  fresh.long_running_tasks = long_running_tasks;
  fresh.reserved = reserved;
  fresh.reservations = reservations;
  fresh.marked_changed = marked_changed;
  *this = std::move(fresh);
}

void Machine::use_image(ImageIndex image, double cache_gb, const std::vector<double>& image_gb) {
  auto cached = std::find(cached_images.begin(), cached_images.end(), image);
  if (cached != cached_images.end()) cached_images.erase(cached);
  cached_images.push_back(image);
  // The agent keeps the most recently used images that fit in its cache, and the newest image in any case.
  double free_gb = cache_gb;
  std::size_t evicted = cached_images.size();
  for (; evicted > 0; --evicted) {
    free_gb -= image_gb[cached_images[evicted - 1].value];
    if (free_gb < 0) break;
  }
  evicted = std::min(evicted, cached_images.size() - 1);
  cached_images.erase(cached_images.begin(), cached_images.begin() + static_cast<std::ptrdiff_t>(evicted));
}

}  // namespace oxbowmill
