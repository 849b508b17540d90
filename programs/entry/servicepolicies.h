// Reads services' policies from the published document.

#ifndef FULMAR_PROGRAMS_ENTRY_SERVICEPOLICIES_H
#define FULMAR_PROGRAMS_ENTRY_SERVICEPOLICIES_H

#include "knowledge.h"

#include "fulmar/base/identifier.h"
#include "fulmar/document/servicepolicy.h"

#include <map>

namespace fulmar::entry {

using service_policies = std::map<base::service_name, document::service_policy>;

/// Every service of the document with its policy.
service_policies readServicePolicies(const knowledge &Knowledge);

} // namespace fulmar::entry

#endif // FULMAR_PROGRAMS_ENTRY_SERVICEPOLICIES_H
