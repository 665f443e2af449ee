/// @file
/// Forward declarations of the rollouts package.
#pragma once

namespace daleshelf
{

class rollout_plan;
class rollout_watch;
class time_histogram;
class version_gate;
class version_judge;
struct answer_seen;
struct answer_tally;
struct judgement;
struct picked_target;
struct rollout_bound;
struct rollout_order;
struct rollout_report;
struct rollout_status;
struct rollout_step;
struct rollout_tallies;
struct rollout_word;
struct test_sums;

} // namespace daleshelf
