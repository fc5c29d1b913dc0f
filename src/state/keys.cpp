#include "oxbowmill/state/keys.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace oxbowmill::state {

using wire::Json;

namespace {

std::string to_hex(std::uint64_t v) {
  char buf[20];
  std::snprintf(buf, sizeof buf, "%llx", static_cast<unsigned long long>(v));
  return buf;
}
std::uint64_t from_hex(const Json& json) {
  return json.is_string() ? std::strtoull(json.get_ref<const std::string&>().c_str(), nullptr, 16) : 0;
}

std::optional<JobPhase> phase_of(const std::string& text) {
  for (JobPhase p : {JobPhase::open, JobPhase::done, JobPhase::cancelled}) {
    if (text == name_of(p)) return p;
  }
  return std::nullopt;
}

std::string read_string(const Json& json, const char* key) {
  auto it = json.find(key);
  return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

double read_number(const Json& json, const char* key) {
  auto it = json.find(key);
  return it != json.end() && it->is_number() ? it->get<double>() : 0;
}

/// Numbers by part; nothing where a part or a number cannot be read: money must not be left out silently.
template <class N>
bool read_by_partition(const Json& value, const char* key, const Names& names,
                       std::map<PartitionIndex, N>& out) {
  auto it = value.find(key);
  if (it == value.end() || !it->is_object()) return false;
  for (const auto& [name, value_json] : it->items()) {
    PartitionIndex partition = names.partitions.find(name);
    if (!value_json.is_number()) return false;
    // A team that is no longer in the settings: its money is the pool's from now on.
    out[partition.valid() ? partition : idle_pool] += value_json.template get<N>();
  }
  return true;
}

bool read_numbers(const Json& value, const char* key, std::initializer_list<double*> out) {
  auto it = value.find(key);
  if (it == value.end() || !it->is_array() || it->size() != out.size()) return false;
  std::size_t i = 0;
  for (double* d : out) {
    const Json& n = (*it)[i++];
    if (!n.is_number()) return false;
    *d = n.get<double>();
  }
  return true;
}

std::optional<Change> decode_accounting(char kind, const std::string& rest, const Json* value,
                                        ClusterState& model) {
  Change change;
  if (kind == 'b') {
    change.key = BidKey{rest};
    if (value == nullptr) return change;
    BidRecord bid_record;
    std::string market = read_string(*value, "market");
    bid_record.type = model.intern_type(read_string(*value, "type"));
    bid_record.zone = model.names.zones.find(read_string(*value, "zone"));
    bid_record.spot = value->value("spot", false);
    bid_record.price_limit = static_cast<MoneyAmount>(read_number(*value, "limit"));
    bid_record.max_paid_s = read_number(*value, "term");
    bid_record.send_before = read_number(*value, "by");
    bid_record.delivery_s = read_number(*value, "in");
    if (market.empty() || !bid_record.zone.valid() || bid_record.price_limit <= 0 ||
        bid_record.max_paid_s <= 0 || !read_by_partition(*value, "n", model.names, bid_record.machines)) {
      return std::nullopt;
    }
    bid_record.market = model.names.markets.intern(market);
    change.value = std::move(bid_record);
  } else if (kind == 'l') {
    change.key = LedgerKey{};
    if (value == nullptr) return change;
    LedgerRecord r;
    r.window = static_cast<std::int64_t>(read_number(*value, "w"));
    if (!read_by_partition(*value, "spent", model.names, r.spent)) return std::nullopt;
    change.value = std::move(r);
  } else {
    change.key = MarketKey{model.names.markets.intern(rest)};
    if (value == nullptr) return change;
    MarketRecord record;
    Evidence& evidence = record.evidence;
    record.reason = read_string(*value, "shut");
    record.suspended = value->contains("shut");
    if (!read_numbers(*value, "kept", {&evidence.delivered, &evidence.undelivered}) ||
        !read_numbers(*value, "delay", {&evidence.delay_weight, &evidence.delay_mean, &evidence.delay_m2}) ||
        !read_numbers(*value, "drift", {&evidence.drift_weight, &evidence.drift_mean, &evidence.drift_m2})) {
      return std::nullopt;
    }
    change.value = std::move(record);
  }
  return change;
}

std::uint64_t read_integer(const Json& json, const char* key) {
  auto it = json.find(key);
  return it != json.end() && it->is_number_integer() ? it->get<std::uint64_t>() : 0;
}

std::optional<Change> decode_decision(const std::string& name, const Json* value) {
  Change change;
  change.key = DecisionKey{name};
  if (value == nullptr) return change;
  DecisionRecord record;
  record.state = read_string(*value, "s");
  record.sequence = read_integer(*value, "n");
  record.version = read_integer(*value, "v");
  record.epoch = read_integer(*value, "e");
  record.changed_at = read_number(*value, "at");
  record.reason = read_string(*value, "why");
  if (record.state.empty() || record.sequence == 0) return std::nullopt;
  auto counts = value->find("c"), notes = value->find("t");
  if (counts != value->end() && counts->is_object()) {
    for (const auto& [k, n] : counts->items()) {
      if (n.is_number_integer()) record.counts[k] = n.get<std::uint64_t>();
    }
  }
  if (notes != value->end() && notes->is_object()) {
    for (const auto& [k, t] : notes->items()) {
      if (t.is_string()) record.notes[k] = t.get<std::string>();
    }
  }
  change.value = std::move(record);
  return change;
}

}  // namespace

std::string job_key(const std::string& ref) {
  return "o/j/" + ref;
}
std::string final_key(const std::string& ref) {
  return "f/" + ref;
}

std::string encode_key(const Key& key, ClusterState& model) {
  struct Visitor {
    ClusterState& cluster_state;
    std::string operator()(const JobKey& k) { return job_key(cluster_state.job(k.job).spec.ref); }
    std::string operator()(const ChunkKey& k) {
      return "o/c/" + cluster_state.job(k.job).spec.ref + "/" + std::to_string(k.chunk);
    }
    std::string operator()(const MachineKey& k) const {
      return "o/m/" + cluster_state.names.machines.name(k.machine);
    }
    std::string operator()(const OwnershipKey& k) const {
      return "o/p/" + cluster_state.names.partitions.name(k.partition);
    }
    std::string operator()(const ControllerKey& k) { return "o/n/" + k.controller; }
    std::string operator()(const FinalPhaseKey& k) { return final_key(cluster_state.job(k.job).spec.ref); }
    std::string operator()(const BidKey& k) { return "o/b/" + k.name; }
    std::string operator()(const LedgerKey&) { return "o/l/ledger"; }
    std::string operator()(const MarketKey& k) const {
      return "o/q/" + cluster_state.names.markets.name(k.market);
    }
    std::string operator()(const DecisionKey& k) { return "o/d/" + k.name; }
  };
  return std::visit(Visitor{model}, key);
}

std::optional<JobPhase> read_phase(const Json& value) {
  return value.is_object() ? phase_of(read_string(value, "p")) : std::nullopt;
}

Json with_phase(Json value, JobPhase phase) {
  value["p"] = name_of(phase);
  return value;
}

Json job_value(const JobSpec& spec, JobPhase phase, const Names& names) {
  return {{"s", wire::write_submission(spec, names)}, {"p", name_of(phase)}, {"at", spec.submitted_at}};
}

Json encode_value(const Change& change, ClusterState& model) {
  struct Visitor {
    ClusterState& cluster_state;
    Json operator()(std::monostate) { return {}; }
    Json operator()(const JobRecord& r) const { return job_value(r.spec, r.phase, cluster_state.names); }
    Json operator()(const ChunkRecord& record) const {
      Json placed = Json::array();
      for (const PlacedTask& t : record.placements) {
        Json one = Json::array(
            {t.task, cluster_state.names.machines.name(t.machine), t.attempt, t.restarting ? 1 : 0});
        if (t.placed_after_s >= 0) one.push_back(static_cast<std::int64_t>(t.placed_after_s));
        placed.push_back(std::move(one));
      }
      Json json = {{"d", to_hex(record.done)}, {"r", to_hex(record.restarted)}, {"a", placed}};
      // Optional, rounded so that neither bound gets better than it was.
      for (const auto& [t, s] : record.checkpoints)
        json["s"].push_back({t, std::floor(s.low), std::floor(s.likely), std::ceil(s.high)});
      for (const checkpoint::FinishedTask& f : record.finishes)
        json["t"].push_back({f.task, std::round(10 * f.run_s) / 10, std::floor(f.finished_at_s)});
      // A hint must not cost a placement its record.
      constexpr std::size_t surely_fits = 24;
      if (record.placements.size() + record.checkpoints.size() + record.finishes.size() > surely_fits) {
        for (const char* hint : {"t", "s"}) {
          if (static_cast<double>(json.dump().size()) > cluster_state.settings.max_value_kb * 1024)
            json.erase(hint);
        }
      }
      return json;
    }
    Json operator()(const MachineRecord& record) const {
      Json json = {{"part", cluster_state.names.partitions.name(record.partition)},
                   {"type", cluster_state.names.types.name(record.type)},
                   {"zone", cluster_state.names.zones.name(record.zone)},
                   {"spot", record.spot},
                   {"del", record.mark == MachineMark::deleting}};
      if (record.has_booted) json["up"] = true;
      if (record.requested_by.valid()) json["for"] = cluster_state.names.partitions.name(record.requested_by);
      if (record.market.valid()) {
        json["market"] = cluster_state.names.markets.name(record.market);
        json["bid"] = record.bid;
      }
      return json;
    }
    Json operator()(const OwnershipRecord& r) { return {{"node", r.controller}, {"hold", r.lease_id}}; }
    Json operator()(JobPhase p) { return {{"p", name_of(p)}}; }
    Json operator()(const BidRecord& record) const {
      Json machines = Json::object();
      for (const auto& [partition, n] : record.machines)
        machines[cluster_state.names.partitions.name(partition)] = n;
      return {{"market", cluster_state.names.markets.name(record.market)},
              {"type", cluster_state.names.types.name(record.type)},
              {"zone", cluster_state.names.zones.name(record.zone)},
              {"spot", record.spot},
              {"limit", record.price_limit},
              {"term", record.max_paid_s},
              {"by", record.send_before},
              {"in", record.delivery_s},
              {"n", machines}};
    }
    Json operator()(const LedgerRecord& r) const {
      Json spent = Json::object();
      for (const auto& [partition, amount] : r.spent)
        spent[cluster_state.names.partitions.name(partition)] = amount;
      return {{"w", r.window}, {"spent", spent}};
    }
    Json operator()(const MarketRecord& record) {
      const Evidence& e = record.evidence;
      Json json = {{"kept", {e.delivered, e.undelivered}},
                   {"delay", {e.delay_weight, e.delay_mean, e.delay_m2}},
                   {"drift", {e.drift_weight, e.drift_mean, e.drift_m2}}};
      if (record.suspended) json["shut"] = record.reason;
      return json;
    }
    Json operator()(const DecisionRecord& record) {
      Json json = {{"s", record.state}, {"n", record.sequence}, {"at", record.changed_at}};
      if (record.version != 0) json["v"] = record.version;
      if (record.epoch != 0) json["e"] = record.epoch;
      if (!record.reason.empty()) json["why"] = record.reason;
      if (!record.counts.empty()) json["c"] = record.counts;
      if (!record.notes.empty()) json["t"] = record.notes;
      return json;
    }
  };
  return std::visit(Visitor{model}, change.value);
}

std::optional<Change> decode(const std::string& key, const Json* value, ClusterState& model) {
  if (key.size() < 5 || key.compare(0, 2, live_prefix) != 0 || key[3] != '/') return std::nullopt;
  if (value != nullptr && !value->is_object()) return std::nullopt;
  std::string rest = key.substr(4);
  Change change;
  switch (key[2]) {
    case 'j': {
      if (value == nullptr) {
        JobIndex j = model.find_job(rest);
        if (!j.valid()) return std::nullopt;
        change.key = JobKey{j};
        return change;
      }
      auto submission = value->find("s");
      auto accepted_at = value->find("at");
      auto phase = read_phase(*value);
      JobRecord record;
      if (submission == value->end() || !submission->is_object() || !phase || accepted_at == value->end() ||
          !accepted_at->is_number()) {
        return std::nullopt;
      }
      // A record made under another catalog must still be read.
      if (submission->count("rigs") != 0 && (*submission)["rigs"].is_array()) {
        for (const Json& r : (*submission)["rigs"]) {
          if (r.is_string()) model.intern_type(r.get<std::string>());
        }
      }
      if (wire::read_submission(*submission, model.names, record.spec)) return std::nullopt;
      record.spec.submitted_at = accepted_at->get<double>();
      record.phase = *phase;
      change.key = JobKey{model.intern_job(rest)};
      change.value = std::move(record);
      return change;
    }
    case 'c': {
      std::size_t slash = rest.rfind('/');
      if (slash == std::string::npos) return std::nullopt;
      auto chunk = static_cast<std::uint32_t>(std::strtoul(rest.c_str() + slash + 1, nullptr, 10));
      std::string ref = rest.substr(0, slash);
      if (value == nullptr) {
        JobIndex j = model.find_job(ref);
        if (!j.valid()) return std::nullopt;
        change.key = ChunkKey{j, chunk};
        return change;
      }
      ChunkRecord record;
      if (value->count("d") != 0) record.done = from_hex((*value)["d"]);
      if (value->count("r") != 0) record.restarted = from_hex((*value)["r"]);
      auto placed = value->find("a");
      if (placed == value->end() || !placed->is_array()) return std::nullopt;
      for (const Json& entry : *placed) {
        if (!entry.is_array() || entry.size() < 4 || !entry[0].is_number() || !entry[1].is_string() ||
            !entry[2].is_number() || !entry[3].is_number()) {
          return std::nullopt;
        }
        record.placements.push_back({entry[0].get<TaskNumber>(),
                                     model.intern_machine(entry[1].get<std::string>()),
                                     entry[2].get<Attempt>(), entry[3].get<int>() != 0,
                                     entry.size() > 4 && entry[4].is_number() ? entry[4].get<double>() : -1});
      }
      auto rows = [&value](const char* key, std::size_t size, auto&& take) {
        auto list = value->find(key);
        if (list == value->end() || !list->is_array()) return;
        for (const Json& x : *list) {
          bool numbers = x.is_array() && x.size() >= size &&
                         std::all_of(x.begin(), x.end(),
                                     [](const Json& watch_event) { return watch_event.is_number(); });
          if (numbers) take(x);
        }
      };
      rows("s", 4, [&record](const Json& x) {
        record.checkpoints[x[0].get<TaskNumber>()] = {x[1].get<double>(), x[2].get<double>(),
                                                      x[3].get<double>()};
      });
      rows("t", 3, [&record](const Json& x) {
        record.finishes.push_back({x[0].get<TaskNumber>(), x[1].get<double>(), x[2].get<double>()});
      });
      change.key = ChunkKey{model.intern_job(ref), chunk};
      change.value = std::move(record);
      return change;
    }
    case 'm': {
      change.key = MachineKey{model.intern_machine(rest)};
      if (value == nullptr) return change;
      MachineRecord record;
      record.partition = model.names.partitions.find(read_string(*value, "part"));
      record.type = model.intern_type(read_string(*value, "type"));
      record.zone = model.names.zones.find(read_string(*value, "zone"));
      record.requested_by = model.names.partitions.find(read_string(*value, "for"));
      record.spot = value->value("spot", false);
      record.has_booted = value->value("up", false);
      record.mark = value->value("del", false) ? MachineMark::deleting : MachineMark::none;
      if (std::string market = read_string(*value, "market"); !market.empty()) {
        record.market = model.names.markets.intern(market);
        record.bid = read_string(*value, "bid");
      }
      if (!record.partition.valid() || !record.zone.valid()) return std::nullopt;
      change.value = record;
      return change;
    }
    case 'b':
    case 'l':
    case 'q':
      return decode_accounting(key[2], rest, value, model);
    case 'd':
      return decode_decision(rest, value);
    case 'p': {
      PartitionIndex p = model.names.partitions.find(rest);
      if (!p.valid()) return std::nullopt;
      change.key = OwnershipKey{p};
      break;
    }
    case 'n':
      change.key = ControllerKey{rest};
      break;
    default:
      return std::nullopt;
  }
  if (value != nullptr) {
    OwnershipRecord rec{read_string(*value, "node"), 0};
    auto lease_id = value->find("hold");
    if (lease_id != value->end() && lease_id->is_number()) rec.lease_id = lease_id->get<std::uint64_t>();
    change.value = rec;
  }
  return change;
}

}  // namespace oxbowmill::state
