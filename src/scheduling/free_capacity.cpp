#include "oxbowmill/scheduling/free_capacity.h"

#include <algorithm>
#include <queue>

#include "oxbowmill/scheduling/single_zone.h"

namespace oxbowmill {

bool operator==(const MachineCapacity& left, const MachineCapacity& right) {
  return left.candidate.free_capacity == right.candidate.free_capacity && left.releasing == right.releasing &&
         left.candidate.type == right.candidate.type && left.candidate.zone == right.candidate.zone &&
         left.candidate.spot == right.candidate.spot &&
         left.candidate.long_running == right.candidate.long_running && left.booting == right.booting &&
         left.expected_up_at == right.expected_up_at && left.fetching_images == right.fetching_images &&
         left.preemptible == right.preemptible && left.lowest_priority == right.lowest_priority &&
         left.images == right.images;
}

Seconds Selection::last_start_s() const {
  Seconds last = 0;
  for (const TaskAssignment& choice : assignments) last = std::max(last, machines[choice.candidate].start_s);
  return last;
}

FreeCapacity::GroupKey FreeCapacity::group_of(const Entry& entry) const {
  const CandidateMachine& candidate = entry.capacity.candidate;
  bool fetching = entry.capacity.fetching_images || entry.added_fetch_s > 0;
  return {candidate.type,
          candidate.zone,
          candidate.spot,
          candidate.long_running,
          is_whole_machine_free(candidate, state_->catalog[candidate.type.value]),
          fetching};
}

FreeCapacity::CapacityKey FreeCapacity::capacity_key_of(const Entry& entry, MachineIndex machine) {
  return {entry.capacity.candidate.free_capacity.gpus, entry.capacity.candidate.free_capacity.cpus, machine};
}

void FreeCapacity::insert(MachineIndex machine, const Entry& entry) {
  const MachineCapacity& capacity = entry.capacity;
  if (capacity.booting) {
    booting_.insert(machine);
    return;
  }
  Group& group = groups_[group_of(entry)];
  CapacityKey capacity_key = capacity_key_of(entry, machine);
  group.all.insert(capacity_key);
  for (ImageIndex image : capacity.images) group.by_image[image.value].insert(capacity_key);
  const Resources& releasing = capacity.releasing;
  if (releasing.cpus != 0 || releasing.gpus != 0 || releasing.memory_gb != 0) with_releasing_.insert(machine);
  if (capacity.preemptible) preemptible_.insert(machine);
  if (capacity.candidate.free_capacity.message_bytes < max_task_message_bytes)
    message_limited_.insert(machine);
}

void FreeCapacity::erase(MachineIndex machine, const Entry& entry) {
  if (entry.capacity.booting) {
    booting_.erase(machine);
    return;
  }
  auto group = groups_.find(group_of(entry));
  CapacityKey capacity_key = capacity_key_of(entry, machine);
  group->second.all.erase(capacity_key);
  for (ImageIndex image : entry.capacity.images) {
    auto with_image = group->second.by_image.find(image.value);
    with_image->second.erase(capacity_key);
    if (with_image->second.empty()) group->second.by_image.erase(with_image);
  }
  if (group->second.all.empty()) groups_.erase(group);
  with_releasing_.erase(machine);
  preemptible_.erase(machine);
  message_limited_.erase(machine);
}

bool FreeCapacity::update(MachineIndex machine, std::optional<MachineCapacity> capacity) {
  auto it = machines_.find(machine.value);
  if (it == machines_.end()) {
    if (!capacity) return false;
    insert(machine, machines_[machine.value] = Entry{std::move(*capacity), 0});
    return true;
  }
  Entry& entry = it->second;
  if (capacity && entry.added_fetch_s == 0 && entry.capacity == *capacity) return false;
  erase(machine, entry);
  if (!capacity) {
    machines_.erase(it);
    return true;
  }
  entry = {std::move(*capacity), 0};
  insert(machine, entry);
  return true;
}

const MachineCapacity* FreeCapacity::find(MachineIndex machine) const {
  auto it = machines_.find(machine.value);
  return it == machines_.end() ? nullptr : &it->second.capacity;
}

void FreeCapacity::clear() {
  machines_.clear();
  groups_.clear();
  for (auto* set : {&with_releasing_, &booting_, &preemptible_, &message_limited_, &provisional_})
    set->clear();
}

template <class Change>
void FreeCapacity::change(MachineIndex machine, Change change) {
  Entry& entry = machines_.at(machine.value);
  erase(machine, entry);
  change(entry);
  insert(machine, entry);
  provisional_.insert(machine);
}

void FreeCapacity::take(MachineIndex machine, const Resources& need) {
  change(machine, [&need](Entry& entry) { entry.capacity.candidate.free_capacity -= need; });
}

void FreeCapacity::take_releasing(MachineIndex machine, const Resources& need) {
  change(machine, [&need](Entry& entry) { entry.capacity.releasing -= need; });
}

void FreeCapacity::add_fetch(MachineIndex machine, Seconds seconds) {
  change(machine, [seconds](Entry& entry) { entry.added_fetch_s += seconds; });
}

void FreeCapacity::mark_long_running(MachineIndex machine) {
  change(machine, [](Entry& entry) { entry.capacity.candidate.long_running = true; });
}

std::vector<MachineIndex> FreeCapacity::take_provisional() {
  std::vector<MachineIndex> out(provisional_.begin(), provisional_.end());
  provisional_.clear();
  return out;
}

bool FreeCapacity::is_offered(const SelectionQuery& query, const GroupKey& key) const {
  const JobSpec& spec = *query.spec;
  if (!is_allowed_on(spec, key.type, key.zone, key.spot)) return false;
  if (key.zone.value < query.unreachable.size() && query.unreachable[key.zone.value]) return false;
  bool reserved_for_gangs = query.avoid_whole_machines && !key.spot && key.whole &&
                            packs_with_others(spec, state_->catalog[key.type.value]);
  return !reserved_for_gangs;
}

/// Iterates over the machines of one group on which a task fits, best first. All of them could start the task
/// at the same time and at the same opportunity cost, so the machine with the least free capacity is the
/// best.
class FreeCapacity::GroupCursor {
 public:
  GroupCursor(const FreeCapacity& index, const JobSpec& spec, const CapacityOrder& order,
              CandidateMachine prototype, bool without_image)
      : index_(&index), spec_(&spec), order_(&order), prototype_(prototype), without_image_(without_image) {
    position_ = order.lower_bound({spec.task_resources.gpus - resource_tolerance,
                                   spec.task_resources.cpus - resource_tolerance, MachineIndex{0}});
    skip_unfit();
  }
  bool done() const { return position_ == order_->end(); }
  /// The current machine, with its start time and opportunity cost for the job.
  CandidateMachine head() const {
    CandidateMachine candidate = index_->machines_.at(position_->machine.value).capacity.candidate;
    candidate.start_s = prototype_.start_s;
    candidate.opportunity_cost_s = prototype_.opportunity_cost_s;
    return candidate;
  }
  void next() {
    ++position_;
    skip_unfit();
  }

