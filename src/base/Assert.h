#pragma once

namespace cuminrelay {

/// Writes the violated invariant with its place to standard error and ends the process.
[[noreturn]] void failAssertion(const char* condition, const char* message, const char* file, int line);

} // namespace cuminrelay

/// Stops the process when an invariant of our own is broken. Never used for anything that the outside can cause:
/// that is an Outcome value.
#define CR_ASSERT(condition, message)                                                                                  \
    do {                                                                                                               \
        if (!(condition))                                                                                              \
            ::cuminrelay::failAssertion(#condition, message, __FILE__, __LINE__);                                      \
    } while (false)
