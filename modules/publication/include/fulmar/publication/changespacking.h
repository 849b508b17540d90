// msgpack encoding of the types in publisheditems.h; see
// fulmar/claims/packing.h.

#ifndef FULMAR_PUBLICATION_CHANGESPACKING_H
#define FULMAR_PUBLICATION_CHANGESPACKING_H

#include "fulmar/claims/packing.h"
#include "fulmar/publication/publisheditems.h"

namespace fulmar::publication {

inline auto fieldsOf(item &Item) {
  return std::tie(Item.Key, Item.Serial, Item.Value);
}
inline auto fieldsOf(changes &Item) {
  return std::tie(Item.Since, Item.Until, Item.Digest, Item.Items);
}

} // namespace fulmar::publication

#endif // FULMAR_PUBLICATION_CHANGESPACKING_H
