// Files in memory that lose unsynced data at a crash, tear writes, run full,
// fail to sync, and crash at a chosen operation.

#ifndef FULMAR_JOURNAL_MEMORYFILESYSTEM_H
#define FULMAR_JOURNAL_MEMORYFILESYSTEM_H

#include "fulmar/base/random.h"
#include "fulmar/journal/ifilesystem.h"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fulmar::journal {

class memory_filesystem final : public ifilesystem {
public:
  /// The operation with this number, and all after it, fail.
  std::size_t CrashAt = std::numeric_limits<std::size_t>::max();
  std::size_t Operations = 0;
  /// Bytes that all files together may hold.
  std::size_t Capacity = std::numeric_limits<std::size_t>::max();
  bool FailSync = false;

  [[nodiscard]] bool crashed() const { return Operations > CrashAt; }

  /// Restarts the machine: what was not synced survives at random.
  void restart(base::random_source &Random) {
    const std::size_t Kept = Random() % (PendingNames.size() + 1);
    for (std::size_t I = 0; I < Kept; ++I)
      PendingNames[I].applyTo(DurableNames);
    PendingNames.clear();
    for (auto &[Path, Node] : DurableNames) {
      const std::string Survived = tear(*Node, Random);
      Node = std::make_shared<node>(node{Survived, Survived});
    }
    Names = DurableNames;
    restartProcess();
  }

  /// Restarts the process alone: the kernel keeps what was written.
  void restartProcess() {
    CrashAt = std::numeric_limits<std::size_t>::max();
    Operations = 0;
    Locked = std::make_shared<bool>(false);
  }

  /// The disk is replaced by an empty one.
  void wipe() {
    Names.clear();
    DurableNames.clear();
    PendingNames.clear();
    restartProcess();
  }

  [[nodiscard]] std::map<std::string, std::string> contents() const {
    std::map<std::string, std::string> Files;
    for (const auto &[Path, Node] : Names)
      Files[Path] = Node->Current;
    return Files;
  }

  void setContents(const std::map<std::string, std::string> &Files) {
    wipe();
    for (const auto &[Path, Bytes] : Files)
      Names[Path] = std::make_shared<node>(node{Bytes, Bytes});
    DurableNames = Names;
  }

  base::result<void> createFolder(const std::string & /*Folder*/) override {
    return base::success();
  }

  base::result<std::unique_ptr<ifolder_lock>>
  lockFolder(const std::string &Folder) override {
    if (*Locked)
      return base::fail(base::error_kind::Conflict, Folder + " is in use");
    return std::unique_ptr<ifolder_lock>(std::make_unique<lock>(Locked));
  }

  base::result<std::unique_ptr<ifile>> open(const std::string &Path) override {
    if (step())
      return crashError();
    if (!Names.contains(Path))
      change({.Path = Path, .Node = std::make_shared<node>()});
    return std::unique_ptr<ifile>(std::make_unique<file>(*this, Names[Path]));
  }

  base::result<std::string> read(const std::string &Path) override {
    if (crashed())
      return crashError();
    const auto Found = Names.find(Path);
    if (Found == Names.end())
      return base::fail(base::error_kind::Internal, "no file " + Path);
    return Found->second->Current;
  }

  base::result<void> rename(const std::string &From,
                            const std::string &To) override {
    if (step())
      return crashError();
    change({.Path = To, .Removed = From, .Node = Names.at(From)});
    return base::success();
  }

  base::result<void> remove(const std::string &Path) override {
    if (step())
      return crashError();
    change({.Removed = Path});
    return base::success();
  }

  base::result<std::vector<std::string>>
  list(const std::string &Folder) override {
    std::vector<std::string> Found;
    for (const auto &[Path, Node] : Names) {
      if (Path.starts_with(Folder + "/"))
        Found.push_back(Path.substr(Folder.size() + 1));
    }
    return Found;
  }

