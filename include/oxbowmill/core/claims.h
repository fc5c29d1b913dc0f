// Who may act: the node's hold on the state service, and how long its word counts.
#pragma once

#include <string>
#include <vector>

#include "oxbowmill/core/settings.h"

namespace oxbowmill {

enum class HoldState : std::uint8_t { none, opening, held, lost };
enum class Authority : std::uint8_t {
  none,   // answer nothing on behalf of the controllers
  grace,  // keep tasks alive, order nothing
  full,
};

/// Times a hold from when its last successful renewal was *sent*, and the view of the state from when the
/// last answered watch was sent: a node that hears nothing new must stop acting as surely as one that
/// cannot renew.
class Hold {
 public:
  explicit Hold(const Settings& s) : life_(s.op.hold_life_s), grace_(s.grace_s()) {}

  void opening() { set_state(HoldState::opening); }
  void open_failed() { set_state(HoldState::none); }
  void opened(std::uint64_t id, Seconds sent_at);
  void renewed(Seconds sent_at) { renewed_ = std::max(renewed_, sent_at); }
  void lost() { set_state(HoldState::lost); }
  void watch_answered(Seconds sent_at) { watched_ = std::max(watched_, sent_at); }

  Authority authority(Seconds now) const;
  HoldState state() const { return state_; }
  std::uint64_t id() const { return state_ == HoldState::held ? id_ : 0; }
  Seconds renewed_at() const { return renewed_; }

 private:
  void set_state(HoldState s) { state_ = s; }
  double life_, grace_;
  HoldState state_ = HoldState::none;
  std::uint64_t id_ = 0;
  Seconds renewed_ = -1e9, watched_ = -1e9;
};

class Model;

/// The node is to write its key: the tables do not show it under its present hold. (Once written is not
/// enough: a late copy of an earlier process's goes with that one's hold, and takes the key along.)
bool needs_registration(const Model& model, const Hold& hold, const std::string& me);

/// How many live nodes should try to claim an ownerless part before this one: those that hold fewer parts
/// first. While a node is young it cannot tell a dead node from one that is only starting, so it counts `all`
/// nodes.
std::size_t claim_turn(const Model& model, PartIndex part, const std::string& me,
                       const std::vector<std::string>& all);

}  // namespace oxbowmill
