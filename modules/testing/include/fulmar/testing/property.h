// Runs a RapidCheck property inside a CppUTest case. The seed is fixed by the
// test runner, so that every run draws the same cases.

#ifndef FULMAR_TESTING_PROPERTY_H
#define FULMAR_TESTING_PROPERTY_H

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>

namespace fulmar::testing {

/// Fails the current CppUTest case when \p Property does not hold.
template <typename Testable>
void checkProperty(const std::string &Description, Testable &&Property) {
  CHECK_TRUE_TEXT(rc::check(Description, std::forward<Testable>(Property)),
                  Description.c_str());
}

} // namespace fulmar::testing

#endif // FULMAR_TESTING_PROPERTY_H
