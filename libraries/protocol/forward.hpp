/// @file
/// Forward declarations of the protocol package.
#pragma once

namespace daleshelf
{

class peer_transport;
enum class cut_direction;
struct peer_transport_options;

namespace protocol
{

class Envelope; // NOLINT: named by the generator

} // namespace protocol

} // namespace daleshelf
