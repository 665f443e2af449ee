/// @file
/// Identity of requests by their content.
#pragma once

#include <base/identifiers.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace daleshelf
{

/// Digest of a request's content, workspace included. It is a truncated
/// SHA-256, so nobody can construct another content with the same fingerprint.
using request_fingerprint = strong_id<struct request_fingerprint_tag>;

/// Hash of all parts of the content but the body, and of the body's size. It is
/// cheap to compute; requests of one fingerprint share it. A collision costs
/// only the time to compute a fingerprint.
using request_shape = std::uint64_t;

/// The parts of a request that determine the work of its upstream. 21 upstreams
/// that crashed under one poison request had workspace, target and body in
/// common; ids, deadlines and callers differed.
struct request_content
{
    workspace_id workspace;
    std::string_view host;
    std::string_view method;
    std::string_view target;
    std::string_view body;
};

/// A part of a prompt, which requests of any content may share.
struct prompt_part_content
{
    service_name service;
    std::string_view part; ///< id
};

[[nodiscard]] request_shape shape_of(const request_content& content);

[[nodiscard]] request_shape shape_of(const prompt_part_content& content);

[[nodiscard]] request_fingerprint
fingerprint_of(const request_content& content);

/// @return the fingerprint; it differs from that of any request
[[nodiscard]] request_fingerprint
fingerprint_of(const prompt_part_content& content);

} // namespace daleshelf
