/// @file
/// Forward declarations of the resources package.
#pragma once

namespace daleshelf
{

class configuration;
class resource_store;
enum class resource_kind;
struct change;
struct change_operation;
struct change_outcome;
struct resource;
struct resource_event;
struct resource_fault;
struct resource_key;

} // namespace daleshelf
