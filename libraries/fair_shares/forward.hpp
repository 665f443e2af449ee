/// @file
/// Forward declarations of the fair_shares package.
#pragma once

namespace daleshelf
{

class return_schedule;
class share_controller;
class slot_demand;
struct share_verdict;
struct workspace_demand;

} // namespace daleshelf
