#pragma once

namespace cuminrelay {

/// Writes the violated invariant with its file and line to standard error and aborts the process.
[[noreturn]] void failAssertion(const char* condition, const char* message, const char* file, int line);

} // namespace cuminrelay

/// Aborts the process when an internal invariant is violated. Failures with an external cause are Outcome values.
#define CR_ASSERT(condition, message)                                                                                  \
    do {                                                                                                               \
        if (!(condition))                                                                                              \
            ::cuminrelay::failAssertion(#condition, message, __FILE__, __LINE__);                                      \
    } while (false)