 private:
  void skip_unfit() {
    while (!done()) {
      // Skips all machines with this number of GPUs and too few CPUs in one step.
      if (position_->cpus < spec_->task_resources.cpus - resource_tolerance) {
        position_ = order_->lower_bound(
            {position_->gpus, spec_->task_resources.cpus - resource_tolerance, MachineIndex{0}});
        continue;
      }
      ++index_->visits_;
      const MachineCapacity& capacity = index_->machines_.at(position_->machine.value).capacity;
      bool has_image = without_image_ && std::find(capacity.images.begin(), capacity.images.end(),
                                                   spec_->image) != capacity.images.end();
      if (!has_image && fits(spec_->task_resources, capacity.candidate.free_capacity)) return;
      ++position_;
    }
  }
  const FreeCapacity* index_;
  const JobSpec* spec_;
  const CapacityOrder* order_;
  CandidateMachine prototype_;
  bool without_image_;
  CapacityOrder::const_iterator position_;
};

/// Merges the groups and the forecast into one sequence of candidates for a job, best first.
class FreeCapacity::CandidateMerge {
 public:
  CandidateMerge(const FreeCapacity& index, const SelectionQuery& query, ZoneIndex only_zone,
                 const std::vector<CandidateMachine>& forecast)
      : index_(&index), query_(&query) {
    for (const auto& [key, group] : index.groups_) {
      if ((only_zone.valid() && key.zone != only_zone) || !index.is_offered(query, key)) continue;
      add_group(key, group);
    }
    add_forecast(forecast, only_zone);
  }
  bool done() const { return heads_.empty(); }
  CandidateMachine pop() {
    Head head = heads_.top();
    heads_.pop();
    if (head.cursor < cursors_.size()) {
      cursors_[head.cursor].next();
      push_head(head.cursor);
    }
    return head.candidate;
  }

