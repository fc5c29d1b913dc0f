#include "oxbowmill/state/keys.h"

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
    std::string operator()(const MachineKey& k) { return "o/m/" + m.names.machines.name(k.machine); }
    std::string operator()(const ClaimKey& k) { return "o/p/" + m.names.parts.name(k.part); }
    std::string operator()(const NodeKey& k) { return "o/n/" + k.node; }
    std::string operator()(const FinalKey& k) { return final_key(m.job(k.job).spec.ref); }
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
    Json operator()(const JobRecord& r) { return job_value(r.spec, r.phase, m.names); }
    Json operator()(const ChunkRecord& r) {
      Json placed = Json::array();
      for (const PlacedTask& t : r.placed) {
        placed.push_back(
            Json::array({t.task, m.names.machines.name(t.machine), t.attempt, t.restarting ? 1 : 0}));
      }
      return {{"d", hex(r.done)}, {"r", hex(r.restarted)}, {"a", placed}};
    }
    Json operator()(const MachineRecord& r) {
      Json j = {{"part", m.names.parts.name(r.part)},
                {"type", m.names.types.name(r.type)},
                {"zone", m.names.zones.name(r.zone)},
                {"spot", r.spot},
                {"del", r.mark == MachineMark::deleting}};
      if (r.up) j["up"] = true;
      if (r.wanted_by.valid()) j["for"] = m.names.parts.name(r.wanted_by);
      return j;
    }
    Json operator()(const ClaimRecord& r) { return {{"node", r.node}, {"hold", r.hold}}; }
    Json operator()(JobPhase p) { return {{"p", name_of(p)}}; }
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
                              t[2].get<Attempt>(), t[3].get<int>() != 0});
      }
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
      if (!rec.part.valid() || !rec.zone.valid()) return std::nullopt;
      c.value = rec;
      return c;
    }
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
