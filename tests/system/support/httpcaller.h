// A caller for tests: one request on a connection of its own.

#ifndef FULMAR_TESTS_SYSTEM_HTTPCALLER_H
#define FULMAR_TESTS_SYSTEM_HTTPCALLER_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace fulmar::system_tests {

struct http_request {
  std::string Method = "GET";
  std::string Path = "/";
  std::map<std::string, std::string> Headers;
  std::string Body;
  std::chrono::milliseconds Timeout{10000};
};

struct http_answer {
  int Status = 0;
  std::map<std::string, std::string> Headers;
  std::string Body;

  [[nodiscard]] std::string header(const std::string &Name) const;
};

/// Empty when no complete answer came.
std::optional<http_answer> callHttp(const std::string &Address,
                                    const http_request &Request);

} // namespace fulmar::system_tests

#endif // FULMAR_TESTS_SYSTEM_HTTPCALLER_H
