// Tests of the command line's flag names.

#include "fulmar/runtime/program.h"

#include <CppUTest/TestHarness.h>

using fulmar::runtime::withUnderscores;

TEST_GROUP(Program){};

TEST(Program, dashesInFlagNamesBecomeUnderscores) {
  char Name[] = "program";
  char Flag[] = "--check-settings=a-b";
  char End[] = "--";
  char Rest[] = "--left-alone";
  char *Argv[] = {Name, Flag, End, Rest};
  const auto Words = withUnderscores(4, Argv);
  STRCMP_EQUAL("--check_settings=a-b", Words[1].c_str());
  STRCMP_EQUAL("--left-alone", Words[3].c_str());
}
