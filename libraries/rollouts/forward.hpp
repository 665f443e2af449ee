/// @file
/// Forward declarations of the rollouts package.
#pragma once

namespace daleshelf
{

class rollout_controller;
class rollout_participant;
class time_histogram;
class version_gate;
class canary_analysis;
struct response_sample;
struct response_statistics;
struct canary_verdict;
struct canary_target;
struct exposure_bound;
struct rollout_order;
struct rollout_report;
struct rollout_status;
struct rollout_step;
struct rollout_statistics;
struct rollout_directive;
struct cusum_scores;

} // namespace daleshelf
