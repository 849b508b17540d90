#include "fulmar/directory/freshness.h"

#include <algorithm>

namespace fulmar::directory {

void freshness::onAnswer(base::instant SentAt, base::duration ProofAge) {
  const base::duration Age = std::max(ProofAge, base::duration(0));
  const base::instant ConfirmedAt = SentAt - Age;
  if (!ProvedAt || ConfirmedAt > *ProvedAt)
    ProvedAt = ConfirmedAt;
}

bool freshness::mayStartWork(base::instant Now) const {
  return ProvedAt && Now - *ProvedAt <= Permission;
}

std::optional<base::duration> freshness::age(base::instant Now) const {
  if (!ProvedAt)
    return std::nullopt;
  return Now - *ProvedAt;
}

} // namespace fulmar::directory
