// The source of randomness of the decision modules, always passed in with a
// seed. Draw from it with absl::Uniform.

#ifndef FULMAR_BASE_RANDOM_H
#define FULMAR_BASE_RANDOM_H

#include <absl/random/random.h>

#include <random>

namespace fulmar::base {

using random_source = std::mt19937_64;

} // namespace fulmar::base

#endif // FULMAR_BASE_RANDOM_H
