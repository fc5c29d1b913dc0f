// Keeps the tables equal to the live keys of the state service: lists them once, then follows the watch.
#pragma once

#include <deque>
#include <set>
#include <unordered_map>

#include "oxbowmill/core/claims.h"
#include "oxbowmill/service/view.h"
#include "oxbowmill/state/store.h"

namespace oxbowmill::service {

class Mirror {
 public:
  Mirror(event_base* base, state::Store& store, Model& model, Scheduler& scheduler, Hold& hold,
         std::function<double()> now);
  void start();
  bool live() const { return view_.live(); }
  /// Own transaction, known to be applied at this revision.
  void applied(const std::vector<std::pair<std::string, Change>>& changes, Stamp revision);
  /// There is news up to this revision: the next watch is opened without delay.
  void nudge(Stamp revision);
  /// Calls `fn` once the tables hold everything that the state service held at this moment or later: many
  /// readers share one watch that is opened after they came. False where that would take longer than a read
  /// of one's own, or no answer came: nothing is known then.
  void when_current(std::function<void(bool)> fn);
  std::function<void(const wire::Json&)> on_catalog;
  std::function<void()> on_change;

 private:
  void list_from(const std::string& from);
  void watch();
  bool admit(const std::string& key, Stamp stamp, bool removal);
  void take(const std::string& key, const wire::Json* value, Stamp stamp);
  bool read_often() const;
  void give_up_readers();

  state::Store& store_;
  Model& model_;
  Scheduler& scheduler_;
  Hold& hold_;
  std::function<double()> now_;
  net::Timer retry_;
  View view_;
  std::set<std::string> listed_;
  std::unordered_map<std::string, Stamp> stamps_;
  std::unordered_map<std::string, Stamp> removed_;  // removals that the watch has yet to confirm
  double last_watch_ = 0;
  struct Reader {
    std::function<void(bool)> fn;
    double since = 0;
  };
  std::deque<Reader> waiting_;       // for the next watch to be opened
  std::deque<Reader> riding_;        // on the one that is open
  double reads_ = 0, reads_at_ = 0;  // of late, decaying
  bool held_open_ = false;           // the open watch may wait for news
  net::Timer reader_timer_;
};

}  // namespace oxbowmill::service
