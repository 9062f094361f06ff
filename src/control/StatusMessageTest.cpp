#include "control/StatusMessage.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    TEST(StatusMessage, hasTheDocumentedFormat)
    {
        ZoneStatus status;
        status.m_zone = "khomas-a";
        status.m_reader = "entry-1";
        Member member;
        member.m_name = "entry-1";
        member.m_state = MemberState::Leaving;
        member.m_incarnation = 7;
        status.m_members = { { member, MemberStatistics { ConfigVersion { 3 }, 10, 2 } } };
        status.m_reports = { BackendReport { { 0x7f000001, 80 }, BackendHealth::Partitioned, false, 5, 2, 1, {} } };
        status.m_partitionedZones = { "khomas-b" };
        EXPECT_EQ(formatZoneStatus(status, 42),
            R"({"reader":"entry-1","members":[{"name":"entry-1","state":"leaving","config_version":3,"flows":10,)"
            R"("exceptions":2,"incarnation":7}],"backend_servers":[{"tunnel":"127.0.0.1:80","health":"beyond_cut",)"
            R"("connections":5,"busy_slots":2,"queued":1}],"cut_off_zones":["khomas-b"],"unix_ms":42})");
    }

} // namespace
} // namespace cuminrelay
