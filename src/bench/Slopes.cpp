#include "bench/Slopes.h"

#include "admission/UnlimitedAdmission.h"
#include "base/Time.h"
#include "configuration/ConfigurationJson.h"
#include "configuration/ConfigurationMessage.h"
#include "flows/FlowRouter.h"
#include "members/HeartbeatMessage.h"
#include "placement/BoundedLoadPlacement.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <fmt/format.h>
#include <functional>
#include <vector>

namespace cuminrelay {

namespace {

    constexpr double c_microsecondsPerMillisecond = 1e3;

    /// One measured quantity: its points and their least-squares line.
    struct Slope {
        std::string_view m_quantity;
        std::string_view m_unit;
        std::string_view m_variable; ///< independent variable
        struct Point {
            double m_x = 0;
            double m_y = 0;
        };
        std::vector<Point> m_points;

        double slope() const
        {
            double sumX = 0;
            double sumY = 0;
            double sumXX = 0;
            double sumXY = 0;
            for (const Point& point : m_points) {
                sumX += point.m_x;
                sumY += point.m_y;
                sumXX += point.m_x * point.m_x;
                sumXY += point.m_x * point.m_y;
            }
            const double count = static_cast<double>(m_points.size());
            return (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
        }

        double intercept() const
        {
            double sumX = 0;
            double sumY = 0;
            for (const Point& point : m_points) {
                sumX += point.m_x;
                sumY += point.m_y;
            }
            const double count = static_cast<double>(m_points.size());
            return (sumY - slope() * sumX) / count;
        }
    };

    Slope sweep(std::string_view quantity, std::string_view unit, std::string_view variable,
        std::span<const std::size_t> sizes, const std::function<double(std::size_t)>& measure)
    {
        Slope slope { quantity, unit, variable, {} };
        for (const std::size_t size : sizes)
            slope.m_points.push_back({ static_cast<double>(size), measure(size) });
        return slope;
    }

    double millisecondsOf(const std::function<void()>& work)
    {
        const SystemClock clock;
        const Instant begin = clock.now();
        work();
        return static_cast<double>((clock.now() - begin).count()) / c_microsecondsPerMillisecond;
    }

    /// A configuration with eight zones and backend servers distributed evenly over the services.
    Configuration makeConfiguration(std::size_t backendServers, std::size_t services)
    {
        constexpr std::size_t zones = 8;
        Configuration configuration;
        configuration.m_version = ConfigVersion { 1 };
        for (std::size_t zone = 0; zone < zones; ++zone)
            configuration.m_zones.push_back(fmt::format("zone-{}", zone));
        for (std::size_t i = 0; i < services; ++i) {
            Service service;
            service.m_name = fmt::format("service-{:03}", i);
            service.m_address = Endpoint { static_cast<std::uint32_t>(0x0a020000 + i), 443 };
            service.m_selector.m_requirements = { { "app", SelectorOperator::Equals, { service.m_name } } };
            configuration.m_services.push_back(service);
        }
        for (std::size_t i = 0; i < backendServers; ++i) {
            BackendServer server;
            server.m_name = fmt::format("backend-{:04}", i);
            server.m_zone = configuration.m_zones[(i / services) % zones];
            server.m_tunnel = Endpoint { static_cast<std::uint32_t>(0x0a100000 + i), 5555 };
            server.m_report = Endpoint { static_cast<std::uint32_t>(0x0a100000 + i), 8080 };
            server.m_connectionLimit = 2000;
            server.m_slots = 2;
            server.m_labels = { { "app", configuration.m_services[i % services].m_name }, { "tier", "serving" } };
            configuration.m_backendServers.push_back(server);
        }
        return configuration;
    }

    MemberView makeMembers(std::size_t count)
    {
        constexpr std::size_t zones = 8;
        MemberView view { 1, {} };
        for (std::size_t i = 0; i < count; ++i) {
            Member member;
            member.m_peers = Endpoint { static_cast<std::uint32_t>(0x0a000000 + i), 4001 };
            member.m_replica = Endpoint { member.m_peers.m_address, 4002 };
            member.m_control = Endpoint { member.m_peers.m_address, 4003 };
            member.m_name = fmt::format("entry-{:03}", i);
            member.m_zone = fmt::format("zone-{}", i % zones);
            member.m_incarnation = i + 1;
            view.m_members.push_back(member);
        }
        return view;
    }

    double encodedBytes(capnp::MessageBuilder& message)
    {
        return static_cast<double>(capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word));
    }

    double updateBytes(const Configuration& base, const Configuration& target)
    {
        capnp::MallocMessageBuilder message;
        writeUpdate(base, target, message.initRoot<wire::ConfigurationUpdate>());
        return encodedBytes(message);
    }

    double changeBytes(std::size_t changed)
    {
        const Configuration base = makeConfiguration(3500, 600);
        Configuration target = base;
        target.m_version = ConfigVersion { 2 };
        for (std::size_t i = 0; i < changed; ++i)
            target.m_backendServers[i].m_labels["tier"] = "standby";
        return updateBytes(base, target);
    }

