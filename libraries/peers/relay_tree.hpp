/// @file
/// Tree by which records of a reader reach all hosts of its hall; free of I/O.
#pragma once

#include <base/identifiers.hpp>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace daleshelf
{

/// Number of hosts that each host of a relay tree forwards to.
inline constexpr std::size_t relay_fanout = 8;

/// @param root the reader that the records come from
/// @param self this host
/// @param others the other hosts of the hall
/// @param fanout number of hosts that each host forwards to
/// @return the hosts that this host forwards the root's records to. The tree
/// orders hosts by a hash of their name and the root's, so that each root has a
/// different one. Hosts with different views of the hall may disagree on it,
/// but no view has a cycle.
[[nodiscard]] std::vector<host_id>
relay_children(const host_id& root, const host_id& self,
               const std::vector<host_id>& others,
               std::size_t fanout = relay_fanout);

/// Where the parts of a tree come from.
struct relay_source
{
    std::string topic;
    host_id root;

    friend auto operator<=>(const relay_source&, const relay_source&) = default;
};

/// Decides which received parts are forwarded: each part of a root once, even
/// if hosts that disagree on the tree send it twice. A part that is overtaken
/// by a later one is not forwarded: the hosts below receive it from another
/// root, or detect the gap.
class relay_filter
{
public:
    /// @param source the topic and root of the part
    /// @param from offset of the part's first record
    /// @return whether to forward the part
    [[nodiscard]] bool accept(const relay_source& source, log_offset from);

private:
    std::map<relay_source, log_offset> m_newest; ///< last forwarded
};

} // namespace daleshelf
