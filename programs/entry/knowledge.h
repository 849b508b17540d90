// What this entry knows of the system and how fresh it is: the published
// items, the membership read from them, and the proof behind them. It asks a
// parent for changes and, as a relay, serves them to other entries.

#ifndef FULMAR_PROGRAMS_ENTRY_KNOWLEDGE_H
#define FULMAR_PROGRAMS_ENTRY_KNOWLEDGE_H

#include "fulmar/base/notifier.h"
#include "fulmar/base/result.h"
#include "fulmar/directory/freshness.h"
#include "fulmar/directory/membership.h"
#include "fulmar/directory/ownership.h"
#include "fulmar/directory/parentselector.h"
#include "fulmar/document/controlpolicy.h"
#include "fulmar/publication/publisheditems.h"

#include <json/value.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmar::entry {

struct knowledge_options {
  directory::member Self;
  std::vector<std::string> ControlAddresses;
};

/// Owned by the entry's task.
class knowledge {
public:
  explicit knowledge(knowledge_options Options);

  /// RPC address to ask now.
  [[nodiscard]] std::string parent(base::instant Now) const {
    return Parents.current(Now);
  }
  /// Parameters of entry.sync: this entry's report and those of the entries
  /// that asked it of late.
  [[nodiscard]] Json::Value syncRequest(base::instant Now) const;
  /// Takes the answer of \p Parent to a question sent at \p SentAt.
  void onSyncAnswer(const std::string &Parent, base::instant SentAt,
                    const base::result<Json::Value> &Answer, base::instant Now);
  /// Serves entry.sync as a relay.
  base::result<Json::Value> serveSync(const Json::Value &Parameters,
                                      base::instant Now);

  /// The entry takes no new callers from now on.
  void setStopping() { Options.Self.Stopping = true; }

  [[nodiscard]] const publication::published_items &items() const {
    return Items;
  }
  [[nodiscard]] const directory::membership &view() const { return *View; }
  [[nodiscard]] const directory::freshness &freshness() const {
    return Freshness;
  }
  [[nodiscard]] const directory::ownership &ownership() const {
    return Ownership;
  }
  /// Text of a section of the document; empty when absent.
  [[nodiscard]] std::string section(const std::string &Name) const;
  [[nodiscard]] const document::control_policy &policy() const {
    return Policy;
  }
  [[nodiscard]] const directory::member &self() const { return Options.Self; }

  /// Tells that other items are in force.
  base::notifier<base::instant> Changed;

private:
  struct child_report {
    Json::Value Report;
    base::instant MadeAt;
  };

  [[nodiscard]] Json::Value ownReport() const;
  base::result<void> takeAnswer(const Json::Value &Answer, base::instant SentAt,
                                base::instant Now);
  void onItemsChanged(publication::serial Before, base::instant Now);
  void chooseParents();

  knowledge_options Options;
  publication::published_items Items;
  document::control_policy Policy;
  std::shared_ptr<const directory::membership> View;
  directory::freshness Freshness;
  directory::ownership Ownership;
  directory::parent_selector Parents;
  std::map<std::string, child_report> Children;
  /// The next question asks for a full copy.
  bool NeedsFullCopy = false;
};

} // namespace fulmar::entry

#endif // FULMAR_PROGRAMS_ENTRY_KNOWLEDGE_H
