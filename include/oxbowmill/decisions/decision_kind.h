// Kinds of durable decisions: the states of each kind, the strings that records store for them, and the
// allowed changes of state. The tables are constant and may be read from any thread.
#pragma once

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace oxbowmill::decisions {

/// The states of a kind of decision and the allowed changes between them.
struct DecisionKind {
  /// One allowed change of state, by stored names; "" stands for "no record yet". A change from a state to
  /// itself changes only the counts and notes of the record.
  struct Transition {
    std::string from;  ///< stored name of the state before the change
    std::string to;    ///< stored name of the state after it
  };
  std::string name;                     ///< first component of the records' keys
  std::vector<Transition> transitions;  ///< all allowed changes

  /// Whether `transitions` contains this change.
  [[nodiscard]] bool allows(const std::string& from, const std::string& to) const;
  /// Key of the record of `subject` (for example a release or a model): `<kind>/<subject>`.
  [[nodiscard]] std::string key(const std::string& subject) const { return name + "/" + subject; }
};

/// Table of a kind's states and of the strings that represent them in stored records. The strings must not
/// change, because existing records contain them.
template <class State, std::size_t Size>
struct StateNames {
  /// One row of the table.
  struct Entry {
    State state;              ///< the state in code
    std::string_view stored;  ///< its name in records; "" for "no record yet"
  };
  std::array<Entry, Size> entries;  ///< one row for each state

  /// The name that records store; `state` must be in the table.
  [[nodiscard]] std::string stored_name(State state) const {
    for (const Entry& entry : entries) {
      if (entry.state == state) return std::string(entry.stored);
    }
    return {};
  }
  /// The state that a record names; `unknown` if the table has no such name, because a later version wrote
  /// it.
  [[nodiscard]] State parse(std::string_view stored, State unknown) const {
    for (const Entry& entry : entries) {
      if (entry.stored == stored) return entry.state;
    }
    return unknown;
  }
};

/// An allowed change between two states in code.
template <class State>
struct StateChange {
  State from;  ///< the state before the change
  State to;    ///< the state after it
};

/// Builds the table of a kind from changes between states in code; keeps their order.
template <class State, std::size_t Size>
DecisionKind make_kind(std::string name, const StateNames<State, Size>& names,
                       const std::vector<StateChange<State>>& changes) {
  DecisionKind kind{std::move(name), {}};
  for (const StateChange<State>& change : changes)
    kind.transitions.push_back({names.stored_name(change.from), names.stored_name(change.to)});
  return kind;
}

}  // namespace oxbowmill::decisions
