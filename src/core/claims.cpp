#include "oxbowmill/core/claims.h"

#include <algorithm>
#include <tuple>

#include "oxbowmill/core/model.h"

namespace oxbowmill {

void Hold::opened(std::uint64_t id, Seconds sent_at) {
  id_ = id;
  renewed_ = sent_at;
  set_state(HoldState::held);
}

Authority Hold::authority(Seconds now) const {
  if (state_ != HoldState::held) return Authority::none;
  Seconds age = (now - std::min(renewed_, watched_)) * (1 + 2 * Settings::drift);
  if (age < life_) return Authority::full;
  return age < life_ + grace_ ? Authority::grace : Authority::none;
}

namespace {
std::size_t parts_held(const Model& model, const std::string& node) {
  std::size_t n = 0;
  for (std::uint32_t p = 0; p < model.parts(); ++p) {
    const Claim& c = model.claim(PartIndex{p});
    n += c.stamp != 0 && c.rec.node == node ? 1 : 0;
  }
  return n;
}
}  // namespace

bool needs_registration(const Model& model, const Hold& hold, const std::string& me) {
  auto it = model.nodes().find(me);
  return hold.id() != 0 && (it == model.nodes().end() || it->second.rec.hold != hold.id());
}

std::size_t claim_turn(const Model& model, PartIndex part, const std::string& me,
                       const std::vector<std::string>& all) {
  std::vector<std::tuple<std::size_t, std::size_t, std::string>> order;
  for (std::size_t i = 0; i < all.size(); ++i) {
    // Among equals each part prefers another node, so that they spread at the start.
    std::size_t rotated = (i + all.size() - part.v % all.size()) % all.size();
    order.emplace_back(parts_held(model, all[i]), rotated, all[i]);
  }
  std::sort(order.begin(), order.end());
  auto mine = std::find_if(order.begin(), order.end(), [&me](const auto& e) { return std::get<2>(e) == me; });
  return static_cast<std::size_t>(mine - order.begin());
}

}  // namespace oxbowmill
