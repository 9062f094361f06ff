#include "base/Assert.h"

#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>

namespace cuminrelay {

void failAssertion(const char* condition, const char* message, const char* file, int line)
{
    fmt::print(stderr,
        "{{\"level\":\"fatal\",\"event\":\"broken_invariant\",\"condition\":\"{}\",\"message\":\"{}\",\"at\":\"{}:{}\"}"
        "}\n",
        condition, message, file, line);
    std::abort();
}

} // namespace cuminrelay
