/// @file
/// Time and allocations of one routing decision, by the number of upstreams.
#include <atomic>
#include <benchmark/benchmark.h>
#include <cstdlib>
#include <new>
#include <routing/load_table.hpp>
#include <routing/router.hpp>

namespace
{

std::atomic<std::int64_t> allocations = 0;

} // namespace

void* operator new(std::size_t size)
{
    ++allocations;
    void* memory = std::malloc(size); // NOLINT
    if (memory == nullptr)
    {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void* memory) noexcept
{
    std::free(memory); // NOLINT
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory); // NOLINT
}

namespace
{

using namespace daleshelf;

void choose(benchmark::State& state)
{
    std::vector<std::shared_ptr<const upstream_entry>> upstreams;
    for (std::int64_t i = 0; i < state.range(0); ++i)
    {
        auto entry = std::make_shared<upstream_entry>();
        entry->id = upstream_id("engine-" + std::to_string(i));
        entry->max_concurrency = 1000;
        upstreams.push_back(std::move(entry));
    }
    const upstream_ring ring(std::move(upstreams));
    load_table loads;
    router routes(loads);
    routing_request request;
    request.prompt_tokens = 500;
    request.now = absl::UnixEpoch();
    std::uint64_t number = 0;
    const auto before = allocations.load();
    for (auto _ : state) // NOLINT: named by the library
    {
        request.prefix = prefix_hash(std::to_string(++number % 1000));
        const auto choice = routes.choose(ring, request);
        loads.end(choice.upstream->id);
        benchmark::DoNotOptimize(choice);
    }
    state.counters["allocations"] =
        benchmark::Counter(static_cast<double>(allocations.load() - before) /
                           static_cast<double>(state.iterations()));
}

/// What a change costs every host: the configuration is made ready again.
void rebuild(benchmark::State& state)
{
    resource_store store;
    change declared{change_id("c"), {}};
    const auto put = [&declared](resource_kind kind, const std::string& name,
                                 boost::json::object body)
    {
        declared.operations.push_back(
            {change_operation::action::put, {kind, name}, {}, std::move(body)});
    };
    // Each engine holds two of forty models.
    constexpr std::int64_t models = 40;
    for (std::int64_t i = 0; i < models; ++i)
    {
        const auto name = "m" + std::to_string(i);
        put(resource_kind::deployment, name, {{"model", name}});
    }
    for (std::int64_t i = 0; i < state.range(0); ++i)
    {
        put(resource_kind::upstream, "engine-" + std::to_string(i),
            {{"type", "engine"},
             {"url", "http://127.0.0.1:1"},
             {"hall", "hall-" + std::to_string(i % 8)},
             {"models",
              boost::json::array{"m" + std::to_string(i % models),
                                 "m" + std::to_string((i + 1) % models)}}});
    }
    store.apply(log_offset(0), to_record({declared}));
    for (auto _ : state) // NOLINT: named by the library
    {
        const configuration config(store);
        benchmark::DoNotOptimize(config.upstreams().size());
    }
    state.counters["snapshot_bytes"] =
        static_cast<double>(boost::json::serialize(store.to_snapshot()).size());
}

BENCHMARK(rebuild)->Arg(10)->Arg(170)->Arg(1700)->Unit(benchmark::kMicrosecond);

BENCHMARK(choose)->Arg(10)->Arg(170)->Arg(1700);

} // namespace

BENCHMARK_MAIN();
