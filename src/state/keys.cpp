#include "oxbowmill/state/keys.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace oxbowmill::state {

using wire::Json;

namespace {

std::string hex(std::uint64_t v) {
  char buf[20];
  std::snprintf(buf, sizeof buf, "%llx", static_cast<unsigned long long>(v));
  return buf;
}
std::uint64_t unhex(const Json& j) {
  return j.is_string() ? std::strtoull(j.get_ref<const std::string&>().c_str(), nullptr, 16) : 0;
}

std::optional<JobPhase> phase_of(const std::string& s) {
  for (JobPhase p : {JobPhase::open, JobPhase::done, JobPhase::cancelled}) {
    if (s == name_of(p)) return p;
  }
  return std::nullopt;
}

std::string text(const Json& j, const char* key) {
  auto it = j.find(key);
  return it != j.end() && it->is_string() ? it->get<std::string>() : std::string();
}

double number(const Json& j, const char* key) {
  auto it = j.find(key);
  return it != j.end() && it->is_number() ? it->get<double>() : 0;
}

/// Numbers by part; nothing where a part or a number cannot be read: money must not be left out silently.
template <class N>
bool by_part(const Json& value, const char* key, const Names& names, std::map<PartIndex, N>& out) {
  auto it = value.find(key);
  if (it == value.end() || !it->is_object()) return false;
  for (const auto& [name, n] : it->items()) {
    PartIndex part = names.parts.find(name);
    if (!n.is_number()) return false;
    // A team that is no longer in the settings: its money is the pool's from now on.
    out[part.valid() ? part : pool_part] += n.template get<N>();
  }
  return true;
}

bool numbers(const Json& value, const char* key, std::initializer_list<double*> out) {
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

std::optional<Change> decode_money(char kind, const std::string& rest, const Json* value, Model& model) {
  Change c;
  if (kind == 'b') {
    c.key = BidKey{rest};
    if (value == nullptr) return c;
    BidRecord r;
    std::string market = text(*value, "market");
    r.type = model.intern_type(text(*value, "type"));
    r.zone = model.names.zones.find(text(*value, "zone"));
    r.spot = value->value("spot", false);
    r.limit = static_cast<Money>(number(*value, "limit"));
    r.term_s = number(*value, "term");
    r.sent_by = number(*value, "by");
    r.deliver_s = number(*value, "in");
    if (market.empty() || !r.zone.valid() || r.limit <= 0 || r.term_s <= 0 ||
        !by_part(*value, "n", model.names, r.machines)) {
      return std::nullopt;
    }
    r.market = model.names.markets.intern(market);
    c.value = std::move(r);
  } else if (kind == 'l') {
    c.key = LedgerKey{};
    if (value == nullptr) return c;
    LedgerRecord r;
    r.window = static_cast<std::int64_t>(number(*value, "w"));
    if (!by_part(*value, "spent", model.names, r.spent)) return std::nullopt;
    c.value = std::move(r);
  } else {
    c.key = MarketKey{model.names.markets.intern(rest)};
    if (value == nullptr) return c;
    MarketRecord r;
    Evidence& e = r.evidence;
    r.why = text(*value, "shut");
    r.shut = value->contains("shut");
    if (!numbers(*value, "kept", {&e.kept, &e.broken}) ||
        !numbers(*value, "delay", {&e.delay_n, &e.delay_mean, &e.delay_m2}) ||
        !numbers(*value, "drift", {&e.drift_n, &e.drift_mean, &e.drift_m2})) {
      return std::nullopt;
    }
    c.value = std::move(r);
  }
  return c;
}

std::uint64_t whole(const Json& j, const char* key) {
  auto it = j.find(key);
  return it != j.end() && it->is_number_integer() ? it->get<std::uint64_t>() : 0;
}

std::optional<Change> decode_agreed(const std::string& name, const Json* value) {
  Change c;
  c.key = AgreedKey{name};
  if (value == nullptr) return c;
  AgreedRecord r;
  r.state = text(*value, "s");
  r.serial = whole(*value, "n");
  r.version = whole(*value, "v");
  r.epoch = whole(*value, "e");
  r.at = number(*value, "at");
  r.why = text(*value, "why");
  if (r.state.empty() || r.serial == 0) return std::nullopt;
  auto counts = value->find("c"), notes = value->find("t");
  if (counts != value->end() && counts->is_object()) {
    for (const auto& [k, n] : counts->items()) {
      if (n.is_number_integer()) r.counts[k] = n.get<std::uint64_t>();
    }
  }
  if (notes != value->end() && notes->is_object()) {
    for (const auto& [k, t] : notes->items()) {
      if (t.is_string()) r.notes[k] = t.get<std::string>();
    }
  }
  c.value = std::move(r);
  return c;
}

}  // namespace

std::string job_key(const std::string& ref) {
  return "o/j/" + ref;
}
std::string final_key(const std::string& ref) {
  return "f/" + ref;
}

std::string encode_key(const Key& key, Model& model) {
  struct Visitor {
    Model& m;
    std::string operator()(const JobKey& k) { return job_key(m.job(k.job).spec.ref); }
    std::string operator()(const ChunkKey& k) {
      return "o/c/" + m.job(k.job).spec.ref + "/" + std::to_string(k.chunk);
    }
    std::string operator()(const MachineKey& k) const { return "o/m/" + m.names.machines.name(k.machine); }
    std::string operator()(const ClaimKey& k) const { return "o/p/" + m.names.parts.name(k.part); }
    std::string operator()(const NodeKey& k) { return "o/n/" + k.node; }
    std::string operator()(const FinalKey& k) { return final_key(m.job(k.job).spec.ref); }
    std::string operator()(const BidKey& k) { return "o/b/" + k.name; }
    std::string operator()(const LedgerKey&) { return "o/l/ledger"; }
    std::string operator()(const MarketKey& k) const { return "o/q/" + m.names.markets.name(k.market); }
    std::string operator()(const AgreedKey& k) { return "o/d/" + k.name; }
  };
  return std::visit(Visitor{model}, key);
}

std::optional<JobPhase> read_phase(const Json& value) {
  return value.is_object() ? phase_of(text(value, "p")) : std::nullopt;
}

Json with_phase(Json value, JobPhase phase) {
  value["p"] = name_of(phase);
  return value;
}

Json job_value(const JobSpec& spec, JobPhase phase, const Names& names) {
  return {{"s", wire::write_submission(spec, names)}, {"p", name_of(phase)}, {"at", spec.submitted_at}};
}

Json encode_value(const Change& change, Model& model) {
  struct Visitor {
    Model& m;
    Json operator()(std::monostate) { return {}; }
    Json operator()(const JobRecord& r) const { return job_value(r.spec, r.phase, m.names); }
    Json operator()(const ChunkRecord& r) const {
      Json placed = Json::array();
      for (const PlacedTask& t : r.placed) {
        Json one = Json::array({t.task, m.names.machines.name(t.machine), t.attempt, t.restarting ? 1 : 0});
        if (t.at_s >= 0) one.push_back(static_cast<std::int64_t>(t.at_s));
        placed.push_back(std::move(one));
      }
      Json j = {{"d", hex(r.done)}, {"r", hex(r.restarted)}, {"a", placed}};
      // Optional, rounded so that neither bound gets better than it was.
      for (const auto& [t, s] : r.saved)
        j["s"].push_back({t, std::floor(s.low), std::floor(s.likely), std::ceil(s.high)});
      for (const progress::Finish& f : r.finishes)
        j["t"].push_back({f.task, std::round(10 * f.run_s) / 10, std::floor(f.at_s)});
      // A hint must not cost a placement its record.
      constexpr std::size_t surely_fits = 24;
      if (r.placed.size() + r.saved.size() + r.finishes.size() > surely_fits) {
        for (const char* hint : {"t", "s"}) {
          if (static_cast<double>(j.dump().size()) > m.settings.value_kb * 1024) j.erase(hint);
        }
      }
      return j;
    }
    Json operator()(const MachineRecord& r) const {
      Json j = {{"part", m.names.parts.name(r.part)},
                {"type", m.names.types.name(r.type)},
                {"zone", m.names.zones.name(r.zone)},
                {"spot", r.spot},
                {"del", r.mark == MachineMark::deleting}};
      if (r.up) j["up"] = true;
      if (r.wanted_by.valid()) j["for"] = m.names.parts.name(r.wanted_by);
      if (r.market.valid()) {
        j["market"] = m.names.markets.name(r.market);
        j["bid"] = r.bid;
      }
      return j;
    }
    Json operator()(const ClaimRecord& r) { return {{"node", r.node}, {"hold", r.hold}}; }
    Json operator()(JobPhase p) { return {{"p", name_of(p)}}; }
    Json operator()(const BidRecord& r) const {
      Json machines = Json::object();
      for (const auto& [part, n] : r.machines) machines[m.names.parts.name(part)] = n;
      return {{"market", m.names.markets.name(r.market)},
              {"type", m.names.types.name(r.type)},
              {"zone", m.names.zones.name(r.zone)},
              {"spot", r.spot},
              {"limit", r.limit},
              {"term", r.term_s},
              {"by", r.sent_by},
              {"in", r.deliver_s},
              {"n", machines}};
    }
    Json operator()(const LedgerRecord& r) const {
      Json spent = Json::object();
      for (const auto& [part, amount] : r.spent) spent[m.names.parts.name(part)] = amount;
      return {{"w", r.window}, {"spent", spent}};
    }
    Json operator()(const MarketRecord& r) {
      const Evidence& e = r.evidence;
      Json j = {{"kept", {e.kept, e.broken}},
                {"delay", {e.delay_n, e.delay_mean, e.delay_m2}},
                {"drift", {e.drift_n, e.drift_mean, e.drift_m2}}};
      if (r.shut) j["shut"] = r.why;
      return j;
    }
    Json operator()(const AgreedRecord& r) {
      Json j = {{"s", r.state}, {"n", r.serial}, {"at", r.at}};
      if (r.version != 0) j["v"] = r.version;
      if (r.epoch != 0) j["e"] = r.epoch;
      if (!r.why.empty()) j["why"] = r.why;
      if (!r.counts.empty()) j["c"] = r.counts;
      if (!r.notes.empty()) j["t"] = r.notes;
      return j;
    }
  };
  return std::visit(Visitor{model}, change.value);
}

std::optional<Change> decode(const std::string& key, const Json* value, Model& model) {
  if (key.size() < 5 || key.compare(0, 2, live_prefix) != 0 || key[3] != '/') return std::nullopt;
  if (value != nullptr && !value->is_object()) return std::nullopt;
  std::string rest = key.substr(4);
  Change c;
  switch (key[2]) {
    case 'j': {
      if (value == nullptr) {
        JobIndex j = model.find_job(rest);
        if (!j.valid()) return std::nullopt;
        c.key = JobKey{j};
        return c;
      }
      auto s = value->find("s");
      auto at = value->find("at");
      auto phase = read_phase(*value);
      JobRecord rec;
      if (s == value->end() || !s->is_object() || !phase || at == value->end() || !at->is_number()) {
        return std::nullopt;
      }
      // A record made under another catalog must still be read.
      if (s->count("rigs") != 0 && (*s)["rigs"].is_array()) {
        for (const Json& r : (*s)["rigs"]) {
          if (r.is_string()) model.intern_type(r.get<std::string>());
        }
      }
      if (wire::read_submission(*s, model.names, rec.spec)) return std::nullopt;
      rec.spec.submitted_at = at->get<double>();
      rec.phase = *phase;
      c.key = JobKey{model.intern_job(rest)};
      c.value = std::move(rec);
      return c;
    }
    case 'c': {
      std::size_t slash = rest.rfind('/');
      if (slash == std::string::npos) return std::nullopt;
      auto chunk = static_cast<std::uint32_t>(std::strtoul(rest.c_str() + slash + 1, nullptr, 10));
      std::string ref = rest.substr(0, slash);
      if (value == nullptr) {
        JobIndex j = model.find_job(ref);
        if (!j.valid()) return std::nullopt;
        c.key = ChunkKey{j, chunk};
        return c;
      }
      ChunkRecord rec;
      if (value->count("d") != 0) rec.done = unhex((*value)["d"]);
      if (value->count("r") != 0) rec.restarted = unhex((*value)["r"]);
      auto placed = value->find("a");
      if (placed == value->end() || !placed->is_array()) return std::nullopt;
      for (const Json& t : *placed) {
        if (!t.is_array() || t.size() < 4 || !t[0].is_number() || !t[1].is_string() || !t[2].is_number() ||
            !t[3].is_number()) {
          return std::nullopt;
        }
        rec.placed.push_back({t[0].get<TaskNo>(), model.intern_machine(t[1].get<std::string>()),
                              t[2].get<Attempt>(), t[3].get<int>() != 0,
                              t.size() > 4 && t[4].is_number() ? t[4].get<double>() : -1});
      }
      auto rows = [&value](const char* key, std::size_t size, auto&& take) {
        auto list = value->find(key);
        if (list == value->end() || !list->is_array()) return;
        for (const Json& x : *list) {
          bool numbers = x.is_array() && x.size() >= size &&
                         std::all_of(x.begin(), x.end(), [](const Json& n) { return n.is_number(); });
          if (numbers) take(x);
        }
      };
      rows("s", 4, [&rec](const Json& x) {
        rec.saved[x[0].get<TaskNo>()] = {x[1].get<double>(), x[2].get<double>(), x[3].get<double>()};
      });
      rows("t", 3, [&rec](const Json& x) {
        rec.finishes.push_back({x[0].get<TaskNo>(), x[1].get<double>(), x[2].get<double>()});
      });
      c.key = ChunkKey{model.intern_job(ref), chunk};
      c.value = std::move(rec);
      return c;
    }
    case 'm': {
      c.key = MachineKey{model.intern_machine(rest)};
      if (value == nullptr) return c;
      MachineRecord rec;
      rec.part = model.names.parts.find(text(*value, "part"));
      rec.type = model.intern_type(text(*value, "type"));
      rec.zone = model.names.zones.find(text(*value, "zone"));
      rec.wanted_by = model.names.parts.find(text(*value, "for"));
      rec.spot = value->value("spot", false);
      rec.up = value->value("up", false);
      rec.mark = value->value("del", false) ? MachineMark::deleting : MachineMark::none;
      if (std::string market = text(*value, "market"); !market.empty()) {
        rec.market = model.names.markets.intern(market);
        rec.bid = text(*value, "bid");
      }
      if (!rec.part.valid() || !rec.zone.valid()) return std::nullopt;
      c.value = rec;
      return c;
    }
    case 'b':
    case 'l':
    case 'q':
      return decode_money(key[2], rest, value, model);
    case 'd':
      return decode_agreed(rest, value);
    case 'p': {
      PartIndex p = model.names.parts.find(rest);
      if (!p.valid()) return std::nullopt;
      c.key = ClaimKey{p};
      break;
    }
    case 'n':
      c.key = NodeKey{rest};
      break;
    default:
      return std::nullopt;
  }
  if (value != nullptr) {
    ClaimRecord rec{text(*value, "node"), 0};
    auto hold = value->find("hold");
    if (hold != value->end() && hold->is_number()) rec.hold = hold->get<std::uint64_t>();
    c.value = rec;
  }
  return c;
}

}  // namespace oxbowmill::state
