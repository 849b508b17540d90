// Conversion of replies, edits and member reports to and from the JSON that
// processes exchange.

#ifndef FULMAR_CONTROLSTATE_JSONCONVERSION_H
#define FULMAR_CONTROLSTATE_JSONCONVERSION_H

#include "fulmar/controlstate/commands.h"
#include "fulmar/controlstate/editlog.h"
#include "fulmar/controlstate/replies.h"

#include <json/value.h>

#include <string>

namespace fulmar::controlstate {

/// `outcome`, `revision`, `serial`, `message`, `repeated` and `in_force` with
/// `number`, `content` and `author`.
Json::Value toJson(const edit_reply &Reply);
/// `serial`, `state` and `repeated`.
Json::Value toJson(const data_centre_reply &Reply);
/// `crashes` and `quarantined`.
Json::Value toJson(const crash_reply &Reply);
/// `revision`, `section`, `number`, `author` and `removed`.
Json::Value toJson(const edit_record &Record);
/// `id`, `incarnation`, `data_centre`, `address`, `rpc_address`, `stopping` and
/// `region`, which is left out if empty.
Json::Value toJson(const member_report &Report);
/// Fails with BadRequest if a field other than `region` is missing, or if any
/// field has the wrong type.
base::result<member_report> memberFromJson(const Json::Value &Json);
/// Accepts "leave" and "return"; fails with BadRequest on other text.
base::result<data_centre_action> parseDataCentreAction(const std::string &Text);

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_JSONCONVERSION_H
