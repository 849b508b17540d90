// What the logs of several processes say about one request: how it ended, what
// the instances that served it believed then, and how others fared with the
// same targets. Pure; the command reads the files and prints.

#ifndef FULMAR_CTL_REQUESTSTORY_H
#define FULMAR_CTL_REQUESTSTORY_H

#include "loglines.h"

#include <cstddef>
#include <string>
#include <vector>

namespace fulmar::ctl {

/// One send of a request to a target, as its closing line tells.
struct told_send {
  std::string Target;
  /// After the request's arrival.
  std::int64_t SentMs = 0;
  /// Running, waiting and sent since / slots x percent of the usual time.
  std::string Load;
  std::string Outcome;

  friend bool operator==(const told_send &, const told_send &) = default;
};

/// Other requests that were sent to a target around the same time.
struct neighbour_count {
  std::string Target;
  std::size_t Answered = 0;
  std::size_t Failed = 0;

  friend bool operator==(const neighbour_count &,
                         const neighbour_count &) = default;
};

struct request_story {
  /// The lines that close the request, one for each time that it arrived.
  std::vector<log_line> Ends;
  std::vector<std::vector<told_send>> Sends;
  /// Other arrivals of the same content: resends under other ids.
  std::vector<log_line> Resends;
  /// What each serving instance believed when the request ended.
  std::vector<log_line> Beliefs;
  /// Lines of any instance about the targets of the sends, before the end.
  std::vector<log_line> AboutTargets;
  std::vector<neighbour_count> Neighbours;
};

/// Sends from the field of that name, which separates them by commas.
std::vector<told_send> parseSends(const std::string &Field);

/// The story of the request with \p Id in \p Lines, which need no order.
/// Without a closing line the story is empty.
request_story storyOf(const std::string &Id, std::vector<log_line> Lines);

} // namespace fulmar::ctl

#endif // FULMAR_CTL_REQUESTSTORY_H
