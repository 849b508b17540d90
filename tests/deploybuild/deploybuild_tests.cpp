// The build of deploy/system.toml on a machine that is not a developer's: only
// the listed packages, another compiler, little memory.

#include <Poco/TemporaryFile.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

struct run_result {
  int Status = -1;
  std::string Output;
};

run_result runShell(const std::string &Command) {
  std::unique_ptr<FILE, int (*)(FILE *)> Pipe(
      popen((Command + " 2>&1").c_str(), "r"), nullptr);
  Pipe.get_deleter() = pclose;
  run_result Result;
  std::array<char, 4'096> Piece{};
  while (const auto Length =
             std::fread(Piece.data(), 1, Piece.size(), Pipe.get()))
    Result.Output.append(Piece.data(), Length);
  Result.Status = pclose(Pipe.release());
  return Result;
}

std::string contentOf(const std::string &File) {
  std::ostringstream Text;
  Text << std::ifstream(File).rdbuf();
  return Text.str();
}

/// A copy of the sources, as a checkout has them, and their deploy build.
class deploy_checkout {
public:
  deploy_checkout() {
    Folder.createDirectories();
    const run_result Copied =
        runShell("cd " FULMAR_SOURCE " && cp -r CMakeLists.txt cmake deploy "
                 "modules platform " +
                 Folder.path());
    CHECK_EQUAL_TEXT(0, Copied.Status, Copied.Output.c_str());
    const std::string Settings = contentOf(FULMAR_SOURCE "/deploy/system.toml");
    const std::string Key = "build = \"";
    const auto Begin = Settings.find(Key) + Key.size();
    Build = Settings.substr(Begin, Settings.find('"', Begin) - Begin);
  }

  /// Runs a command there with no more variables than an operator's build has,
  /// and \p Variables.
  [[nodiscard]] run_result run(const std::string &Command,
                               const std::string &Variables = "") const {
    return runShell("cd " + Folder.path() + " && env -i PATH=/usr/bin:/bin " +
                    "HOME=" + Folder.path() + " LANG=C " + Variables +
                    " sh -c '" + Command + "'");
  }
  [[nodiscard]] std::string configureCommand() const {
    return Build.substr(0, Build.find(" && "));
  }
  [[nodiscard]] const std::string &buildCommand() const { return Build; }
  [[nodiscard]] std::string pathOf(const std::string &File) const {
    return Folder.path() + "/" + File;
  }

private:
  Poco::TemporaryFile Folder;
  std::string Build;
};

} // namespace

TEST_GROUP(DeployBuild){};

TEST(DeployBuild, aWarningOfAnotherCompilerDoesNotFailIt) {
  const deploy_checkout Checkout;
  // Stands for a warning that a compiler of another version adds to -Wall.
  const run_result Built =
      Checkout.run(Checkout.configureCommand() +
                       " && cmake --build target --target fulmar_settings",
                   "CXXFLAGS=-Wpadded");
  CHECK_EQUAL_TEXT(0, Built.Status, Built.Output.c_str());
}

TEST(DeployBuild, startsOnlyAsManyCompilersAsFitIntoTheMemory) {
  const deploy_checkout Checkout;
  const run_result Configured = Checkout.run(Checkout.configureCommand() +
                                             " -DFULMAR_BUILD_MEMORY_MB=2500");
  CHECK_EQUAL_TEXT(0, Configured.Status, Configured.Output.c_str());
  const std::string Rules =
      contentOf(Checkout.pathOf("target/CMakeFiles/rules.ninja")) +
      contentOf(Checkout.pathOf("target/build.ninja"));
  // The largest compiler of the whole build takes 0.7 GB.
  CHECK_TEXT(Rules.find("pool compilers\n  depth = 2\n") != std::string::npos,
             "no pool of two compilers");
  CHECK_TEXT(Rules.find("pool = compilers") != std::string::npos,
             "the pool is not used");
}

TEST(DeployBuild, usesAllListedPackagesAndNoOthers) {
  const deploy_checkout Checkout;
  const run_result Built = Checkout.run(Checkout.buildCommand());
  CHECK_EQUAL_TEXT(0, Built.Status, Built.Output.c_str());
  const run_result Compared = runShell(
      FULMAR_SOURCE "/scripts/check-packages " + Checkout.pathOf("target"));
  CHECK_EQUAL_TEXT(0, Compared.Status, Compared.Output.c_str());
  // Without a settings file a program says so, if it can be loaded.
  for (const char *Program :
       {"fulmar-platform-control", "fulmar-platform-entry"}) {
    const run_result Started =
        Checkout.run(std::string("target/bin/") + Program);
    STRCMP_CONTAINS("--config=FILE is required", Started.Output.c_str());
  }
  STRCMP_EQUAL("", Compared.Output.c_str());
}
