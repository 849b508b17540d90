// The tables of keys of every kind of section.

#ifndef FULMAR_DOCUMENT_SECTIONTABLES_H
#define FULMAR_DOCUMENT_SECTIONTABLES_H

#include "fulmar/document/controlpolicy.h"
#include "fulmar/document/datacentreinfo.h"
#include "fulmar/document/ownerinfo.h"
#include "fulmar/document/servicepolicy.h"
#include "keybinding.h"

namespace fulmar::document {

inline constexpr std::int64_t MaxListedDataCentres = 32;
inline constexpr std::int64_t MaxTextBytes = 200;

/// The key that names a section's team.
inline key_spec ownerSpec() {
  return {.Key = "owner",
          .Type = key_type::Name,
          .Required = true,
          .References = section_kind::Owner,
          .Help = "team whose token edits this section"};
}

const binding_table<service_policy> &serviceTable();
/// The keys that a policy section shares among services.
const binding_table<service_policy> &sharedPolicyTable();
const binding_table<control_policy> &controlTable();
const binding_table<data_centre_info> &dataCentreTable();
const binding_table<owner_info> &ownerTable();

} // namespace fulmar::document

#endif // FULMAR_DOCUMENT_SECTIONTABLES_H