 private:
  static constexpr std::size_t no_cursor = std::numeric_limits<std::size_t>::max();
  struct Head {
    CandidateMachine candidate;
    std::size_t cursor = no_cursor;
    bool forecast = false;
  };
  struct LessPreferred {
    bool operator()(const Head& a, const Head& b) const { return is_better(b, a); }
  };
  /// Order of preference: earliest start including the opportunity cost, lowest acquisition cost, spot
  /// machines, least free capacity.
  static bool is_better(const Head& left, const Head& right) {
    auto key = [](const Head& head) {
      const CandidateMachine& candidate = head.candidate;
      return std::make_tuple(candidate.start_s + candidate.opportunity_cost_s, candidate.acquisition_cost,
                             !candidate.spot, candidate.free_capacity.gpus, candidate.free_capacity.cpus,
                             head.forecast, candidate.machine);
    };
    return key(left) < key(right);
  }
  void add_group(const GroupKey& key, const Group& group) {
    const JobSpec& spec = *query_->spec;
    const MachineType& type = index_->state_->catalog[key.type.value];
    CandidateMachine prototype;
    prototype.type = key.type;
    prototype.zone = key.zone;
    prototype.spot = key.spot;
    prototype.long_running = key.long_running;
    prototype.free_capacity = key.whole ? type.capacity : Resources{};
    prototype.opportunity_cost_s = opportunity_cost(spec, type, prototype);
    auto with_image = group.by_image.find(spec.image.value);
    bool has_image = with_image != group.by_image.end();
    if (has_image) add_cursor({*index_, spec, with_image->second, prototype, false});
    prototype.start_s = fetch_time(spec, type);
    GroupCursor rest(*index_, spec, group.all, prototype, has_image);
    if (query_->has_start_deadline && key.fetching) {
      add_fetching(rest);
    } else {
      add_cursor(rest);
    }
  }
  /// Adds machines with fetches in progress one by one, because their start times differ.
  void add_fetching(GroupCursor cursor) {
    for (; !cursor.done(); cursor.next()) {
      CandidateMachine candidate = cursor.head();
      candidate.start_s += query_->fetch_backlog_s(candidate.machine) +
                           index_->machines_.at(candidate.machine.value).added_fetch_s;
      heads_.push({candidate, no_cursor, false});
    }
  }
  void add_forecast(const std::vector<CandidateMachine>& forecast, ZoneIndex only_zone) {
    const JobSpec& spec = *query_->spec;
    for (const CandidateMachine& candidate : forecast) {
      if ((only_zone.valid() && candidate.zone != only_zone) ||
          !is_allowed_on(spec, candidate.type, candidate.zone, candidate.spot))
        continue;
      if (fits(spec.task_resources, candidate.free_capacity)) heads_.push({candidate, no_cursor, true});
    }
  }
  void add_cursor(const GroupCursor& cursor) {
    cursors_.push_back(cursor);
    push_head(cursors_.size() - 1);
  }
  void push_head(std::size_t cursor) {
    if (!cursors_[cursor].done()) heads_.push({cursors_[cursor].head(), cursor, false});
  }
  const FreeCapacity* index_;
  const SelectionQuery* query_;
  std::vector<GroupCursor> cursors_;
  std::priority_queue<Head, std::vector<Head>, LessPreferred> heads_;
};

Selection FreeCapacity::fill(const SelectionQuery& query, const std::vector<TaskNumber>& tasks,
                             const std::vector<std::uint32_t>& tasks_per_zone, ZoneIndex only_zone,
                             const std::vector<CandidateMachine>& forecast) const {
  const JobSpec& spec = *query.spec;
  Selection out;
  auto placed = tasks_per_zone;
  std::uint32_t max_per_zone = spec.spread_zones ? (spec.tasks + 1) / 2 : spec.tasks;
  std::size_t next = 0;
  for (CandidateMerge merge(*this, query, only_zone, forecast); next < tasks.size() && !merge.done();) {
    CandidateMachine candidate = merge.pop();
    std::uint32_t& in_zone = placed[candidate.zone.value];
    std::size_t before = next;
    while (next < tasks.size() && fits(spec.task_resources, candidate.free_capacity) &&
           in_zone < max_per_zone) {
      out.assignments.push_back({tasks[next++], out.machines.size()});
      candidate.free_capacity -= spec.task_resources;
      ++in_zone;
    }
    if (next > before) out.machines.push_back(candidate);
  }
  return out;
}

Selection FreeCapacity::select(const SelectionQuery& query, const std::vector<TaskNumber>& tasks,
                               const std::vector<std::uint32_t>& tasks_per_zone,
                               const std::vector<CandidateMachine>& forecast) const {
  const JobSpec& spec = *query.spec;
  bool gang = spec.shape == JobShape::gang;
  if (tasks.empty()) return {};
  if (!spec.single_zone) {
    Selection all = fill(query, tasks, tasks_per_zone, spec.zone, forecast);
    return gang && all.assignments.size() < tasks.size() ? Selection{} : all;
  }
  Selection best;
  for (ZoneIndex zone : single_zones_to_try(tasks_per_zone)) {
    Selection tried = fill(query, tasks, tasks_per_zone, zone, forecast);
    if (is_better_zone({tried.assignments.size(), tried.last_start_s()},
                       {best.assignments.size(), best.last_start_s()}))
      best = std::move(tried);
  }
  return gang && best.assignments.size() < tasks.size() ? Selection{} : best;
}

bool FreeCapacity::has_message_limited_place(const JobSpec& spec) const {
  const Resources need = without_message_bytes(spec.task_resources);
  return std::any_of(message_limited_.begin(), message_limited_.end(), [&](MachineIndex machine) {
    const CandidateMachine& candidate = machines_.at(machine.value).capacity.candidate;
    return is_allowed_on(spec, candidate.type, candidate.zone, candidate.spot) &&
           fits(need, without_message_bytes(candidate.free_capacity));
  });
}

std::size_t FreeCapacity::count_packed_places(const SelectionQuery& query, std::size_t limit) const {
  const JobSpec& spec = *query.spec;
  std::size_t count = 0;
  for (const auto& [key, group] : groups_) {
    if (!is_offered(query, key) || !packs_with_others(spec, state_->catalog[key.type.value])) continue;
    CandidateMachine prototype;
    for (GroupCursor cursor(*this, spec, group.all, prototype, false); !cursor.done() && count <= limit;
         cursor.next())
      count += static_cast<std::size_t>(how_many_fit(spec.task_resources, cursor.head().free_capacity));
  }
  return count;
}

}  // namespace oxbowmill
