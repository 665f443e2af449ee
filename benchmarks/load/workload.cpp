#include "workload.hpp"

#include <absl/strings/str_cat.h>

#include <random>

namespace daleshelf::benchmark
{

namespace
{

/// @return `count` words that belong to `name`
std::string words(const std::string& name, int count)
{
    std::string text;
    for (int i = 0; i < count; ++i)
    {
        absl::StrAppend(&text, name, "x", i, " ");
    }
    return text;
}

} // namespace

workload camav_workload()
{
    workload mix;
    mix.name = "camav";
    mix.kinds = {
        {0.15, 1200, 150, 90, "low", false},  // brand critiques
        {0.25, 600, 60, 40, "normal", false}, // caption rewrites
        {0.35, 300, 30, 30, "high", false},   // live title suggestions
        {0.15, 150, 20, 12, "high", false},   // preview checks
        {0.10, 0, 0, 0, "high", true},        // approval pings
    };
    mix.workspace_shares = {0.45, 0.25, 0.15, 0.10, 0.05};
    return mix;
}

workload brenta_workload()
{
    workload mix;
    mix.name = "brenta";
    mix.kinds = {
        {0.20, 1500, 250, 80, "low", false},   // manifest reviews
        {0.15, 700, 100, 60, "normal", false}, // changelogs
        {0.30, 300, 30, 25, "high", false},    // dependency questions
        {0.35, 0, 0, 0, "high", true},         // index entries and checksums
    };
    mix.workspace_shares = {0.4, 0.3, 0.15, 0.1, 0.05};
    mix.documents_per_workspace = 8;
    return mix;
}

std::vector<planned_request> plan_requests(const workload& mix, double rate,
                                           absl::Duration length,
                                           std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(rate);
    std::vector<double> kind_shares;
    for (const auto& kind : mix.kinds)
    {
        kind_shares.push_back(kind.share);
    }
    std::discrete_distribution<std::size_t> any_kind(kind_shares.begin(),
                                                     kind_shares.end());
    std::discrete_distribution<int> any_workspace(mix.workspace_shares.begin(),
                                                  mix.workspace_shares.end());
    std::uniform_int_distribution<int> any_document(
        0, mix.documents_per_workspace - 1);
    std::vector<planned_request> plan;
    absl::Duration at;
    int number = 0;
    while (true)
    {
        at += absl::Seconds(gap(random));
        if (at > length)
        {
            return plan;
        }
        const auto& kind = mix.kinds[any_kind(random)];
        const auto workspace = any_workspace(random);
        const auto document =
            absl::StrCat("w", workspace, "d", any_document(random));
        planned_request request;
        request.at = at;
        request.workspace = absl::StrCat("workspace-", workspace);
        request.priority = kind.priority;
        request.is_service_call = kind.is_service_call;
        request.path = absl::StrCat("/index/", document);
        request.max_tokens = kind.max_tokens;
        request.prompt = words(absl::StrCat(document, "k", kind.shared_tokens),
                               kind.shared_tokens) +
                         words(absl::StrCat("own", number), kind.own_tokens);
        plan.push_back(std::move(request));
        ++number;
    }
}

} // namespace daleshelf::benchmark
