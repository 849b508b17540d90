// The machine's own files, through POSIX calls.

#ifndef FULMAR_JOURNAL_POSIXFILESYSTEM_H
#define FULMAR_JOURNAL_POSIXFILESYSTEM_H

#include "fulmar/journal/ifilesystem.h"

namespace fulmar::journal {

class posix_filesystem final : public ifilesystem {
public:
  base::result<void> createFolder(const std::string &Folder) override;
  /// Locks the file LOCK in \p Folder by flock.
  base::result<std::unique_ptr<ifolder_lock>>
  lockFolder(const std::string &Folder) override;
  base::result<std::unique_ptr<ifile>> open(const std::string &Path) override;
  base::result<std::string> read(const std::string &Path) override;
  base::result<void> rename(const std::string &From,
                            const std::string &To) override;
  base::result<void> remove(const std::string &Path) override;
  base::result<std::vector<std::string>>
  list(const std::string &Folder) override;
  base::result<void> syncFolder(const std::string &Folder) override;
};

} // namespace fulmar::journal

#endif // FULMAR_JOURNAL_POSIXFILESYSTEM_H
