// The messages that an entry's task receives.

#ifndef FULMAR_PROGRAMS_ENTRY_ENTRYMESSAGES_H
#define FULMAR_PROGRAMS_ENTRY_ENTRYMESSAGES_H

#include "fulmar/base/mailbox.h"
#include "fulmar/base/result.h"
#include "fulmar/base/time.h"
#include "fulmar/routing/routingtypes.h"

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace fulmar::entry {

using json_result = base::result<Json::Value>;
using permit_result = base::result<routing::permit>;
using json_responder = std::shared_ptr<base::reply_slot<json_result>>;
using permit_responder = std::shared_ptr<base::reply_slot<permit_result>>;

/// A call of another process, or of a target or caller over HTTP.
struct rpc_call {
  std::string Method;
  Json::Value Parameters;
  json_responder Responder;
};

/// A request wants to be sent to a target.
struct acquire_permit {
  routing::request_profile Request;
  std::vector<routing::attempt> Earlier;
  permit_responder Responder;
};

/// An attempt has ended.
struct finish_permit {
  routing::permit Permit;
  routing::attempt Outcome;
  routing::request_profile Request;
};

/// The parent answered entry.sync.
struct sync_answered {
  std::string Parent;
  base::instant SentAt;
  json_result Answer;
};

/// An owner answered share.sync.
struct share_answered {
  base::instance_id Owner;
  json_result Answer;
};

/// An answer of a target named its incarnation and load.
struct target_observed {
  base::target_id Target;
  /// The incarnation that the request was meant for.
  std::string Believed;
  /// Empty when the answer did not name one.
  std::string Seen;
};

/// A target refused a connection that was made to check it.
struct target_unreachable {
  base::target_id Target;
};

/// The process was asked to stop.
struct begin_stop {};

using task_message =
    std::variant<rpc_call, acquire_permit, finish_permit, sync_answered,
                 share_answered, target_observed, target_unreachable,
                 begin_stop>;

} // namespace fulmar::entry

#endif // FULMAR_PROGRAMS_ENTRY_ENTRYMESSAGES_H
