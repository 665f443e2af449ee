/// @file
/// Cost per request of the detection of poison requests.
#include <benchmark/benchmark.h>
#include <poison/poison_detector.hpp>

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

// Without crashes: computes each request's shape and records its response.
void calm_request(benchmark::State& state)
{
    const auto targets = make_targets();
    poison_detector detector{poison_options()};
    const completed_response response{{upstream_id("server"), {}},
                                      host_id("host")};
    std::size_t number = 0;
    for (auto _ : state)
    {
        const auto shape = shape_of(content_of(targets[number]));
        detector.record_shape_response(shape, response, absl::UnixEpoch());
        number = (number + 1) % targets.size();
    }
}

// With 200 suspects: looks up each request's shape as well.
void request_beside_suspects(benchmark::State& state)
{
    const auto targets = make_targets();
    poison_detector detector{poison_options()};
    for (std::size_t number = 0; number < 200; ++number)
    {
        const auto content = content_of(targets[number]);
        detector.record_crash({fingerprint_of(content), shape_of(content), {}},
                              {upstream_id(std::to_string(number)), {}},
                              absl::Seconds(1), absl::UnixEpoch());
    }
    std::size_t number = 200;
    for (auto _ : state)
    {
        const auto shape = shape_of(content_of(targets[number]));
        benchmark::DoNotOptimize(detector.has_shape(shape));
        number = number + 1 < targets.size() ? number + 1 : 200;
    }
}

// A request with the shape of a suspect: computes its fingerprint.
void print_of_30_kb(benchmark::State& state)
{
    const std::string target = "/reviews/1";
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(fingerprint_of(content_of(target)));
    }
}

BENCHMARK(calm_request);
BENCHMARK(request_beside_suspects);
BENCHMARK(print_of_30_kb);

} // namespace

BENCHMARK_MAIN();