  base::result<void> syncFolder(const std::string & /*Folder*/) override {
    if (step())
      return crashError();
    if (FailSync)
      return base::fail(base::error_kind::Internal, "folder sync failed");
    DurableNames = Names;
    PendingNames.clear();
    return base::success();
  }

private:
  struct node {
    std::string Current;
    std::string Durable;
  };
  using name_map = std::map<std::string, std::shared_ptr<node>>;

  struct name_change {
    std::string Path;
    std::string Removed;
    std::shared_ptr<node> Node;

    void applyTo(name_map &Target) const {
      Target.erase(Removed);
      if (Node)
        Target[Path] = Node;
    }
  };

  class lock final : public ifolder_lock {
  public:
    explicit lock(std::shared_ptr<bool> Flag) : Held(std::move(Flag)) {
      *Held = true;
    }
    ~lock() override { *Held = false; }

  private:
    std::shared_ptr<bool> Held;
  };

  class file final : public ifile {
  public:
    file(memory_filesystem &Filesystem, std::shared_ptr<node> Opened)
        : Files(Filesystem), Node(std::move(Opened)) {}

    base::result<void> append(std::string_view Data) override {
      const std::size_t Room = Files.room();
      Node->Current += Data.substr(0, Room);
      if (Files.step())
        return crashError();
      if (Data.size() > Room)
        return base::fail(base::error_kind::StorageFull, "disk is full");
      return base::success();
    }
    base::result<void> sync() override {
      if (Files.step())
        return crashError();
      if (Files.FailSync)
        return base::fail(base::error_kind::Internal, "sync failed");
      Node->Durable = Node->Current;
      return base::success();
    }
    base::result<void> truncate(std::uint64_t Size) override {
      if (Files.step())
        return crashError();
      Node->Current.resize(Size);
      return base::success();
    }

  private:
    memory_filesystem &Files;
    std::shared_ptr<node> Node;
  };

  static decltype(base::fail({}, {})) crashError() {
    return base::fail(base::error_kind::Internal, "crashed");
  }

  bool step() {
    ++Operations;
    return crashed();
  }

  [[nodiscard]] std::size_t room() const {
    std::size_t Used = 0;
    for (const auto &[Path, Node] : Names)
      Used += Node->Current.size();
    return Used > Capacity ? 0 : Capacity - Used;
  }

  void change(const name_change &Change) {
    Change.applyTo(Names);
    PendingNames.push_back(Change);
  }

  static std::string tear(const node &Node, base::random_source &Random) {
    const std::string &Durable = Node.Durable;
    const std::string &Current = Node.Current;
    if (!Current.starts_with(Durable))
      return Random() % 2 == 0 ? Durable : Current;
    const std::size_t Unsynced = Current.size() - Durable.size();
    switch (Random() % 5) {
    case 0:
      return Durable;
    case 1:
      return Current;
    case 2:
      return Current.substr(0, Durable.size() + Random() % (Unsynced + 1));
    case 3:
      return losePages(Current, Durable.size(), Random, 2);
    default:
      return losePages(Current, Durable.size(), Random, 8);
    }
  }

  /// Pages are written out in any order: one in \p Share is still missing.
  static std::string losePages(std::string Bytes, std::size_t From,
                               base::random_source &Random,
                               std::uint64_t Share) {
    constexpr std::size_t PageBytes = 16;
    for (std::size_t At = From; At < Bytes.size(); At += PageBytes) {
      if (Random() % Share == 0)
        std::fill_n(Bytes.begin() + static_cast<std::ptrdiff_t>(At),
                    std::min(PageBytes, Bytes.size() - At), '\0');
    }
    return Bytes;
  }

  name_map Names;
  name_map DurableNames;
  std::vector<name_change> PendingNames;
  std::shared_ptr<bool> Locked = std::make_shared<bool>(false);
};

} // namespace fulmar::journal

#endif // FULMAR_JOURNAL_MEMORYFILESYSTEM_H
