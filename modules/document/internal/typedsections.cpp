// Reads sections into their typed forms.

#include "sectiontables.h"

namespace fulmar::document {

namespace {

template <typename Section>
base::result<Section> parse(const std::string &Name, std::string_view Text,
                            const binding_table<Section> &Table,
                            Section Values = {}) {
  fault_list Faults;
  const value_map Read = readSection(Name, Text, Faults);
  checkValues(Name, schemaFrom(Table), Read, Faults);
  if (!Faults.empty())
    return base::fail(base::error_kind::InvalidDocument, toText(Faults));
  assign(Table, Read, Values);
  return Values;
}

} // namespace

base::result<service_policy> parseServicePolicy(std::string_view SectionText,
                                                std::string_view PolicyText) {
  service_policy Shared;
  if (!PolicyText.empty()) {
    BOOST_OUTCOME_TRY(Parsed, parse("policy", PolicyText, sharedPolicyTable()));
    Shared = std::move(Parsed);
  }
  return parse("service", SectionText, serviceTable(), std::move(Shared));
}

base::result<control_policy> parseControlPolicy(std::string_view SectionText) {
  return parse(std::string(ControlPolicySection), SectionText, controlTable());
}

base::result<data_centre_info> parseDataCentre(std::string_view SectionText) {
  return parse("data-centre", SectionText, dataCentreTable());
}

base::result<owner_info> parseOwner(std::string_view SectionText) {
  return parse("owner", SectionText, ownerTable());
}

} // namespace fulmar::document
