// The keys of data centres and owners, and the schema of each section.

#include "sectiontables.h"

namespace fulmar::document {

namespace {

key_spec contactSpec() {
  return {.Key = "contact",
          .Type = key_type::Text,
          .Maximum = MaxTextBytes,
          .Help = "whom to ask"};
}

binding_table<data_centre_info> makeDataCentreTable() {
  return {
      {ownerSpec(), &data_centre_info::Owner},
      {{.Key = "region",
        .Type = key_type::Name,
        .Required = true,
        .Help = "region of the data centre"},
       &data_centre_info::Region},
      {contactSpec(), &data_centre_info::Contact},
  };
}

binding_table<owner_info> makeOwnerTable() {
  return {
      {{.Key = "token_hash",
        .Type = key_type::TokenHash,
        .Required = true,
        .Help = "salted hash of the team's token"},
       &owner_info::TokenHash},
      {contactSpec(), &owner_info::Contact},
  };
}

} // namespace

const binding_table<data_centre_info> &dataCentreTable() {
  static const binding_table<data_centre_info> Table = makeDataCentreTable();
  return Table;
}

const binding_table<owner_info> &ownerTable() {
  static const binding_table<owner_info> Table = makeOwnerTable();
  return Table;
}

const key_schema &schemaOf(const section_name &Section) {
  static const key_schema Service = schemaFrom(serviceTable());
  static const key_schema Shared = schemaFrom(sharedPolicyTable());
  static const key_schema Control = schemaFrom(controlTable());
  static const key_schema DataCentre = schemaFrom(dataCentreTable());
  static const key_schema Owner = schemaFrom(ownerTable());
  switch (Section.Kind) {
  case section_kind::Service:
    return Service;
  case section_kind::Policy:
    return Section.str() == ControlPolicySection ? Control : Shared;
  case section_kind::DataCentre:
    return DataCentre;
  case section_kind::Owner:
    return Owner;
  }
  return Service;
}

} // namespace fulmar::document
