#include "oxbowmill/service/effect_sender.h"

#include <spdlog/spdlog.h>

#include "oxbowmill/service/transaction_body.h"

namespace oxbowmill::service {

using state::StoreResponse;

namespace {
constexpr double direct_command_timeout_s = 3;

/// Parses the address of a machine's agent; empty if the text is not a valid address.
std::optional<net::Address> parse_machine_address(const std::string& text) {
  try {
    return net::parse_address(text);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// The ID of the job that a final key belongs to: the key without its prefix.
std::string job_of_final_key(const std::string& key) {
  static const std::size_t prefix_size = state::final_key("").size();
  return key.substr(prefix_size);
}
}  // namespace

EffectSender::EffectSender(event_base* base, state::Store& store, StateReplica& replica, ClusterState& state,
                           Scheduler& scheduler, SubmissionService& submission_service,
                           CloudClient& cloud_client, std::function<double()> clock)
    : base_(base),
      store_(store),
      replica_(replica),
      state_(state),
      scheduler_(scheduler),
      submission_service_(submission_service),
      cloud_client_(cloud_client),
      clock_(std::move(clock)) {}

void EffectSender::send(const Effects& effects) {
  for (const Write& write : effects.writes) send_write(write);
  for (const DirectCommands& commands : effects.direct_commands) send_direct_commands(commands);
  for (const ScaleOutRequest& request : effects.scale_outs) cloud_client_.scale_out(request);
  if (!effects.deletions.empty()) cloud_client_.delete_machines(effects.deletions);
  if (effects.list_machines) cloud_client_.list_machines();
}

void EffectSender::send_write(const Write& write) {
  const WriteQueue::SentTransaction& transaction = write_queue_.get_or_create(write, state_);
  store_.commit(transaction.body, write.urgency,
                [this, id = write.id](const StoreResponse& response) { on_write_response(id, response); });
}

void EffectSender::on_write_response(std::uint64_t id, const StoreResponse& response) {
  // A transaction that was sent again may be answered twice. Its first definite outcome counts.
  const WriteQueue::SentTransaction* sent = write_queue_.find(id);
  if (sent == nullptr) return;
  Revision revision = committed_revision(response.body);
  TransactionOutcome outcome = outcome_of(id, response);
  if (outcome == TransactionOutcome::applied) apply_committed(*sent, revision);
  if (!scheduler_.on_outcome(id, outcome, revision, clock_())) write_queue_.drop(id);
}

TransactionOutcome EffectSender::outcome_of(std::uint64_t id, const StoreResponse& response) const {
  switch (response.status) {
    case 200:
      return TransactionOutcome::applied;
    case 409:
      SPDLOG_DEBUG("transaction refused id={} response={}", id, wire::to_json_text(response.body));
      return TransactionOutcome::refused;
    case 400:
      SPDLOG_ERROR("transaction malformed id={} response={}", id, wire::to_json_text(response.body));
      return TransactionOutcome::not_executed;
    case 429:
    case 503:
      return TransactionOutcome::not_executed;
    default:
      return TransactionOutcome::unknown;
  }
}

void EffectSender::apply_committed(const WriteQueue::SentTransaction& sent, Revision revision) {
  for (const auto& [key, change] : sent.changes) {
    if (const auto* phase = std::get_if<JobPhase>(&change.value))
      submission_service_.remember_final_phase(job_of_final_key(key), *phase);
  }
  replica_.apply_own_write(sent.changes, revision);
  if (on_committed) on_committed(revision);
}

void EffectSender::send_direct_commands(const DirectCommands& commands) {
  auto destination = parse_machine_address(state_.machine(commands.machine).address);
  if (!destination) return;
  // Best effort: what the agent has executed is learnt from its reports.
  net::send_once(base_, *destination, EVHTTP_REQ_POST, "/commands",
                 wire::encode(wire::write_direct_commands(commands)), direct_command_timeout_s,
                 [unanswered = unanswered_commands_](const net::Response& response) {
                   if (response.status == 0 && unanswered->add())
                     SPDLOG_INFO("direct commands unanswered count={}", unanswered->count());
                 });
}

}  // namespace oxbowmill::service
