#include "oxbowmill/service/node.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

namespace oxbowmill::service {

using state::StoreAnswer;
using wire::Json;

namespace {
constexpr double state_ok_s = 1.5;  // an answer of the state service counts as news for this long
constexpr double catalog_every_s = 60;
constexpr double claim_stagger_s = 0.6;  // between the preferred node's attempt and the next one's
constexpr double registration_every_s = 1;
constexpr double pass_on_s = 30;  // how long reports are passed on before their owner is tried again
constexpr double young_s = 5;     // a node that started so lately does not know who else is there
}  // namespace

double Node::now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
double Node::wall() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Node::Node(event_base* base, config::Config config)
    : base_(base),
      config_(std::move(config)),
      model_(config_.settings, config_.names),
      hold_(model_.settings),
      scheduler_(model_, hold_),
      fleet_(model_, scheduler_),
      store_(base, config_.state, model_.settings, &Node::now),
      mirror_(base, store_, model_, scheduler_, hold_, &Node::now),
      intake_(store_, model_, &Node::now, &Node::wall),
      agreements_(model_, scheduler_, store_, config_, &Node::now),
      cloud_(base, config_.cloud, 3),
      cloud_bucket_(model_.settings.cloud_rps * 0.8, model_.settings.cloud_rps),
      tick_(base, [this] { tick(); }),
      peers_(base, config_, &Node::now, [this] { return news(); }) {
  peers_.on_revision = [this](Stamp r) { mirror_.nudge(r); };
  peers_.on_dark = [this](const std::string& z) {
    scheduler_.heard_of_dark(model_.names.zones.find(z), now());
  };
  if (config_.recovery.enabled) {
    start_ = std::make_unique<recovery::Start>(model_, scheduler_, config_.recovery);
    start_->on_state = [this] { peers_.tell(); };
    scheduler_.set_gate(start_.get());
    fleet_.set_gate(start_.get());
    peers_.on_news = [this](const PeerNews& n) { heard_news(n); };
  }
  peers_.on_relayed = [this](const net::Request& r) { on_report(r, true); };
  intake_.on_write = [this](Stamp r) {
    known_revision_ = std::max(known_revision_, r);
    mirror_.nudge(r);
    peers_.tell();
  };
  intake_.ready = [this] { return ready(); };
  intake_.when_current = [this](std::function<void(bool)> fn) { mirror_.when_current(std::move(fn)); };
  mirror_.on_catalog = [this](const Json& j) {
    catalog_stored_ = true;
    take_catalog(j, false);
  };
  mirror_.on_change = [this] { run_pass(); };
  if (config_.markets.enabled())
    trading_ =
        std::make_unique<Trading>(base, model_, scheduler_, fleet_, config_.markets, &Node::now, &Node::wall);
  server_ = std::make_unique<net::HttpServer>(base, config_.bind, wire::most_body,
                                              [this](net::Request&& r) { on_request(std::move(r)); });
  // The last eighth stays free for new connections and for the node's own calls.
  SPDLOG_INFO("listening on {} for users and workers, on {} for controllers",
              net::to_string(server_->address()), net::to_string(peers_.address()));
  if (model_.settings.socket_limit > 0) server_->keep_alive_below(model_.settings.socket_limit * 7 / 8);
  started_at_ = now();
  mirror_.start();
  tick_.after(0);
}

bool Node::ready() const {
  return mirror_.live() && model_.catalog_known() &&
         should_serve(now() - store_.last_good(), peers_.any_has_state());
}

void Node::on_request(net::Request&& r) {
  static const std::string jobs = "/submissions", withdraw = "/withdraw";
  auto need = [&r](evhttp_cmd_type method) {
    if (r.method == method) return true;
    r.responder->reply(405, "");
    return false;
  };
  if (r.path == "/hello") {
    if (need(EVHTTP_REQ_POST)) on_report(r, false);
  } else if (r.path == "/up") {
    if (need(EVHTTP_REQ_GET)) r.responder->reply(ready() ? 200 : 503, "");
  } else if (r.path == jobs) {
    if (need(EVHTTP_REQ_POST)) intake_.submit(r);
  } else if (r.path.compare(0, jobs.size() + 1, jobs + "/") == 0) {
    std::string ref = r.path.substr(jobs.size() + 1);
    std::size_t slash = ref.find('/');
    if (slash == std::string::npos) {
      if (need(EVHTTP_REQ_GET)) intake_.poll(ref, r.responder);
    } else if (ref.substr(slash) == withdraw) {
      if (need(EVHTTP_REQ_POST)) intake_.withdraw(ref.substr(0, slash), r.responder);
    } else {
      r.responder->reply(404, "");
    }
  } else {
    r.responder->reply(404, "");
  }
}

void Node::on_report(const net::Request& r, bool passed_on) {
  auto body = wire::decode_map(r.body);
  auto report = body ? wire::read_report(*body) : std::nullopt;
  if (!report) {
    std::string sender = body ? body->value("host", Json()).dump() : "unknown";
    malformed("report from " + sender);
    r.responder->reply(400, "");
    return;
  }
  if (!mirror_.live()) {
    r.responder->reply(503, "", 1);
    return;
  }
  if (start_ && hold_.authority(now()) == Authority::full) {
    scheduler_.notice_takeovers(now());
    start_->on_report(*report, now());
  }
  ReportAnswer a = scheduler_.on_report(*report, clock());
  switch (a.kind) {
    case ReportAnswer::Kind::ok:
      r.responder->reply(200, wire::encode(wire::write_answer(a)));
      break;
    case ReportAnswer::Kind::redirect:
      if (!passed_on && a.left_owner) return pass_on(report->machine, a.owner, r);
      r.responder->reply(421, wire::encode(wire::write_answer(a)));
      break;
    case ReportAnswer::Kind::refuse:
      r.responder->reply(503, "", 1);
      break;
  }
}

void Node::pass_on(const std::string& machine, const std::string& owner, const net::Request& r) {
  // The worker knows its owner and has come here all the same: a cut between zones, it seems, that a node in
  // a third zone can bridge. Now and then it is sent to its owner again.
  double t = now();
  auto known = passing_on_.find(machine);
  if (known != passing_on_.end() && t - known->second.since > pass_on_s) {
    // Not when it is long ago that the last one went through: this is another cut.
    bool same_cut = t - known->second.last < pass_on_s;
    passing_on_.erase(known);
    if (same_cut) {
      return r.responder->reply(
          421, wire::encode(wire::write_answer({ReportAnswer::Kind::redirect, owner, 0, {}})));
    }
  }
  peers_.relay(owner, r.body, [this, machine, owner, to = r.responder](const net::Response& answer) {
    if (answer.status != 200) return to->reply(503, "", 1);
    auto [passed, fresh] = passing_on_.try_emplace(machine, PassedOn{now(), now()});
    passed->second.last = now();
    if (fresh) SPDLOG_INFO("machine {}: its reports are passed on to {}", machine, owner);
    to->reply(200, answer.body);
  });
}

void Node::malformed(const std::string& what) {
  constexpr std::size_t most_remembered = 1000;
  if (bad_senders_.size() < most_remembered && bad_senders_.insert(what).second)
    SPDLOG_ERROR("malformed {}", what);
}

void Node::tick() {
  tick_.after(model_.settings.op.pass_interval_s);
  tend_hold();
  if (mirror_.live()) {
    end_own_past();
    claim_parts();
  }
  if (now() >= next_catalog_) fetch_catalog();
  run_pass();
  pump_cloud();
}

void Node::tend_hold() {
  double t = now();
  double every = model_.settings.op.hold_life_s / 4;
  if (hold_.state() == HoldState::none || hold_.state() == HoldState::lost) {
    if (t < next_renew_) return;
    hold_.opening();
    next_registration_ = 0;
    store_.open_hold(model_.settings.op.hold_life_s, [this, every](const StoreAnswer& a) {
      if (a.status == 200 && a.body.contains("grant") && a.body["grant"].is_number()) {
        hold_.opened(a.body["grant"].get<std::uint64_t>(), a.sent_at);
        next_renew_ = a.sent_at + every;
      } else {
        hold_.open_failed();
        next_renew_ = now() + 0.3;
      }
    });
    return;
  }
  if (hold_.state() != HoldState::held || renewing_ || t < next_renew_) return;
  renewing_ = true;
  std::uint64_t id = hold_.id();
  store_.renew_hold(id, [this, id, every](const StoreAnswer& a) {
    renewing_ = false;
    if (a.status == 200) {
      hold_.renewed(a.sent_at);
      next_renew_ = a.sent_at + every;
    } else if (a.status == 404 && hold_.id() == id) {
      SPDLOG_INFO("hold {} has ended", id);
      hold_.lost();
    } else {
      next_renew_ = now() + 0.2;
    }
  });
}

void Node::end_own_past() {
  // A controller is one process: where this one runs, the one before it is gone for certain, and its parts
  // need not wait for the end of a hold that nobody renews. After an outage of the state service that would
  // be a hold's whole life.
  if (past_ended_) return;
  past_ended_ = true;
  std::set<std::uint64_t> holds;
  auto note = [&](const ClaimRecord& rec) {
    bool past = rec.node == model_.settings.node && rec.hold != 0 && rec.hold != hold_.id();
    if (past) holds.insert(rec.hold);
    return past;
  };
  for (const auto& [name, live] : model_.nodes()) note(live.rec);
  for (std::uint32_t p = 0; p < model_.parts(); ++p) {
    // Its parts are this node's to take up again: nobody else need wait for a turn to pass.
    if (model_.claim(PartIndex{p}).stamp != 0 && note(model_.claim(PartIndex{p}).rec)) past_parts_.insert(p);
  }
  for (std::uint64_t id : holds) {
    SPDLOG_INFO("ending hold {} of this controller's earlier process", id);
    // Once, in hope: unanswered, it ends by itself a little later.
    store_.end_hold(id, [](const StoreAnswer&) {});
  }
}

PeerNews Node::news() const {
  constexpr std::size_t most_suspects = 200;
  PeerNews n;
  n.node = model_.settings.node;
  n.revision = std::max(known_revision_, scheduler_.seen_revision());
  n.state_ok = now() - store_.last_good() < state_ok_s;
  for (ZoneIndex z : scheduler_.dark_zones(now())) n.dark.push_back(model_.names.zones.name(z));
  if (!start_) return n;
  for (const recovery::PartWord& w : start_->part_words()) {
    n.starts.push_back(
        {model_.names.parts.name(w.part), w.claim, static_cast<std::uint32_t>(w.state), w.expected, w.heard});
  }
  for (MachineIndex m : start_->suspects(most_suspects)) n.suspects.push_back(model_.names.machines.name(m));
  return n;
}

void Node::heard_news(const PeerNews& n) {
  for (const StartWord& s : n.starts) {
    if (s.state > static_cast<std::uint32_t>(recovery::PartState::serving)) continue;
    start_->heard_of({model_.names.parts.find(s.part), s.claim, static_cast<recovery::PartState>(s.state),
                      s.expected, s.heard},
                     now());
  }
  for (const std::string& m : n.suspects) start_->heard_of_suspect(model_.find_recorded(m), now());
}

void Node::claim_parts() {
  double t = now();
  if (hold_.id() == 0 || hold_.authority(t) != Authority::full || !model_.catalog_known()) return;
  auto put = [this](const Key& key, Stamp guard, Urgency urgency,
                    const std::function<void(const StoreAnswer&)>& fn) {
    Change c{key, ClaimRecord{model_.settings.node, hold_.id()}, hold_.id()};
    std::string k = state::encode_key(key, model_);
    Json txn = {{"guards", Json::array()},
                {"apply", {{{"put", k}, {"value", state::encode_value(c, model_)}, {"grant", hold_.id()}}}}};
    if (!std::holds_alternative<NodeKey>(key)) txn["guards"].push_back({{"k", k}, {"stamp", guard}});
    store_.txn(txn, urgency, [this, k, c, fn](const StoreAnswer& a) {
      if (a.status == 200) mirror_.applied({{k, c}}, a.body.value("ledger_rev", Stamp{0}));
      fn(a);
    });
  };
  if (t >= next_registration_ && needs_registration(model_, hold_, model_.settings.node)) {
    next_registration_ = t + registration_every_s;
    put(NodeKey{model_.settings.node}, 0, Urgency::claim, [](const StoreAnswer&) {});
  }
  std::vector<std::string> live;
  for (const auto& [name, rec] : model_.nodes()) live.push_back(name);
  if (std::find(live.begin(), live.end(), model_.settings.node) == live.end()) return;
  store_.set_live_nodes(live.size());
  bool young = t - started_at_ < young_s;
  for (std::uint32_t p = 0; p < model_.parts(); ++p) {
    PartIndex part{p};
    if (model_.claim(part).stamp != 0) {
      claim_at_.erase(p);
      continue;
    }
    std::size_t turn = past_parts_.erase(p) != 0 ? 0
                                                 : claim_turn(model_, part, model_.settings.node,
                                                              young ? model_.settings.all_nodes : live);
    auto [it, fresh] = claim_at_.emplace(p, t + static_cast<double>(turn) * claim_stagger_s);
    if (t < it->second) continue;
    it->second = t + 3;
    put(ClaimKey{part}, 0, Urgency::claim, [this, p](const StoreAnswer& a) {
      if (a.status != 200) claim_at_[p] = now() + 0.5;
    });
  }
}

void Node::run_pass() {
  if (!mirror_.live()) return;
  Effects out;
  model_.wall_ahead = wall() - now();
  if (hold_.authority(now()) == Authority::full) agreements_.pass(clock(), out);
  scheduler_.pass(clock(), out);
  if (hold_.authority(now()) == Authority::full) {
    if (start_) start_->pass(now());
    fleet_.pass(clock(), out);
    if (trading_) trading_->pass(out);
  }
  for (const Write& w : out.writes) send_write(w);
  for (const DirectOrders& d : out.direct) send_direct(d);
  for (const RentOrder& r : out.rents) cloud_call(true, [this, r] { send_rent(r); });
  if (!out.deletes.empty()) {
    cloud_call(false, [this, d = out.deletes] { send_deletes(d); });
  }
  if (out.list_machines) {
    cloud_call(false, [this] { list_page("", std::make_shared<std::vector<ListedMachine>>()); });
  }
}

void Node::send_write(const Write& w) {
  Outbox::Sent& s = outbox_.keep(w, model_);
  store_.txn(s.body, w.urgency, [this, id = w.id](const StoreAnswer& a) {
    Outbox::Sent* sent = outbox_.find(id);
    if (sent == nullptr) return;
    Outcome outcome = Outcome::unknown;
    Stamp revision = a.body.is_object() ? a.body.value("ledger_rev", Stamp{0}) : 0;
    if (a.status == 200) {
      outcome = Outcome::applied;
      for (const auto& [key, c] : sent->changes) {
        if (const auto* phase = std::get_if<JobPhase>(&c.value)) intake_.note_final(key.substr(2), *phase);
      }
      mirror_.applied(sent->changes, revision);
      known_revision_ = std::max(known_revision_, revision);
      peers_.tell();
    } else if (a.status == 409) {
      outcome = Outcome::refused;
      SPDLOG_DEBUG("transaction {} refused: {}", id, a.body.dump());
    } else if (a.status == 429 || a.status == 503) {
      outcome = Outcome::not_executed;
    } else if (a.status == 400) {
      SPDLOG_ERROR("transaction {} malformed: {}", id, a.body.dump());
      outcome = Outcome::not_executed;
    }
    if (!scheduler_.on_outcome(id, outcome, revision, now())) outbox_.drop(id);
  });
}

void Node::send_direct(const DirectOrders& d) {
  const std::string& address = model_.machine(d.machine).address;
  net::Address to;
  try {
    to = net::parse_address(address);
  } catch (const std::invalid_argument&) {
    return;
  }
  net::send_once(base_, to, EVHTTP_REQ_POST, "/commands", wire::encode(wire::write_direct(d)), 3,
                 [](const net::Response&) {});
}

void Node::cloud_call(bool urgent, std::function<void()> fn) {
  (urgent ? cloud_urgent_ : cloud_rest_).push_back(std::move(fn));
  pump_cloud();
}

void Node::pump_cloud() {
  // Every third call is for the rest: requests for machines that the cloud has not must not keep others from
  // being returned.
  while (!cloud_urgent_.empty() || !cloud_rest_.empty()) {
    if (!cloud_bucket_.take(1, now())) return;
    bool rest = cloud_urgent_.empty() || (!cloud_rest_.empty() && ++cloud_turn_ % 3 == 0);
    auto& q = rest ? cloud_rest_ : cloud_urgent_;
    auto fn = std::move(q.front());
    q.pop_front();
    fn();
  }
}

void Node::send_rent(const RentOrder& r) {
  cloud_.send(EVHTTP_REQ_POST, "/rentals", wire::encode(wire::write_rental(r, model_.names)), 5,
              [this, r](const net::Response& a) {
                auto body = wire::decode_map(a.body);
                if (a.status == 200 && body) {
                  if (auto hosts = wire::read_hosts(*body))
                    return fleet_.on_rented(r.request, true, *hosts, now());
                }
                if (a.status == 200) malformed("answer of the cloud to a rental");
                bool no_capacity = a.status == 503 && body && body->value("error", Json()) == "no capacity";
                fleet_.on_rented(r.request, no_capacity || a.status == 400, {}, now());
              });
}

void Node::send_deletes(const std::vector<MachineIndex>& machines) {
  std::vector<std::string> names;
  for (MachineIndex m : machines) names.push_back(model_.names.machines.name(m));
  cloud_.send(EVHTTP_REQ_POST, "/rentals/delete", wire::encode(wire::write_delete(names)), 8,
              [this, machines](const net::Response& a) { fleet_.on_deleted(machines, a.status == 200); });
}

void Node::list_page(const std::string& from, const std::shared_ptr<std::vector<ListedMachine>>& so_far) {
  std::string path = "/rentals?most=500";
  if (!from.empty()) path += "&from=" + from;
  cloud_.send(EVHTTP_REQ_GET, path, "", 5, [this, so_far](const net::Response& a) {
    auto body = a.status == 200 ? Json::from_cbor(a.body, true, false) : Json();
    auto page = body.is_object() ? wire::read_list(body) : std::nullopt;
    if (!page) {
      if (a.status == 200) malformed("list of the cloud");
      return fleet_.on_list_failed();
    }
    so_far->insert(so_far->end(), page->machines.begin(), page->machines.end());
    if (page->more && !page->machines.empty()) {
      std::string last = page->machines.back().name;
      cloud_call(false, [this, last, so_far] { list_page(last, so_far); });
      return;
    }
    fleet_.on_listed(*so_far, now());
  });
}

void Node::fetch_catalog() {
  // Prices move; the leader keeps them fresh, the others only need the types.
  bool need = !model_.catalog_known() || scheduler_.leads();
  next_catalog_ = now() + (model_.catalog_known() ? catalog_every_s : 2);
  if (!need) return;
  cloud_call(true, [this] {
    cloud_.send(EVHTTP_REQ_GET, "/catalog", "", 4, [this](const net::Response& a) {
      auto body = a.status == 200 ? wire::decode_map(a.body) : std::nullopt;
      if (body) take_catalog(*body, true);
    });
  });
}

void Node::take_catalog(const Json& body, bool from_cloud) {
  auto entries = wire::read_catalog(body);
  if (!entries) {
    SPDLOG_ERROR("unreadable catalog from {}", from_cloud ? "the cloud" : "the state service");
    return;
  }
  // A stored catalog may be old: it does not replace one that came from the cloud.
  if (!from_cloud && model_.catalog_known()) return;
  for (const wire::CatalogEntry& e : *entries) {
    TypeIndex t = model_.names.types.intern(e.name);
    if (model_.catalog.size() < model_.names.types.size()) model_.catalog.resize(model_.names.types.size());
    MachineType type = e.type;
    for (const std::string& z : e.zones) {
      ZoneIndex zone = model_.names.zones.find(z);
      if (zone.valid()) type.zones.push_back(zone);
    }
    model_.catalog[t.v] = std::move(type);
  }
  if (!from_cloud || catalog_stored_) return;
  // Kept so that controllers that start during an outage of the cloud can still judge submissions.
  catalog_stored_ = true;
  Json txn = {{"guards", Json::array()},
              {"apply", {{{"put", state::catalog_key}, {"value", wire::write_catalog(*entries)}}}}};
  store_.txn(txn, Urgency::rest, [this](const StoreAnswer& a) {
    if (a.status != 200) catalog_stored_ = false;
  });
}

}  // namespace oxbowmill::service
