/// @file
/// What makes two requests the same one.
#pragma once

#include <base/identifiers.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace daleshelf
{

/// Digest of a request's content. Nobody can make another content with the
/// same one: it is a part of a SHA-256, and holds the workspace.
using request_print = strong_id<struct request_print_tag>;

/// Cheap to work out, and the same for requests of one print; others may share
/// it, which costs time and nothing else.
using request_shape = std::uint64_t;

/// The parts of a request by which a server does the same work again. Of 21
/// servers that ended on one day of deadly requests each ran the same
/// workspace, target and body; ids, deadlines and callers differed.
struct request_content
{
    workspace_id workspace;
    std::string_view host;
    std::string_view method;
    std::string_view target;
    std::string_view body;
};

[[nodiscard]] request_shape shape_of(const request_content& content);

[[nodiscard]] request_print print_of(const request_content& content);

} // namespace daleshelf
