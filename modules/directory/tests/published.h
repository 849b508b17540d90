// Members in the form in which control instances publish them.

#ifndef FULMAR_DIRECTORY_TESTS_PUBLISHED_H
#define FULMAR_DIRECTORY_TESTS_PUBLISHED_H

#include "fulmar/directory/membership.h"

#include <json/writer.h>

#include <memory>
#include <string>

namespace fulmar::directory {

inline member entryAt(const std::string &Id, const std::string &DataCentre,
                      const std::string &Incarnation = "1") {
  return {.Id = base::instance_id(Id),
          .Incarnation = Incarnation,
          .DataCentre = base::data_centre_name(DataCentre),
          .Region = "r",
          .Address = "10.0.0.1:1",
          .RpcAddress = "10.0.0.1:2"};
}

inline member stopping(member Member) {
  Member.Stopping = true;
  return Member;
}

inline std::string textOf(const member &Member) {
  return Json::writeString(Json::StreamWriterBuilder(), toJson(Member));
}

inline std::shared_ptr<const membership>
viewOf(const publication::published_items &Items) {
  return std::make_shared<const membership>(membership::fromItems(Items));
}

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_TESTS_PUBLISHED_H
