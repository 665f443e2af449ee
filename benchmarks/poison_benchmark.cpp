/// @file
/// What the watch for requests that end servers adds to a request.
#include <benchmark/benchmark.h>
#include <poison/poison_watch.hpp>

namespace
{

using namespace daleshelf;

const std::string body(30000, 'x');

request_content content_of(const std::string& target)
{
    return {workspace_id("workspace"), "models.example", "POST", target, body};
}

std::vector<std::string> make_targets()
{
    constexpr int contents = 10000;
    std::vector<std::string> targets;
    targets.reserve(contents);
    for (int number = 0; number < contents; ++number)
    {
        targets.push_back("/reviews/" + std::to_string(number));
    }
    return targets;
}

// Nothing ends: the shape of each request, and a note of its answer.
void calm_request(benchmark::State& state)
{
    const auto targets = make_targets();
    poison_watch watch{poison_options()};
    const whole_answer given{{upstream_id("server"), {}}, host_id("host")};
    std::size_t number = 0;
    for (auto _ : state)
    {
        const auto shape = shape_of(content_of(targets[number]));
        watch.note_answered(shape, given, absl::UnixEpoch());
        number = (number + 1) % targets.size();
    }
}

// Many are suspected: each request's shape is looked up besides.
void request_beside_suspects(benchmark::State& state)
{
    const auto targets = make_targets();
    poison_watch watch{poison_options()};
    for (std::size_t number = 0; number < 200; ++number)
    {
        const auto content = content_of(targets[number]);
        watch.note_end({print_of(content), shape_of(content), {}},
                       {upstream_id(std::to_string(number)), {}},
                       absl::Seconds(1), absl::UnixEpoch());
    }
    std::size_t number = 200;
    for (auto _ : state)
    {
        const auto shape = shape_of(content_of(targets[number]));
        benchmark::DoNotOptimize(watch.may_know(shape));
        number = number + 1 < targets.size() ? number + 1 : 200;
    }
}

// A request that has the shape of a known one.
void print_of_30_kb(benchmark::State& state)
{
    const std::string target = "/reviews/1";
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(print_of(content_of(target)));
    }
}

BENCHMARK(calm_request);
BENCHMARK(request_beside_suspects);
BENCHMARK(print_of_30_kb);

} // namespace

BENCHMARK_MAIN();
