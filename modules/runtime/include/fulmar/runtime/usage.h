// The texts of --help and --version, the same way in every program.

#ifndef FULMAR_RUNTIME_USAGE_H
#define FULMAR_RUNTIME_USAGE_H

#include <string>

namespace fulmar::runtime {

/// Sets the texts. \p OwnFile names the source file that defines the program's
/// flags, e.g. "main.cpp": --help lists the flags of such files and no others.
void setUsage(const std::string &Name, const std::string &Text,
              const std::string &OwnFile);

} // namespace fulmar::runtime

#endif // FULMAR_RUNTIME_USAGE_H