    double heartbeatBytes(std::size_t reports)
    {
        Heartbeat heartbeat;
        heartbeat.m_memberHeartbeat.m_sender = makeMembers(1).m_members.front();
        heartbeat.m_reports.resize(reports);
        capnp::MallocMessageBuilder message;
        writeHeartbeat(heartbeat, Instant {}, message.initRoot<wire::Heartbeat>());
        return encodedBytes(message);
    }

    double summaryBytes(std::size_t members)
    {
        Heartbeat heartbeat;
        heartbeat.m_memberHeartbeat.m_sender = makeMembers(1).m_members.front();
        ZoneSummary summary;
        summary.m_zone = "zone-0";
        for (const Member& member : makeMembers(members).m_members)
            summary.m_members.push_back({ member, 1, {} });
        heartbeat.m_summaries.push_back(summary);
        capnp::MallocMessageBuilder message;
        writeHeartbeat(heartbeat, Instant {}, message.initRoot<wire::Heartbeat>());
        return encodedBytes(message);
    }

    double tableKilobytes(std::size_t services)
    {
        const ServiceTables tables { makeConfiguration(services * 6, services) };
        return static_cast<double>(tables.memoryBytes()) / 1e3;
    }

    double tableMilliseconds(std::size_t services)
    {
        const Configuration configuration = makeConfiguration(services * 6, services);
        return millisecondsOf([&] { const ServiceTables tables { configuration }; });
    }

    double changedTableMilliseconds(std::size_t services)
    {
        const Configuration configuration = makeConfiguration(services * 6, services);
        const ServiceTables before { configuration };
        Configuration changed = configuration;
        changed.m_version = ConfigVersion { 2 };
        changed.m_backendServers.front().m_labels["app"] = "none";
        return millisecondsOf([&] { const ServiceTables tables { changed, &before }; });
    }

    double viewMilliseconds(std::size_t members)
    {
        BoundedLoadPlacement placement;
        UnlimitedAdmission admission;
        MemberView view = makeMembers(members);
        FlowRouter router { view.m_members.front().m_peers, placement, admission, FlowRouter::Limits {} };
        router.installConfiguration(makeConfiguration(700, 100), Instant { Duration { 1 } });
        router.installMembers(view, Instant { Duration { 1 } });
        view.m_members.pop_back();
        return millisecondsOf([&] { router.installMembers(view, Instant { Duration { 2 } }); });
    }

    std::vector<Slope> measureAll()
    {
        const std::vector<std::size_t> services { 75, 150, 300, 600 };
        const std::vector<std::size_t> backends { 500, 1000, 2000, 3500 };
        const std::vector<std::size_t> members { 8, 88, 350, 700 };
        const std::vector<std::size_t> itemCounts { 1, 4, 16, 64 };
        return {
            sweep("configuration object", "bytes", "backend servers", backends,
                [](std::size_t size) {
                    return static_cast<double>(formatConfiguration(makeConfiguration(size, 600)).size());
                }),
            sweep("configuration object decoded", "ms", "backend servers", backends,
                [](std::size_t size) {
                    const std::string text = formatConfiguration(makeConfiguration(size, 600));
                    return millisecondsOf([&] { (void)parseConfiguration(text, ConfigVersion { 1 }); });
                }),
            sweep("whole configuration between peers", "bytes", "backend servers", backends,
                [](std::size_t size) { return updateBytes(Configuration {}, makeConfiguration(size, 600)); }),
            sweep("configuration update between peers", "bytes", "changed backend servers", itemCounts, changeBytes),
            sweep("heartbeat", "bytes", "reports", itemCounts, heartbeatBytes),
            sweep("zone summary", "bytes", "changed members", itemCounts, summaryBytes),
            sweep("service tables", "KB", "services", services, tableKilobytes),
            sweep("service tables built anew", "ms", "services", services, tableMilliseconds),
            sweep("service tables after one change", "ms", "services", services, changedTableMilliseconds),
            sweep("view of the members installed", "ms", "members", members, viewMilliseconds),
        };
    }

} // namespace

std::string runSlopes(ReportFormat format)
{
    std::string text;
    for (const Slope& slope : measureAll()) {
        std::string points;
        for (const Slope::Point& point : slope.m_points) {
            if (format == ReportFormat::Json)
                points += fmt::format("{}[{:.0f},{:.3f}]", points.empty() ? "" : ",", point.m_x, point.m_y);
            else
                points += fmt::format("{}{:.0f}: {:.1f}", points.empty() ? "" : ", ", point.m_x, point.m_y);
        }
        if (format == ReportFormat::Json)
            text += fmt::format("{{\"quantity\":\"{}\",\"unit\":\"{}\",\"against\":\"{}\",\"intercept\":{:.4f},"
                                "\"slope\":{:.6f},\"points\":[{}]}}\n",
                slope.m_quantity, slope.m_unit, slope.m_variable, slope.intercept(), slope.slope(), points);
        else
            text += fmt::format("{} ({}): {:.1f} + {:.4f} for each of the {}  [{}]\n", slope.m_quantity, slope.m_unit,
                slope.intercept(), slope.slope(), slope.m_variable, points);
    }
    return text;
}

} // namespace cuminrelay
