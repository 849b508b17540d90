// What the document says of one data centre.

#ifndef FULMAR_DOCUMENT_DATACENTREINFO_H
#define FULMAR_DOCUMENT_DATACENTREINFO_H

#include "fulmar/base/result.h"

#include <chrono>
#include <compare>
#include <string>
#include <string_view>

namespace fulmar::document {

/// Immutable once parsed. Whether the data centre is in service is no part of
/// the document: no edit takes one out or returns it.
struct data_centre_info {
  /// Team whose token edits the section and takes the data centre out.
  std::string Owner;
  /// Data centres of one region are near to each other.
  std::string Region;
  /// Duration of the ramp after the data centre returns.
  std::string Contact;

  friend auto operator<=>(const data_centre_info &,
                          const data_centre_info &) = default;
};

/// Fails with InvalidDocument, listing every fault.
base::result<data_centre_info> parseDataCentre(std::string_view SectionText);

} // namespace fulmar::document

#endif // FULMAR_DOCUMENT_DATACENTREINFO_H
