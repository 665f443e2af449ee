/// @file
/// The subject of a quota.
#pragma once

#include <base/identifiers.hpp>
#include <compare>
#include <utility>

namespace daleshelf
{

/// Either a workspace, whose use is limited, or an upstream, which limits the
/// requests that it accepts from the whole fleet.
struct quota_subject
{
    workspace_id workspace;
    upstream_id upstream; ///< empty: the subject is a workspace

    quota_subject() = default;

    quota_subject(workspace_id id) // NOLINT(google-explicit-constructor)
        : workspace(std::move(id))
    {
    }

    quota_subject(upstream_id id) // NOLINT(google-explicit-constructor)
        : upstream(std::move(id))
    {
    }

    [[nodiscard]] bool is_upstream() const
    {
        return !upstream.empty();
    }

    friend auto operator<=>(const quota_subject&,
                            const quota_subject&) = default;
    friend bool operator==(const quota_subject&,
                           const quota_subject&) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const quota_subject& key) // NOLINT
    {
        return Hash::combine(std::move(state), key.workspace, key.upstream);
    }
};

} // namespace daleshelf
