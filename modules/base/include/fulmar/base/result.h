// The result type of every operation that can fail. Exceptions of libraries
// are caught at the border of the module that uses them and become errors.

#ifndef FULMAR_BASE_RESULT_H
#define FULMAR_BASE_RESULT_H

#include "fulmar/base/baseerrors.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <utility>

namespace fulmar::base {

/// A value or an error. Reading the wrong side ends the process.
template <typename Value>
using result =
    boost::outcome_v2::basic_result<Value, error,
                                    boost::outcome_v2::policy::terminate>;

/// Builds the failed side of a result.
inline auto fail(error_kind Kind, std::string Message) {
  return boost::outcome_v2::failure(error{Kind, std::move(Message)});
}

/// Builds the successful side of a result<void>.
inline auto success() { return boost::outcome_v2::success(); }

} // namespace fulmar::base

#endif // FULMAR_BASE_RESULT_H
