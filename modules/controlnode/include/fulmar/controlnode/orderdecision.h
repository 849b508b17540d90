// What follows the reply to a numbered order on a data centre.

#ifndef FULMAR_CONTROLNODE_ORDERDECISION_H
#define FULMAR_CONTROLNODE_ORDERDECISION_H

#include "fulmar/base/result.h"
#include "fulmar/controlstate/replies.h"

#include <cstdint>

namespace fulmar::controlnode {

enum class order_step : std::uint8_t {
  /// The order took effect.
  Acknowledge,
  /// Its number was taken by another order or by an earlier attempt.
  NumberAgain,
  /// Its outcome is an error.
  Fail,
};

/// An instance that is behind numbers an order too low. The reply to the
/// operation that took the number must not be taken for an acknowledgement:
/// further operations may have followed it.
order_step stepAfter(const base::result<controlstate::reply> &Reply);

} // namespace fulmar::controlnode

#endif // FULMAR_CONTROLNODE_ORDERDECISION_H
