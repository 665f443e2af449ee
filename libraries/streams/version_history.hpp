/// @file
/// Which software versions of each service were listed, and when.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <map>
#include <optional>
#include <set>

namespace daleshelf
{

/// Tells whether a service has had a single software version for some time. If
/// so, that version began every stream of this time, provided that the list was
/// complete at the end of it: what is observed is as old as the list. Free of
/// I/O.
class version_history
{
public:
    /// @param is_first_start whether the whole fleet starts for the first time:
    /// no stream is older than this object
    explicit version_history(bool is_first_start)
        : m_is_first_start(is_first_start)
    {
    }

    /// Records the versions that are listed now; to be called several times a
    /// second. A longer gap ends what is known, since a version could have
    /// come and gone within it.
    void observe(const service_name& service,
                 const std::set<version_name>& listed, absl::Time now);

    /// Records that changes of the list may have been missed until now.
    void restart(absl::Time now);

    /// @param span time before now
    /// @return the only version listed within the span; nothing if there were
    /// several or none, or if the span was not observed as a whole
    [[nodiscard]] std::optional<version_name>
    sole_version(const service_name& service, absl::Duration span,
                 absl::Time now) const;

    /// @return whether another version was listed within the span
    [[nodiscard]] bool has_other(const service_name& service,
                                 const version_name& version,
                                 absl::Duration span, absl::Time now) const;

    /// @return whether a service has had several versions within
    /// `max_resumable_time`
    [[nodiscard]] bool has_several() const;

private:
    struct service_history
    {
        absl::Time observed_since;
        absl::Time observed_at; ///< last
        std::map<version_name, absl::Time> last_listed;
    };

    bool m_is_first_start;
    std::map<service_name, service_history> m_services;
};

} // namespace daleshelf
