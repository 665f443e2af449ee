/// @file
/// What workspaces are charged by.
#pragma once

namespace daleshelf
{

/// What workspaces are charged by while requests wait.
enum class share_basis
{
    work,     ///< tokens computed and made, corrected after the answer
    requests, ///< each request alike
};

} // namespace daleshelf
