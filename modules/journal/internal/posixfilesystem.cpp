// POSIX calls with retries after signals and errors as results.

#include "fulmar/journal/posixfilesystem.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

namespace fulmar::journal {

namespace {

auto failure(const std::string &Call, const std::string &Path, int Code) {
  const bool Full = Code == ENOSPC || Code == EDQUOT;
  return base::fail(
      Full ? base::error_kind::StorageFull : base::error_kind::Internal,
      Call + " " + Path + ": " + std::generic_category().message(Code));
}

template <typename Call> auto retryInterrupted(Call Repeatable) {
  auto Returned = Repeatable();
  while (Returned < 0 && errno == EINTR)
    Returned = Repeatable();
  return Returned;
}

/// Owns a file descriptor.
class descriptor {
public:
  explicit descriptor(int Number) : Value(Number) {}
  descriptor(descriptor &&Other) noexcept
      : Value(std::exchange(Other.Value, -1)) {}
  descriptor &operator=(descriptor &&) = delete;
  ~descriptor() {
    if (Value >= 0)
      ::close(Value);
  }

  [[nodiscard]] int get() const { return Value; }

private:
  int Value;
};

class posix_file final : public ifile {
public:
  posix_file(descriptor Opened, std::string FilePath)
      : File(std::move(Opened)), Path(std::move(FilePath)) {}

  base::result<void> append(std::string_view Data) override {
    while (!Data.empty()) {
      const ssize_t Count = retryInterrupted(
          [&] { return ::write(File.get(), Data.data(), Data.size()); });
      if (Count < 0)
        return failure("write", Path, errno);
      Data.remove_prefix(static_cast<std::size_t>(Count));
    }
    return base::success();
  }

  base::result<void> sync() override {
    // Not repeated on failure: the kernel may have dropped the pages.
    if (::fdatasync(File.get()) != 0)
      return failure("fdatasync", Path, errno);
    return base::success();
  }

  base::result<void> truncate(std::uint64_t Size) override {
    const int Done = retryInterrupted(
        [&] { return ::ftruncate(File.get(), static_cast<off_t>(Size)); });
    if (Done != 0)
      return failure("ftruncate", Path, errno);
    return base::success();
  }

private:
  descriptor File;
  std::string Path;
};

class posix_lock final : public ifolder_lock {
public:
  explicit posix_lock(descriptor Locked) : File(std::move(Locked)) {}

private:
  descriptor File;
};

} // namespace

base::result<void> posix_filesystem::createFolder(const std::string &Folder) {
  std::error_code Code;
  std::filesystem::create_directories(Folder, Code);
  if (Code)
    return failure("mkdir", Folder, Code.value());
  return syncFolder(Folder + "/..");
}

base::result<std::unique_ptr<ifolder_lock>>
posix_filesystem::lockFolder(const std::string &Folder) {
  const std::string Path = Folder + "/LOCK";
  descriptor File(::open(Path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (File.get() < 0)
    return failure("open", Path, errno);
  if (retryInterrupted([&] { return ::flock(File.get(), LOCK_EX | LOCK_NB); }))
    return base::fail(base::error_kind::Conflict,
                      Folder + " is in use by another process");
  return std::unique_ptr<ifolder_lock>(
      std::make_unique<posix_lock>(std::move(File)));
}

base::result<std::unique_ptr<ifile>>
posix_filesystem::open(const std::string &Path) {
  descriptor File(
      ::open(Path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600));
  if (File.get() < 0)
    return failure("open", Path, errno);
  return std::unique_ptr<ifile>(
      std::make_unique<posix_file>(std::move(File), Path));
}

base::result<std::string> posix_filesystem::read(const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  std::string Bytes{std::istreambuf_iterator<char>(Stream),
                    std::istreambuf_iterator<char>()};
  if (!Stream.is_open() || Stream.bad())
    return base::fail(base::error_kind::Internal, "can't read " + Path);
  return Bytes;
}

base::result<void> posix_filesystem::rename(const std::string &From,
                                            const std::string &To) {
  if (::rename(From.c_str(), To.c_str()) != 0)
    return failure("rename", From, errno);
  return base::success();
}

base::result<void> posix_filesystem::remove(const std::string &Path) {
  if (::unlink(Path.c_str()) != 0)
    return failure("unlink", Path, errno);
  return base::success();
}

base::result<std::vector<std::string>>
posix_filesystem::list(const std::string &Folder) {
  std::error_code Code;
  std::vector<std::string> Names;
  for (std::filesystem::directory_iterator Entry(Folder, Code), End;
       !Code && Entry != End; Entry.increment(Code))
    Names.push_back(Entry->path().filename().string());
  if (Code)
    return failure("readdir", Folder, Code.value());
  std::sort(Names.begin(), Names.end());
  return Names;
}

base::result<void> posix_filesystem::syncFolder(const std::string &Folder) {
  const descriptor Opened(
      ::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (Opened.get() < 0)
    return failure("open", Folder, errno);
  if (::fsync(Opened.get()) != 0)
    return failure("fsync", Folder, errno);
  return base::success();
}

} // namespace fulmar::journal
