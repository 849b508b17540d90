// What the document says of one team.

#ifndef FULMAR_DOCUMENT_OWNERINFO_H
#define FULMAR_DOCUMENT_OWNERINFO_H

#include "fulmar/base/result.h"

#include <compare>
#include <string>
#include <string_view>

namespace fulmar::document {

/// Immutable once parsed.
struct owner_info {
  /// Salted hash of the team's token.
  std::string TokenHash;
  std::string Contact;

  friend auto operator<=>(const owner_info &, const owner_info &) = default;
};

/// Fails with InvalidDocument, listing every fault.
base::result<owner_info> parseOwner(std::string_view SectionText);

} // namespace fulmar::document

#endif // FULMAR_DOCUMENT_OWNERINFO_H
