#include "base/Endpoint.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    RC_GTEST_PROP(Endpoint, formattedEndpointParsesToTheSame, (std::uint32_t address, std::uint16_t port))
    {
        RC_PRE(port != 0);
        const Endpoint endpoint { address, port };
        RC_ASSERT(parseEndpoint(formatEndpoint(endpoint)).value() == endpoint);
        RC_ASSERT(Endpoint::fromPacked(endpoint.packed()) == endpoint);
    }

    TEST(Endpoint, malformedTextIsQuotedInTheError)
    {
        for (const char* const text :
            { "", "1.2.3.4", "1.2.3:80", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4:8x", "a:1" }) {
            const Outcome<Endpoint> parsed = parseEndpoint(text);
            ASSERT_FALSE(parsed.has_value()) << text;
            EXPECT_EQ(parsed.error().m_kind, ErrorKind::InvalidInput);
            EXPECT_NE(parsed.error().m_message.find('"'), std::string::npos);
        }
    }

} // namespace
} // namespace cuminrelay
