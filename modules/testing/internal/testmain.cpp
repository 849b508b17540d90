// Entry point of every module's test binary. Fixes RapidCheck's seed unless
// RC_PARAMS is set by the caller.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <cstdlib>

int main(int Argc, char **Argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  constexpr int KeepExisting = 0;
  setenv("RC_PARAMS", "seed=20231 max_success=200", KeepExisting);
  return CommandLineTestRunner::RunAllTests(Argc, Argv);
}
