// Sends requests over kept connections and judges their answers.

#ifndef FULMAR_LOAD_LOADCLIENT_H
#define FULMAR_LOAD_LOADCLIENT_H

#include "fulmar/proxy/bodyreader.h"
#include "fulmar/proxy/connection.h"
#include "loadtypes.h"

#include <Poco/Net/HTTPResponse.h>

#include <map>
#include <memory>
#include <string>

namespace fulmar::load {

/// Owned by one worker.
class load_client {
public:
  explicit load_client(const load_options &Settings);

  load_answer exchange(const load_request &Request, const std::string &Address);

private:
  [[nodiscard]] std::string requestHead(const load_request &Request) const;
  bool sendRequest(proxy::connection &To, const load_request &Request,
                   base::instant Deadline);
  bool sendUpload(proxy::connection &To, base::instant Deadline);
  bool readHead(proxy::connection &From, base::instant Deadline,
                Poco::Net::HTTPResponse &Head);
  load_answer judge(proxy::connection &From, const load_request &Request,
                    const Poco::Net::HTTPResponse &Head, base::instant Deadline,
                    bool &Reusable);
  outcome checkBody(proxy::body_reader &Body, const load_request &Request,
                    base::instant Deadline) const;

  const load_options &Options;
  std::map<std::string, std::unique_ptr<proxy::connection>> Connections;
  // The upload is the same for all requests; so is its digest.
  std::string UploadBlock;
  std::uint64_t UploadDigest = 0;
};

} // namespace fulmar::load

#endif // FULMAR_LOAD_LOADCLIENT_H
