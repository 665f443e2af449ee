/// @file
/// Who holds which lease, settled by replay of the log.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <base/identifiers.hpp>
#include <optional>
#include <string>

namespace daleshelf
{

/// Name of what a lease is for.
using lease_name = strong_id<struct lease_name_tag>;

/// Fencing token: the offset of the record that granted the lease. It grows
/// with each grant.
using fencing_token = log_offset;

/// A record that asks for a lease.
struct lease_proposal
{
    lease_name name;
    host_id holder;
    incarnation started; ///< of the holder
    /// The grant that the proposer has seen; -1 for none. Another one means
    /// that somebody else came first.
    fencing_token previous{-1};
    bool is_release = false;

    /// @return the record that carries it in the log
    [[nodiscard]] std::string to_record() const;

    /// @return the proposal, or nothing if the record cannot be read
    [[nodiscard]] static std::optional<lease_proposal>
    from_record(const std::string& data);
};

/// A lease as it was granted.
struct lease_grant
{
    host_id holder;
    incarnation started;
    fencing_token token;
    bool is_released = false;
};

/// Applies lease records in offset order. No clock is in it: a proposal wins
/// if it names the grant that is in force, whatever the time.
class lease_table
{
public:
    /// @return whether the record has changed a grant
    bool apply(log_offset offset, const std::string& data);

    /// @return the grant in force, or nothing
    [[nodiscard]] std::optional<lease_grant> find(const lease_name& name) const;

private:
    absl::flat_hash_map<lease_name, lease_grant> m_grants;
};

} // namespace daleshelf
