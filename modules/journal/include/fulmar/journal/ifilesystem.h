// The files under the data folder as the journal sees them. An implementation
// reports a full disk as StorageFull and every other failure as Internal.

#ifndef FULMAR_JOURNAL_IFILESYSTEM_H
#define FULMAR_JOURNAL_IFILESYSTEM_H

#include "fulmar/base/result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::journal {

/// A file open for appending.
class ifile {
public:
  virtual ~ifile() = default;

  /// Writes at the end. After a failure any part of \p Data may be there.
  virtual base::result<void> append(std::string_view Data) = 0;
  /// Makes all bytes of the file durable. After a failure nothing is known
  /// about the bytes written since the last success.
  virtual base::result<void> sync() = 0;
  /// Cuts the file off after \p Size bytes.
  virtual base::result<void> truncate(std::uint64_t Size) = 0;
};

/// Holds a folder for this process until destroyed.
class ifolder_lock {
public:
  virtual ~ifolder_lock() = default;
};

class ifilesystem {
public:
  virtual ~ifilesystem() = default;

  /// Creates \p Folder and its parents where they are missing.
  virtual base::result<void> createFolder(const std::string &Folder) = 0;
  /// Fails with Conflict when another process holds the folder.
  virtual base::result<std::unique_ptr<ifolder_lock>>
  lockFolder(const std::string &Folder) = 0;
  /// Opens a file for appending and creates it where it is missing.
  virtual base::result<std::unique_ptr<ifile>>
  open(const std::string &Path) = 0;
  /// The whole file.
  virtual base::result<std::string> read(const std::string &Path) = 0;
  /// Replaces \p To by \p From in one step.
  virtual base::result<void> rename(const std::string &From,
                                    const std::string &To) = 0;
  virtual base::result<void> remove(const std::string &Path) = 0;
  /// Names of the files in \p Folder, sorted.
  virtual base::result<std::vector<std::string>>
  list(const std::string &Folder) = 0;
  /// Makes creations, renames and removals in \p Folder durable.
  virtual base::result<void> syncFolder(const std::string &Folder) = 0;
};

} // namespace fulmar::journal

#endif // FULMAR_JOURNAL_IFILESYSTEM_H
