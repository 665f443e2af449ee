#include <gtest/gtest.h>

#include <ingress/route_table.hpp>

namespace daleshelf
{
namespace
{

ingress_route make_route(const std::string& host, const std::string& prefix,
                         const std::string& service)
{
    ingress_route route;
    route.host = host;
    route.path_prefix = prefix;
    route.targets = {{service_name(service), 1}};
    return route;
}

route_table make_table()
{
    ingress_configuration configuration;
    configuration.routes = {make_route("a.example", "/", "root"),
                            make_route("a.example", "/x/", "short"),
                            make_route("a.example", "/x/y/", "long"),
                            make_route("b.example", "/x/", "other")};
    ingress_tenant tenant;
    tenant.name = workspace_id("studio");
    tenant.keys = {"key-1", "key-2"};
    configuration.tenants = {tenant};
    return route_table(std::move(configuration));
}

std::string service_of(const route_table& table, const std::string& host,
                       const std::string& target)
{
    const auto* route = table.find_route(host, target);
    return route == nullptr ? "" : route->targets.front().service.value();
}

TEST(route_table, picks_the_longest_prefix_of_the_host)
{
    const auto table = make_table();
    EXPECT_EQ(service_of(table, "a.example", "/x/y/z"), "long");
    EXPECT_EQ(service_of(table, "a.example", "/x/q?/x/y/"), "short");
    EXPECT_EQ(service_of(table, "A.Example:8080", "/q"), "root");
    EXPECT_EQ(service_of(table, "b.example", "/x/y/"), "other");
}

TEST(route_table, finds_nothing_where_there_is_no_route)
{
    const auto table = make_table();
    EXPECT_EQ(table.find_route("c.example", "/x/"), nullptr);
    EXPECT_EQ(table.find_route("b.example", "/"), nullptr);
    EXPECT_EQ(table.find_route("b.example", "/x"), nullptr);
}

TEST(route_table, finds_the_tenant_that_holds_a_key)
{
    const auto table = make_table();
    ASSERT_NE(table.find_tenant("key-2"), nullptr);
    EXPECT_EQ(table.find_tenant("key-2")->name.value(), "studio");
    EXPECT_EQ(table.find_tenant("key-3"), nullptr);
    EXPECT_EQ(table.find_tenant(""), nullptr);
}

TEST(route_table, splits_requests_by_weight)
{
    auto route = make_route("h", "/", "a");
    route.targets = {{service_name("a"), 90}, {service_name("b"), 10}};
    EXPECT_EQ(route_table::pick_target(route, 0.0).value(), "a");
    EXPECT_EQ(route_table::pick_target(route, 0.899).value(), "a");
    EXPECT_EQ(route_table::pick_target(route, 0.901).value(), "b");
    EXPECT_EQ(route_table::pick_target(route, 0.9999).value(), "b");
}

} // namespace
} // namespace daleshelf
