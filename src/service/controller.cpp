#include "oxbowmill/service/controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

namespace oxbowmill::service {

using state::StoreResponse;
using wire::Json;

namespace {
constexpr double state_service_ok_s = 1.5;  // an answer of the state service counts as news for this long
constexpr double catalog_interval_s = 60;
constexpr double acquisition_stagger_s = 0.6;  // between the preferred node's attempt and the next one's
constexpr double registration_interval_s = 1;
constexpr double relay_period_s = 30;   // how long reports are passed on before their owner is tried again
constexpr double startup_period_s = 5;  // a node that started so lately does not know who else is there
}  // namespace

double Controller::now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
double Controller::wall_time() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Controller::Controller(event_base* base, config::Config config)
    : base_(base),
      config_(std::move(config)),
      state_(config_.settings, config_.names),
      lease_(state_.settings),
      scheduler_(state_, lease_),
      autoscaler_(state_, scheduler_),
      store_(base, config_.state_service, state_.settings, &Controller::now),
      replica_(base, store_, state_, scheduler_, lease_, &Controller::now),
      submission_service_(store_, state_, &Controller::now, &Controller::wall_time),
      decision_service_(state_, scheduler_, store_, config_, &Controller::now),
      cloud_(base, config_.cloud, 3),
      cloud_rate_limit_(state_.settings.cloud_rps * 0.8, state_.settings.cloud_rps),
      tick_timer_(base, [this] { tick(); }),
      peers_(base, config_, &Controller::now, [this] { return make_peer_update(); }) {
  peers_.on_revision = [this](Revision r) { replica_.on_revision_hint(r); };
  peers_.on_unreachable_zone = [this](const std::string& z) {
    scheduler_.on_peer_zone_report(state_.names.zones.find(z), now());
  };
  if (config_.recovery.enabled) {
    reconciler_ = std::make_unique<reconciliation::Reconciler>(state_, scheduler_, config_.recovery);
    reconciler_->on_phase_change = [this] { peers_.publish_soon(); };
    scheduler_.set_recovery_admission(reconciler_.get());
    autoscaler_.set_recovery_admission(reconciler_.get());
    peers_.on_update = [this](const PeerUpdate& update) { on_peer_update(update); };
  }
  peers_.on_relayed = [this](const net::Request& request) { on_report(request, true); };
  submission_service_.on_write = [this](Revision r) {
    last_written_revision_ = std::max(last_written_revision_, r);
    replica_.on_revision_hint(r);
    peers_.publish_soon();
  };
  submission_service_.ready = [this] { return ready(); };
  submission_service_.when_replica_current = [this](std::function<void(bool)> on_done) {
    replica_.when_current(std::move(on_done));
  };
  replica_.on_catalog = [this](const Json& json) {
    catalog_stored_ = true;
    apply_catalog(json, false);
  };
  replica_.on_change = [this] { run_cycle(); };
  if (config_.markets.enabled())
    market_service_ = std::make_unique<MarketService>(base, state_, scheduler_, autoscaler_, config_.markets,
                                                      &Controller::now, &Controller::wall_time);
  server_ =
      std::make_unique<net::HttpServer>(base, config_.bind, wire::max_body_size,
                                        [this](net::Request&& request) { on_request(std::move(request)); });
  // The last eighth stays free for new connections and for the node's own calls.
  SPDLOG_INFO("listening on {} for users and workers, on {} for controllers",
              net::to_string(server_->address()), net::to_string(peers_.address()));
  if (state_.settings.socket_limit > 0) server_->keep_alive_below(state_.settings.socket_limit * 7 / 8);
  started_at_ = now();
  replica_.start();
  tick_timer_.schedule(0);
}

bool Controller::ready() const {
  return replica_.is_live() && state_.catalog_known() &&
         should_serve(now() - store_.last_success_at(), peers_.any_reaches_state_service());
}

void Controller::on_request(net::Request&& request) {
  static const std::string jobs = "/submissions", withdraw = "/withdraw";
  auto need = [&request](evhttp_cmd_type method) {
    if (request.method == method) return true;
    request.responder->reply(405, "");
    return false;
  };
  if (request.path == "/hello") {
    if (need(EVHTTP_REQ_POST)) on_report(request, false);
  } else if (request.path == "/up") {
    if (need(EVHTTP_REQ_GET)) request.responder->reply(ready() ? 200 : 503, "");
  } else if (request.path == jobs) {
    if (need(EVHTTP_REQ_POST)) submission_service_.submit(request);
  } else if (request.path.compare(0, jobs.size() + 1, jobs + "/") == 0) {
    std::string ref = request.path.substr(jobs.size() + 1);
    std::size_t slash = ref.find('/');
    if (slash == std::string::npos) {
      if (need(EVHTTP_REQ_GET)) submission_service_.poll(ref, request.responder);
    } else if (ref.substr(slash) == withdraw) {
      if (need(EVHTTP_REQ_POST)) submission_service_.withdraw(ref.substr(0, slash), request.responder);
    } else {
      request.responder->reply(404, "");
    }
  } else {
    request.responder->reply(404, "");
  }
}

void Controller::on_report(const net::Request& request, bool passed_on) {
  auto body = wire::decode_map(request.body);
  auto report = body ? wire::read_report(*body) : std::nullopt;
  if (!report) {
    std::string sender = body ? body->value("host", Json()).dump() : "unknown";
    log_malformed("report from " + sender);
    request.responder->reply(400, "");
    return;
  }
  if (!replica_.is_live()) {
    request.responder->reply(503, "", 1);
    return;
  }
  if (reconciler_ && lease_.authority(now()) == Authority::full) {
    scheduler_.detect_failovers(now());
    reconciler_->on_report(*report, now());
  }
  ReportAnswer answer = scheduler_.on_report(*report, clock());
  switch (answer.kind) {
    case ReportAnswer::Kind::ok:
      request.responder->reply(200, wire::encode(wire::write_report_answer(answer)));
      break;
    case ReportAnswer::Kind::redirect:
      if (!passed_on && answer.owner_unreachable) return relay_report(report->machine, answer.owner, request);
      request.responder->reply(421, wire::encode(wire::write_report_answer(answer)));
      break;
    case ReportAnswer::Kind::refuse:
      request.responder->reply(503, "", 1);
      break;
  }
}

void Controller::relay_report(const std::string& machine, const std::string& owner,
                              const net::Request& request) {
  // The worker knows its owner and has come here all the same: a cut between zones, it seems, that a node in
  // a third zone can bridge. Now and then it is sent to its owner again.
  double current_time = now();
  auto known = relayed_machines_.find(machine);
  if (known != relayed_machines_.end() && current_time - known->second.since > relay_period_s) {
    // Not when it is long ago that the last one went through: this is another cut.
    bool same_cut = current_time - known->second.last < relay_period_s;
    relayed_machines_.erase(known);
    if (same_cut) {
      return request.responder->reply(
          421, wire::encode(wire::write_report_answer({ReportAnswer::Kind::redirect, owner, 0, {}})));
    }
  }
  peers_.relay(owner, request.body,
               [this, machine, owner, responder = request.responder](const net::Response& answer) {
                 if (answer.status != 200) return responder->reply(503, "", 1);
                 auto [passed, fresh] = relayed_machines_.try_emplace(machine, RelayedMachine{now(), now()});
                 passed->second.last = now();
                 if (fresh) SPDLOG_INFO("machine {}: its reports are passed on to {}", machine, owner);
                 responder->reply(200, answer.body);
               });
}

void Controller::log_malformed(const std::string& what) {
  constexpr std::size_t most_remembered = 1000;
  if (reported_malformed_.size() < most_remembered && reported_malformed_.insert(what).second)
    SPDLOG_ERROR("malformed {}", what);
}

void Controller::tick() {
  tick_timer_.schedule(state_.settings.operator_settings.cycle_interval_s);
  maintain_lease();
  if (replica_.is_live()) {
    end_previous_leases();
    acquire_partitions();
  }
  if (now() >= next_catalog_at_) fetch_catalog();
  run_cycle();
  dispatch_cloud_calls();
}

void Controller::maintain_lease() {
  double current_time = now();
  double every = state_.settings.operator_settings.controller_lease_s / 4;
  if (lease_.state() == LeaseState::none || lease_.state() == LeaseState::lost) {
    if (current_time < next_renewal_at_) return;
    lease_.on_acquiring();
    next_registration_at_ = 0;
    store_.acquire_lease(state_.settings.operator_settings.controller_lease_s,
                         [this, every](const StoreResponse& response) {
                           if (response.status == 200 && response.body.contains("grant") &&
                               response.body["grant"].is_number()) {
                             lease_.on_granted(response.body["grant"].get<std::uint64_t>(), response.sent_at);
                             next_renewal_at_ = response.sent_at + every;
                           } else {
                             lease_.on_acquire_failed();
                             next_renewal_at_ = now() + 0.3;
                           }
                         });
    return;
  }
  if (lease_.state() != LeaseState::active || renewing_ || current_time < next_renewal_at_) return;
  renewing_ = true;
  std::uint64_t id = lease_.lease_id();
  store_.renew_lease(id, [this, id, every](const StoreResponse& response) {
    renewing_ = false;
    if (response.status == 200) {
      lease_.on_renewed(response.sent_at);
      next_renewal_at_ = response.sent_at + every;
    } else if (response.status == 404 && lease_.lease_id() == id) {
      SPDLOG_INFO("hold {} has ended", id);
      lease_.on_lost();
    } else {
      next_renewal_at_ = now() + 0.2;
    }
  });
}

void Controller::end_previous_leases() {
  // A controller is one process: where this one runs, the one before it is gone for certain, and its parts
  // need not wait for the end of a hold that nobody renews. After an outage of the state service that would
  // be a hold's whole life.
  if (previous_leases_ended_) return;
  previous_leases_ended_ = true;
  std::set<std::uint64_t> holds;
  auto note = [&](const OwnershipRecord& rec) {
    bool past = rec.controller == state_.settings.controller_name && rec.lease_id != 0 &&
                rec.lease_id != lease_.lease_id();
    if (past) holds.insert(rec.lease_id);
    return past;
  };
  for (const auto& [name, live] : state_.controllers()) note(live.record);
  for (std::uint32_t p = 0; p < state_.partition_count(); ++p) {
    // Its parts are this node's to take up again: nobody else need wait for a turn to pass.
    if (state_.ownership(PartitionIndex{p}).revision != 0 && note(state_.ownership(PartitionIndex{p}).record))
      previously_owned_partitions_.insert(p);
  }
  for (std::uint64_t id : holds) {
    SPDLOG_INFO("ending hold {} of this controller's earlier process", id);
    // Once, in hope: unanswered, it ends by itself a little later.
    store_.end_lease(id, [](const StoreResponse&) {});
  }
}

PeerUpdate Controller::make_peer_update() const {
  constexpr std::size_t most_suspects = 200;
  PeerUpdate update;
  update.controller = state_.settings.controller_name;
  update.revision = std::max(last_written_revision_, scheduler_.applied_revision());
  update.state_service_ok = now() - store_.last_success_at() < state_service_ok_s;
  for (ZoneIndex z : scheduler_.unreachable_zones(now()))
    update.unreachable_zones.push_back(state_.names.zones.name(z));
  if (!reconciler_) return update;
  for (const reconciliation::PartitionStatus& w : reconciler_->partition_statuses()) {
    update.reconciliations.push_back({state_.names.partitions.name(w.partition), w.ownership_revision,
                                      static_cast<std::uint32_t>(w.phase), w.expected, w.reported});
  }
  for (MachineIndex m : reconciler_->suspects(most_suspects))
    update.suspected_machines.push_back(state_.names.machines.name(m));
  return update;
}

void Controller::on_peer_update(const PeerUpdate& update) {
  for (const ReconciliationStatus& s : update.reconciliations) {
    if (s.phase > static_cast<std::uint32_t>(reconciliation::PartitionPhase::serving)) continue;
    reconciler_->on_peer_status(
        {state_.names.partitions.find(s.partition), s.ownership_revision,
         static_cast<reconciliation::PartitionPhase>(s.phase), s.expected, s.reported},
        now());
  }
  for (const std::string& m : update.suspected_machines)
    reconciler_->on_peer_suspect(state_.find_recorded(m), now());
}

void Controller::acquire_partitions() {
  double current_time = now();
  if (lease_.lease_id() == 0 || lease_.authority(current_time) != Authority::full || !state_.catalog_known())
    return;
  auto put = [this](const Key& key, Revision guard, Urgency urgency,
                    const std::function<void(const StoreResponse&)>& on_response) {
    Change change{key, OwnershipRecord{state_.settings.controller_name, lease_.lease_id()},
                  lease_.lease_id()};
    std::string encoded_key = state::encode_key(key, state_);
    Json txn = {{"guards", Json::array()},
                {"apply",
                 {{{"put", encoded_key},
                   {"value", state::encode_value(change, state_)},
                   {"grant", lease_.lease_id()}}}}};
    if (!std::holds_alternative<ControllerKey>(key))
      txn["guards"].push_back({{"k", encoded_key}, {"stamp", guard}});
    store_.commit(txn, urgency, [this, encoded_key, change, on_response](const StoreResponse& response) {
      if (response.status == 200)
        replica_.apply_own_write({{encoded_key, change}}, response.body.value("ledger_rev", Revision{0}));
      on_response(response);
    });
  };
  if (current_time >= next_registration_at_ &&
      needs_registration(state_, lease_, state_.settings.controller_name)) {
    next_registration_at_ = current_time + registration_interval_s;
    put(ControllerKey{state_.settings.controller_name}, 0, Urgency::ownership, [](const StoreResponse&) {});
  }
  std::vector<std::string> live;
  for (const auto& [name, rec] : state_.controllers()) live.push_back(name);
  if (std::find(live.begin(), live.end(), state_.settings.controller_name) == live.end()) return;
  store_.set_live_controllers(live.size());
  bool young = current_time - started_at_ < startup_period_s;
  for (std::uint32_t partition_number = 0; partition_number < state_.partition_count(); ++partition_number) {
    PartitionIndex partition{partition_number};
    if (state_.ownership(partition).revision != 0) {
      acquire_at_.erase(partition_number);
      continue;
    }
    std::size_t turn = previously_owned_partitions_.erase(partition_number) != 0
                           ? 0
                           : acquisition_turn(state_, partition, state_.settings.controller_name,
                                              young ? state_.settings.all_controllers : live);
    auto [it, fresh] = acquire_at_.emplace(partition_number,
                                           current_time + static_cast<double>(turn) * acquisition_stagger_s);
    if (current_time < it->second) continue;
    it->second = current_time + 3;
    put(OwnershipKey{partition}, 0, Urgency::ownership,
        [this, partition_number](const StoreResponse& response) {
          if (response.status != 200) acquire_at_[partition_number] = now() + 0.5;
        });
  }
}

void Controller::run_cycle() {
  if (!replica_.is_live()) return;
  Effects out;
  state_.wall_clock_offset_s = wall_time() - now();
  if (lease_.authority(now()) == Authority::full) decision_service_.run_cycle(clock(), out);
  scheduler_.run_cycle(clock(), out);
  if (lease_.authority(now()) == Authority::full) {
    if (reconciler_) reconciler_->run_cycle(now());
    autoscaler_.run_cycle(clock(), out);
    if (market_service_) market_service_->run_cycle(out);
  }
  for (const Write& w : out.writes) send_write(w);
  for (const DirectCommands& d : out.direct_commands) send_direct_commands(d);
  for (const ScaleOutRequest& r : out.scale_outs) cloud_call(true, [this, r] { send_scale_out(r); });
  if (!out.deletions.empty()) {
    cloud_call(false, [this, d = out.deletions] { send_deletes(d); });
  }
  if (out.list_machines) {
    cloud_call(false, [this] { list_machines_page("", std::make_shared<std::vector<ListedMachine>>()); });
  }
}

void Controller::send_write(const Write& write) {
  WriteQueue::SentTransaction& s = write_queue_.get_or_create(write, state_);
  store_.commit(s.body, write.urgency, [this, id = write.id](const StoreResponse& response) {
    WriteQueue::SentTransaction* sent = write_queue_.find(id);
    if (sent == nullptr) return;
    TransactionOutcome outcome = TransactionOutcome::unknown;
    Revision revision = response.body.is_object() ? response.body.value("ledger_rev", Revision{0}) : 0;
    if (response.status == 200) {
      outcome = TransactionOutcome::applied;
      for (const auto& [key, c] : sent->changes) {
        if (const auto* phase = std::get_if<JobPhase>(&c.value))
          submission_service_.remember_final_phase(key.substr(2), *phase);
      }
      replica_.apply_own_write(sent->changes, revision);
      last_written_revision_ = std::max(last_written_revision_, revision);
      peers_.publish_soon();
    } else if (response.status == 409) {
      outcome = TransactionOutcome::refused;
      SPDLOG_DEBUG("transaction {} refused: {}", id, response.body.dump());
    } else if (response.status == 429 || response.status == 503) {
      outcome = TransactionOutcome::not_executed;
    } else if (response.status == 400) {
      SPDLOG_ERROR("transaction {} malformed: {}", id, response.body.dump());
      outcome = TransactionOutcome::not_executed;
    }
    if (!scheduler_.on_outcome(id, outcome, revision, now())) write_queue_.drop(id);
  });
}

void Controller::send_direct_commands(const DirectCommands& commands) {
  const std::string& address = state_.machine(commands.machine).address;
  net::Address destination;
  try {
    destination = net::parse_address(address);
  } catch (const std::invalid_argument&) {
    return;
  }
  net::send_once(base_, destination, EVHTTP_REQ_POST, "/commands",
                 wire::encode(wire::write_direct_commands(commands)), 3, [](const net::Response&) {});
}

void Controller::cloud_call(bool urgent, std::function<void()> fn) {
  (urgent ? cloud_urgent_ : cloud_background_).push_back(std::move(fn));
  dispatch_cloud_calls();
}

void Controller::dispatch_cloud_calls() {
  // Every third call is for the rest: requests for machines that the cloud has not must not keep others from
  // being returned.
  while (!cloud_urgent_.empty() || !cloud_background_.empty()) {
    if (!cloud_rate_limit_.take(1, now())) return;
    bool rest = cloud_urgent_.empty() || (!cloud_background_.empty() && ++cloud_turn_ % 3 == 0);
    auto& q = rest ? cloud_background_ : cloud_urgent_;
    auto fn = std::move(q.front());
    q.pop_front();
    fn();
  }
}

void Controller::send_scale_out(const ScaleOutRequest& request) {
  cloud_.send(EVHTTP_REQ_POST, "/rentals", wire::encode(wire::write_scale_out(request, state_.names)), 5,
              [this, request](const net::Response& http_response) {
                auto body = wire::decode_map(http_response.body);
                if (http_response.status == 200 && body) {
                  if (auto hosts = wire::read_hosts(*body))
                    return autoscaler_.on_scale_out_result(request.request_id, true, *hosts, now());
                }
                if (http_response.status == 200) log_malformed("answer of the cloud to a rental");
                bool no_capacity =
                    http_response.status == 503 && body && body->value("error", Json()) == "no capacity";
                autoscaler_.on_scale_out_result(request.request_id,
                                                no_capacity || http_response.status == 400, {}, now());
              });
}

void Controller::send_deletes(const std::vector<MachineIndex>& machines) {
  std::vector<std::string> names;
  for (MachineIndex m : machines) names.push_back(state_.names.machines.name(m));
  cloud_.send(EVHTTP_REQ_POST, "/rentals/delete", wire::encode(wire::write_delete(names)), 8,
              [this, machines](const net::Response& http_response) {
                autoscaler_.on_deleted(machines, http_response.status == 200);
              });
}

void Controller::list_machines_page(const std::string& from,
                                    const std::shared_ptr<std::vector<ListedMachine>>& so_far) {
  std::string path = "/rentals?most=500";
  if (!from.empty()) path += "&from=" + from;
  cloud_.send(EVHTTP_REQ_GET, path, "", 5, [this, so_far](const net::Response& http_response) {
    auto body = http_response.status == 200 ? Json::from_cbor(http_response.body, true, false) : Json();
    auto page = body.is_object() ? wire::read_list(body) : std::nullopt;
    if (!page) {
      if (http_response.status == 200) log_malformed("list of the cloud");
      return autoscaler_.on_list_failed();
    }
    so_far->insert(so_far->end(), page->machines.begin(), page->machines.end());
    if (page->has_more && !page->machines.empty()) {
      std::string last = page->machines.back().name;
      cloud_call(false, [this, last, so_far] { list_machines_page(last, so_far); });
      return;
    }
    autoscaler_.on_listed(*so_far, now());
  });
}

void Controller::fetch_catalog() {
  // Prices move; the leader keeps them fresh, the others only need the types.
  bool need = !state_.catalog_known() || scheduler_.is_leader();
  next_catalog_at_ = now() + (state_.catalog_known() ? catalog_interval_s : 2);
  if (!need) return;
  cloud_call(true, [this] {
    cloud_.send(EVHTTP_REQ_GET, "/catalog", "", 4, [this](const net::Response& http_response) {
      auto body = http_response.status == 200 ? wire::decode_map(http_response.body) : std::nullopt;
      if (body) apply_catalog(*body, true);
    });
  });
}

void Controller::apply_catalog(const Json& body, bool from_cloud) {
  auto entries = wire::read_catalog(body);
  if (!entries) {
    SPDLOG_ERROR("unreadable catalog from {}", from_cloud ? "the cloud" : "the state service");
    return;
  }
  // A stored catalog may be old: it does not replace one that came from the cloud.
  if (!from_cloud && state_.catalog_known()) return;
  for (const wire::CatalogEntry& entry : *entries) {
    TypeIndex type_index = state_.names.types.intern(entry.name);
    if (state_.catalog.size() < state_.names.types.size()) state_.catalog.resize(state_.names.types.size());
    MachineType type = entry.type;
    for (const std::string& z : entry.zones) {
      ZoneIndex zone = state_.names.zones.find(z);
      if (zone.valid()) type.zones.push_back(zone);
    }
    state_.catalog[type_index.value] = std::move(type);
  }
  if (!from_cloud || catalog_stored_) return;
  // Kept so that controllers that start during an outage of the cloud can still judge submissions.
  catalog_stored_ = true;
  Json txn = {{"guards", Json::array()},
              {"apply", {{{"put", state::catalog_key}, {"value", wire::write_catalog(*entries)}}}}};
  store_.commit(txn, Urgency::other, [this](const StoreResponse& response) {
    if (response.status != 200) catalog_stored_ = false;
  });
}

}  // namespace oxbowmill::service
