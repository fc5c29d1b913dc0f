// Names of all kinds of keys and all record fields in the state service, one namespace per record type.
// Existing clusters hold data under these names, so the strings must never change.
#pragma once

namespace oxbowmill::state::stored {

/// The letter between the prefix and the name in a live key.
namespace kind {
constexpr char job = 'j';
constexpr char chunk = 'c';
constexpr char machine = 'm';
constexpr char ownership = 'p';
constexpr char controller = 'n';
constexpr char bid = 'b';
constexpr char ledger = 'l';
constexpr char market = 'q';
constexpr char decision = 'd';
}  // namespace kind

constexpr const char* final_phase_prefix = "f/";
constexpr const char* ledger_name = "ledger";

namespace job {
constexpr const char* spec = "s";  // encoded like a submission on the wire
constexpr const char* phase = "p";
constexpr const char* submitted_at = "at";
}  // namespace job

namespace chunk {
constexpr const char* done = "d";         // 64 bits in hexadecimal
constexpr const char* restarted = "r";    // 64 bits in hexadecimal
constexpr const char* placements = "a";   // [task, machine, attempt, restarting, placed_after_s (optional)]
constexpr const char* checkpoints = "s";  // [task, low, likely, high]
constexpr const char* finishes = "t";     // [task, run_s, finished_at_s]
}  // namespace chunk

namespace machine {
constexpr const char* partition = "part";
constexpr const char* type = "type";
constexpr const char* zone = "zone";
constexpr const char* spot = "spot";
constexpr const char* deleting = "del";
constexpr const char* has_booted = "up";
constexpr const char* requested_by = "for";
constexpr const char* market = "market";
constexpr const char* bid = "bid";
}  // namespace machine

namespace ownership {
constexpr const char* controller = "node";
constexpr const char* lease_id = "hold";
}  // namespace ownership

namespace bid {
constexpr const char* market = "market";
constexpr const char* type = "type";
constexpr const char* zone = "zone";
constexpr const char* spot = "spot";
constexpr const char* price_limit = "limit";
constexpr const char* max_paid_s = "term";
constexpr const char* send_before = "by";
constexpr const char* delivery_s = "in";
constexpr const char* machines = "n";  // by partition
}  // namespace bid

namespace ledger {
constexpr const char* window = "w";
constexpr const char* spent = "spent";  // by partition
}  // namespace ledger

namespace market {
constexpr const char* suspension_reason = "shut";  // present if the market is suspended
constexpr const char* deliveries = "kept";         // [delivered, undelivered]
constexpr const char* delay = "delay";             // [weight, mean, m2]
constexpr const char* drift = "drift";             // [weight, mean, m2]
}  // namespace market

namespace decision {
constexpr const char* state = "s";
constexpr const char* sequence = "n";
constexpr const char* version = "v";
constexpr const char* epoch = "e";
constexpr const char* changed_at = "at";
constexpr const char* reason = "why";
constexpr const char* counts = "c";
constexpr const char* notes = "t";
}  // namespace decision

}  // namespace oxbowmill::state::stored
