/// @file
/// Cost of upstream limits for a request and for a host that receives gossiped
/// limits.
#include <benchmark/benchmark.h>
#include <quotas/shared_quota.hpp>
#include <upstream_limits/limit_message.hpp>

namespace
{

using namespace daleshelf;

constexpr int upstreams = 1700;

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Hours(1) + absl::Seconds(seconds);
}

upstream_incarnation upstream(int number)
{
    return {upstream_id("i-" + std::to_string(1000000 + number)),
            upstream_birth(1)};
}

// A host without peers, with a limit on every third upstream.
shared_quota quota_with_limits()
{
    shared_quota quota(host_id("a"), hall_id("north"), incarnation(1),
                       quota_options());
    quota.record_fleet_discovery(true, at(0));
    for (int number = 0; number < upstreams; number += 3)
    {
        quota.merge_limit({upstream(number), 500, at(0)}, at(0));
    }
    return quota;
}

void look_up_an_unlimited_upstream(benchmark::State& state)
{
    const auto quota = quota_with_limits();
    const auto id = upstream(1).id;
    for ([[maybe_unused]] auto each : state)
    {
        benchmark::DoNotOptimize(quota.limits().limit_of(id));
    }
}
BENCHMARK(look_up_an_unlimited_upstream);

void take_from_a_limit(benchmark::State& state)
{
    auto quota = quota_with_limits();
    const auto id = upstream(0).id;
    double second = 0;
    for ([[maybe_unused]] auto each : state)
    {
        second += 0.001;
        auto claim = quota.open_claim(id, 1, at(second));
        benchmark::DoNotOptimize(quota.advance(claim, at(second)));
    }
}
BENCHMARK(take_from_a_limit);

void keep_the_pools_of_limits(benchmark::State& state)
{
    auto quota = quota_with_limits();
    double second = 0;
    for ([[maybe_unused]] auto each : state)
    {
        second += 0.25;
        benchmark::DoNotOptimize(quota.tick(at(second)));
    }
}
BENCHMARK(keep_the_pools_of_limits);

void merge_a_datagram(benchmark::State& state)
{
    limit_table table;
    constexpr int updates = 64;
    std::vector<limit_record> records(updates);
    for (int number = 0; number < updates; ++number)
    {
        records[number] = {upstream(number), 2.5, at(1)};
    }
    const auto bytes = encode_limits(records);
    for ([[maybe_unused]] auto each : state)
    {
        const auto read = decode_limits(bytes);
        for (const auto& record : *read)
        {
            table.merge(record, at(2));
        }
    }
}
BENCHMARK(merge_a_datagram);

} // namespace

BENCHMARK_MAIN();
