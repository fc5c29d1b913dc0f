#include "oxbowmill/core/free_capacity.h"

#include <algorithm>
#include <queue>

namespace oxbowmill {

bool operator==(const MachineCapacity& a, const MachineCapacity& b) {
  auto same = [](const Amounts& x, const Amounts& y) {
    return x.cpus == y.cpus && x.gpus == y.gpus && x.memory_gb == y.memory_gb;
  };
  return same(a.node.room, b.node.room) && same(a.leaving, b.leaving) && a.node.type == b.node.type &&
         a.node.zone == b.node.zone && a.node.spot == b.node.spot && a.node.lasting == b.node.lasting &&
         a.booting == b.booting && a.up_at == b.up_at && a.fetching == b.fetching &&
         a.preemptible == b.preemptible && a.lowest_rank == b.lowest_rank && a.images == b.images;
}

Seconds Selection::last_start_s() const {
  Seconds last = 0;
  for (const Choice& c : choices) last = std::max(last, nodes[c.node].start_s);
  return last;
}

FreeCapacity::GroupKey FreeCapacity::group_of(const Entry& entry) const {
  const CandidateNode& node = entry.capacity.node;
  bool fetching = entry.capacity.fetching || entry.added_fetch_s > 0;
  return {node.type, node.zone, node.spot, node.lasting, is_whole(node, model_->catalog[node.type.v]),
          fetching};
}

FreeCapacity::RoomKey FreeCapacity::room_of(const Entry& entry, MachineIndex machine) {
  return {entry.capacity.node.room.gpus, entry.capacity.node.room.cpus, machine};
}

void FreeCapacity::insert(MachineIndex machine, const Entry& entry) {
  const MachineCapacity& capacity = entry.capacity;
  if (capacity.booting) {
    booting_.insert(machine);
    return;
  }
  Group& group = groups_[group_of(entry)];
  RoomKey room = room_of(entry, machine);
  group.all.insert(room);
  for (ImageIndex image : capacity.images) group.by_image[image.v].insert(room);
  const Amounts& leaving = capacity.leaving;
  if (leaving.cpus != 0 || leaving.gpus != 0 || leaving.memory_gb != 0) with_leaving_.insert(machine);
  if (capacity.preemptible) preemptible_.insert(machine);
}

void FreeCapacity::erase(MachineIndex machine, const Entry& entry) {
  if (entry.capacity.booting) {
    booting_.erase(machine);
    return;
  }
  auto group = groups_.find(group_of(entry));
  RoomKey room = room_of(entry, machine);
  group->second.all.erase(room);
  for (ImageIndex image : entry.capacity.images) {
    auto with_image = group->second.by_image.find(image.v);
    with_image->second.erase(room);
    if (with_image->second.empty()) group->second.by_image.erase(with_image);
  }
  if (group->second.all.empty()) groups_.erase(group);
  with_leaving_.erase(machine);
  preemptible_.erase(machine);
}

bool FreeCapacity::update(MachineIndex machine, std::optional<MachineCapacity> capacity) {
  auto it = machines_.find(machine.v);
  if (it == machines_.end()) {
    if (!capacity) return false;
    insert(machine, machines_[machine.v] = Entry{std::move(*capacity), 0});
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
  auto it = machines_.find(machine.v);
  return it == machines_.end() ? nullptr : &it->second.capacity;
}

void FreeCapacity::clear() {
  machines_.clear();
  groups_.clear();
  for (auto* set : {&with_leaving_, &booting_, &preemptible_, &provisional_}) set->clear();
}

template <class Change>
void FreeCapacity::change(MachineIndex machine, Change change) {
  Entry& entry = machines_.at(machine.v);
  erase(machine, entry);
  change(entry);
  insert(machine, entry);
  provisional_.insert(machine);
}

void FreeCapacity::take(MachineIndex machine, const Amounts& need) {
  change(machine, [&need](Entry& entry) { entry.capacity.node.room -= need; });
}

void FreeCapacity::take_leaving(MachineIndex machine, const Amounts& need) {
  change(machine, [&need](Entry& entry) { entry.capacity.leaving -= need; });
}

void FreeCapacity::add_fetch(MachineIndex machine, Seconds seconds) {
  change(machine, [seconds](Entry& entry) { entry.added_fetch_s += seconds; });
}

void FreeCapacity::host_service(MachineIndex machine) {
  change(machine, [](Entry& entry) { entry.capacity.node.lasting = true; });
}

std::vector<MachineIndex> FreeCapacity::take_provisional() {
  std::vector<MachineIndex> out(provisional_.begin(), provisional_.end());
  provisional_.clear();
  return out;
}

bool FreeCapacity::is_offered(const SelectionQuery& query, const GroupKey& key) const {
  const JobSpec& spec = *query.spec;
  if (!allowed_on(spec, key.type, key.zone, key.spot)) return false;
  if (key.zone.v < query.unreachable.size() && query.unreachable[key.zone.v]) return false;
  bool spared =
      query.spare_whole && !key.spot && key.whole && fills_cheaply(spec, model_->catalog[key.type.v]);
  return !spared;
}

/// Machines of one group on which a task fits, best first: all of them start it at the same time and spoil
/// the same, so the least room decides.
class FreeCapacity::Stream {
 public:
  Stream(const FreeCapacity& index, const JobSpec& spec, const RoomOrder& order, CandidateNode like,
         bool without_image)
      : index_(&index), spec_(&spec), order_(&order), like_(like), without_image_(without_image) {
    at_ = order.lower_bound({spec.need.gpus - amount_slack, spec.need.cpus - amount_slack, MachineIndex{0}});
    skip_unfit();
  }
  bool done() const { return at_ == order_->end(); }
  /// The machine as the job sees it.
  CandidateNode head() const {
    CandidateNode node = index_->machines_.at(at_->machine.v).capacity.node;
    node.start_s = like_.start_s;
    node.spoils_s = like_.spoils_s;
    return node;
  }
  void next() {
    ++at_;
    skip_unfit();
  }

 private:
  void skip_unfit() {
    while (!done()) {
      // Machines with these GPUs and too few CPUs are passed over as one.
      if (at_->cpus < spec_->need.cpus - amount_slack) {
        at_ = order_->lower_bound({at_->gpus, spec_->need.cpus - amount_slack, MachineIndex{0}});
        continue;
      }
      ++index_->visits_;
      const MachineCapacity& capacity = index_->machines_.at(at_->machine.v).capacity;
      bool imaged = without_image_ && std::find(capacity.images.begin(), capacity.images.end(),
                                                spec_->image) != capacity.images.end();
      if (!imaged && fits(spec_->need, capacity.node.room)) return;
      ++at_;
    }
  }
  const FreeCapacity* index_;
  const JobSpec* spec_;
  const RoomOrder* order_;
  CandidateNode like_;
  bool without_image_;
  RoomOrder::const_iterator at_;
};

/// All that is offered to a job, best first.
class FreeCapacity::Merge {
 public:
  Merge(const FreeCapacity& index, const SelectionQuery& query, ZoneIndex only,
        const std::vector<CandidateNode>& forecast)
      : index_(&index), query_(&query) {
    for (const auto& [key, group] : index.groups_) {
      if ((only.valid() && key.zone != only) || !index.is_offered(query, key)) continue;
      add_group(key, group);
    }
    add_forecast(forecast, only);
  }
  bool done() const { return heads_.empty(); }
  CandidateNode pop() {
    Head head = heads_.top();
    heads_.pop();
    if (head.stream < streams_.size()) {
      streams_[head.stream].next();
      push_head(head.stream);
    }
    return head.node;
  }

 private:
  static constexpr std::size_t no_stream = std::numeric_limits<std::size_t>::max();
  struct Head {
    CandidateNode node;
    std::size_t stream = no_stream;
    bool forecast = false;
  };
  struct Later {
    bool operator()(const Head& a, const Head& b) const { return is_better(b, a); }
  };
  /// The order of preference: soonest start with what it spoils, then what it costs, spot, least room.
  static bool is_better(const Head& x, const Head& y) {
    auto key = [](const Head& h) {
      const CandidateNode& n = h.node;
      return std::make_tuple(n.start_s + n.spoils_s, n.cost, !n.spot, n.room.gpus, n.room.cpus, h.forecast,
                             n.machine);
    };
    return key(x) < key(y);
  }
  void add_group(const GroupKey& key, const Group& group) {
    const JobSpec& spec = *query_->spec;
    const MachineType& type = index_->model_->catalog[key.type.v];
    CandidateNode like;
    like.type = key.type;
    like.zone = key.zone;
    like.spot = key.spot;
    like.lasting = key.lasting;
    like.room = key.whole ? type.room : Amounts{};
    like.spoils_s = spoils(spec, type, like);
    auto with_image = group.by_image.find(spec.image.v);
    bool imaged = with_image != group.by_image.end();
    if (imaged) add_stream({*index_, spec, with_image->second, like, false});
    like.start_s = fetch_time(spec, type);
    Stream rest(*index_, spec, group.all, like, imaged);
    if (query_->pressed && key.fetching) {
      add_fetching(rest);
    } else {
      add_stream(rest);
    }
  }
  /// The fetches under way differ from machine to machine, so these are ordered one by one.
  void add_fetching(Stream stream) {
    for (; !stream.done(); stream.next()) {
      CandidateNode node = stream.head();
      node.start_s +=
          query_->fetch_backlog_s(node.machine) + index_->machines_.at(node.machine.v).added_fetch_s;
      heads_.push({node, no_stream, false});
    }
  }
  void add_forecast(const std::vector<CandidateNode>& forecast, ZoneIndex only) {
    const JobSpec& spec = *query_->spec;
    for (const CandidateNode& node : forecast) {
      if ((only.valid() && node.zone != only) || !allowed_on(spec, node.type, node.zone, node.spot)) continue;
      if (fits(spec.need, node.room)) heads_.push({node, no_stream, true});
    }
  }
  void add_stream(const Stream& stream) {
    streams_.push_back(stream);
    push_head(streams_.size() - 1);
  }
  void push_head(std::size_t stream) {
    if (!streams_[stream].done()) heads_.push({streams_[stream].head(), stream, false});
  }
  const FreeCapacity* index_;
  const SelectionQuery* query_;
  std::vector<Stream> streams_;
  std::priority_queue<Head, std::vector<Head>, Later> heads_;
};

Selection FreeCapacity::fill(const SelectionQuery& query, const std::vector<TaskNo>& tasks,
                             const std::vector<std::uint32_t>& by_zone, ZoneIndex only,
                             const std::vector<CandidateNode>& forecast) const {
  const JobSpec& spec = *query.spec;
  Selection out;
  auto placed = by_zone;
  std::uint32_t zone_most = spec.scatter ? (spec.tasks + 1) / 2 : spec.tasks;
  std::size_t next = 0;
  for (Merge merge(*this, query, only, forecast); next < tasks.size() && !merge.done();) {
    CandidateNode node = merge.pop();
    std::uint32_t& in_zone = placed[node.zone.v];
    std::size_t before = next;
    while (next < tasks.size() && fits(spec.need, node.room) && in_zone < zone_most) {
      out.choices.push_back({tasks[next++], out.nodes.size()});
      node.room -= spec.need;
      ++in_zone;
    }
    if (next > before) out.nodes.push_back(node);
  }
  return out;
}

Selection FreeCapacity::select(const SelectionQuery& query, const std::vector<TaskNo>& tasks,
                               const std::vector<std::uint32_t>& by_zone,
                               const std::vector<CandidateNode>& forecast) const {
  const JobSpec& spec = *query.spec;
  bool gang = spec.shape == Shape::gang;
  if (tasks.empty()) return {};
  if (!spec.one_zone) {
    Selection all = fill(query, tasks, by_zone, spec.zone, forecast);
    return gang && all.choices.size() < tasks.size() ? Selection{} : all;
  }
  // One zone for all: where some tasks are already, else the zone that takes most and where they start
  // soonest.
  ZoneIndex fixed;
  for (std::uint32_t z = 0; z < by_zone.size(); ++z) {
    if (by_zone[z] == 0) continue;
    if (fixed.valid()) return {};  // two zones still hold old attempts: wait
    fixed = ZoneIndex{z};
  }
  Selection best;
  for (std::uint32_t z = 0; z < by_zone.size(); ++z) {
    if (fixed.valid() && fixed.v != z) continue;
    Selection tried = fill(query, tasks, by_zone, ZoneIndex{z}, forecast);
    bool more = tried.choices.size() > best.choices.size();
    bool sooner = tried.choices.size() == best.choices.size() && tried.last_start_s() < best.last_start_s();
    if (more || sooner) best = std::move(tried);
  }
  return gang && best.choices.size() < tasks.size() ? Selection{} : best;
}

std::size_t FreeCapacity::count_cheap_places(const SelectionQuery& query, std::size_t most) const {
  const JobSpec& spec = *query.spec;
  std::size_t count = 0;
  for (const auto& [key, group] : groups_) {
    if (!is_offered(query, key) || !fills_cheaply(spec, model_->catalog[key.type.v])) continue;
    CandidateNode like;
    for (Stream stream(*this, spec, group.all, like, false); !stream.done() && count <= most; stream.next())
      count += static_cast<std::size_t>(how_many_fit(spec.need, stream.head().room));
  }
  return count;
}

}  // namespace oxbowmill
