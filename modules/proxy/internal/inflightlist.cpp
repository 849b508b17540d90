// The requests that a server has in flight.

#include "inflightlist.h"

#include "fulmar/proxy/connection.h"

#include <utility>

namespace fulmar::proxy {

std::uint64_t in_flight_list::add(remaining_request Request) {
  const std::lock_guard Lock(Mutex);
  Requests.emplace(++LastId, std::move(Request));
  return LastId;
}

void in_flight_list::describe(std::uint64_t Id, const std::string &Method,
                              const std::string &Path) {
  const std::lock_guard Lock(Mutex);
  remaining_request &Request = Requests[Id];
  Request.Method = Method;
  Request.Path = Path;
}

void in_flight_list::remove(std::uint64_t Id) {
  const std::lock_guard Lock(Mutex);
  Requests.erase(Id);
  if (Requests.empty())
    Emptied.notify_all();
}

std::size_t in_flight_list::size() const {
  const std::lock_guard Lock(Mutex);
  return Requests.size();
}

std::vector<remaining_request>
in_flight_list::waitEmpty(base::instant Deadline) {
  std::unique_lock Lock(Mutex);
  Emptied.wait_for(Lock, Deadline - currentInstant(),
                   [this] { return Requests.empty(); });
  std::vector<remaining_request> Left;
  for (const auto &[Id, Request] : Requests)
    Left.push_back(Request);
  return Left;
}

} // namespace fulmar::proxy
