"""Each promise is seen broken once: a check that cannot fail proves nothing."""

import asyncio
import signal
import subprocess
import unittest
from types import SimpleNamespace
from unittest import mock

import clients
from deadly import Deadly
from deadly_parts import DeadlyParts
from endless import GROSS, Endless, memory_bound_kib
from fleet import SPEEDS, Fleet, Process
from herd_kills import HerdKills
from http_wire import Message
from limits import Limits
from partitions import judge, judge_unserved
from promises import Attempt, Disturbances, Promises
from rebirths import Rebirths
from rollouts import Rollouts
from server import endless_responses, event_data, plain_body
from versions import judge as judge_taken_up


class PromisesTest(unittest.TestCase):
    def setUp(self):
        self.disturbances = Disturbances()
        self.promises = Promises(self.disturbances)

    def send(self, kind, events=0, at=10.0):
        attempt = Attempt("a", kind, "tenant", "gateway-1", at, 1.5, events)
        self.promises.attempts["a"] = attempt
        return attempt

    def run_at(self, server="server-1", tenant="tenant", after=0, now=10.1,
               path="/x/"):
        self.promises.ran("a", server, tenant, path, after, now)

    def answer(self, attempt, status, body=b"", now=10.2, **fields):
        message = Message(f"HTTP/1.1 {status} Any", fields, body)
        self.promises.answered(attempt, message, now)

    def names(self):
        return [name for name, _ in self.promises.broken + self.promises.late]

    def test_a_sound_request_breaks_nothing(self):
        attempt = self.send("unsafe")
        self.run_at()
        self.answer(attempt, 200, plain_body("a", "tenant"),
                    **{"x-server-seal": "s", "x-attempt-id": "a"})
        self.assertEqual(self.names(), [])

    def test_twice(self):
        self.send("unsafe")
        self.run_at()
        self.run_at("server-2")
        self.assertEqual(self.names(), ["TWICE"])

    def test_a_stream_of_two_versions(self):
        attempt = self.send("stream", 3)
        for number, version in ((1, "v1"), (2, "v1"), (3, "v2")):
            self.promises.saw_event(attempt, number, event_data("a", number),
                                    version)
        self.assertEqual(self.names(), ["ORDER"])

    def test_a_stream_taken_up_at_another_version(self):
        first = self.send("stream", 2)
        self.promises.saw_event(first, 1, event_data("a", 1), "v1")
        second = Attempt("b", "stream", "tenant", "gateway-2", 11.0, 1.5, 2,
                         seen_events=1, events_before=1, resumes="a",
                         versions=first.versions)
        self.assertFalse(second.has_begun)
        self.promises.saw_event(second, 2, event_data("a", 2), "v2")
        self.assertTrue(second.has_begun)
        self.assertEqual(self.names(), ["ORDER"])

    def test_streams_taken_up_go_on_as_often_as_new_ones_begin(self):
        self.assertFalse(judge_taken_up(6, 12, 20, 20))
        self.assertTrue(judge_taken_up(5, 12, 20, 20))
        self.assertFalse(judge_taken_up(5, 12, 16, 20))
        self.assertFalse(judge_taken_up(0, 11, 20, 20))

    def test_streams_go_on_after_a_kill_of_all_gateways(self):
        for went_on, serving, is_broken in ((6, 2, False), (5, 2, True),
                                            (0, 1, False)):
            with self.subTest(went_on=went_on, serving=serving):
                self.setUp()
                versions = SimpleNamespace(serving=lambda _, n=serving: n)
                kills = HerdKills(SimpleNamespace(
                    versions=versions, promises=self.promises, counts={}), 1)
                for number in range(12):
                    new = self.send("stream", 2)
                    new.seen_events = 1
                    kills.begins(new)
                    resumed = Attempt("b", "stream", "tenant", "gateway-2",
                                      11.0, 1.5, 2, events_before=1,
                                      versions={"v1"})
                    resumed.seen_events = 2 if number < went_on else 1
                    kills.resumes(resumed)
                kills.check()
                self.assertEqual(self.names(), ["RESUME"] if is_broken else [])

    @staticmethod
    def attempts_at(gateway, served, rejected, took=0.1):
        attempts = []
        for number in range(served + rejected):
            attempt = Attempt("a", "safe", "tenant", gateway, 10.0, 1.5)
            attempt.status = 200 if number < served else 503
            attempt.ended_at = attempt.sent_at + took
            attempts.append(attempt)
        return attempts

    def test_partitioned_gateways_serve_like_the_others(self):
        others = self.attempts_at("gateway-2", 95, 5)
        for served, is_broken in ((60, False), (50, True)):
            inside = self.attempts_at("gateway-1", served, 80 - served)
            broken = judge(inside + others, {"gateway-1"}, 5.0, 15.0)
            self.assertEqual(broken is not None, is_broken)

    def test_a_dead_service_is_no_partition(self):
        attempts = (self.attempts_at("gateway-1", 0, 80) +
                    self.attempts_at("gateway-2", 0, 80))
        self.assertIsNone(judge(attempts, {"gateway-1"}, 5.0, 15.0))

    def test_requests_count_from_three_seconds_after_a_partition(self):
        attempts = (self.attempts_at("gateway-1", 0, 80) +
                    self.attempts_at("gateway-2", 80, 0))
        self.assertIsNone(judge(attempts, {"gateway-1"}, 7.5, 15.0))

    def test_what_nobody_can_serve_is_rejected_at_once(self):
        quick = self.attempts_at("gateway-1", 0, 80)
        slow = self.attempts_at("gateway-2", 0, 20, took=1.0)
        self.assertIsNone(judge_unserved(quick, 5.0, 15.0))
        self.assertIsNotNone(judge_unserved(quick + slow, 5.0, 15.0))

    def deadly_after_crashes(self, crashes):
        def spawn(coroutine):
            coroutine.close()
        soak = SimpleNamespace(promises=self.promises, spawn=spawn,
                               disturbances=self.disturbances)
        deadly = Deadly(soak, 1)
        for number in range(crashes):
            deadly.crashed(SimpleNamespace(is_expected_to_end=False),
                           10.0 + number)
        return deadly

    def test_a_confirmed_deadly_request_is_sent_three_times_more(self):
        deadly = self.deadly_after_crashes(3)
        for number in range(3):
            deadly.ran("deadly-1", "gateway-1", 16.0 + number)
        deadly.ran("deadly-1", "gateway-1", 13.0)
        self.assertEqual(self.names(), [])

    def test_a_confirmed_deadly_request_is_sent_on(self):
        deadly = self.deadly_after_crashes(3)
        for number in range(4):
            deadly.ran("deadly-1", "gateway-1", 16.0 + number)
        self.assertEqual(self.names(), ["BUDGET"])

    def test_two_crashes_confirm_nothing(self):
        deadly = self.deadly_after_crashes(2)
        for number in range(9):
            deadly.ran("deadly-1", "gateway-1", 16.0 + number)
        self.assertEqual(self.names(), [])

    def deadly_part_after_crashes(self, crashes):
        attempts = {f"deadlypart-{number}": None for number in range(9)}
        soak = SimpleNamespace(promises=self.promises,
                               disturbances=self.disturbances)
        parts = DeadlyParts(soak, 1)
        for number, name in enumerate(attempts):
            parts._part_of[name] = "dead0"
            if number < crashes:
                parts.crashed(name, 10.0 + number / 10)
        return parts

    def test_a_part_that_crashed_five_servers_is_sent_on(self):
        parts = self.deadly_part_after_crashes(5)
        for number in range(4):
            parts.ran(f"deadlypart-{number}", "gateway-1", 16.0 + number)
        self.assertEqual(self.names(), ["BUDGET"])

    def test_a_part_that_crashed_four_servers_may_be_sent(self):
        parts = self.deadly_part_after_crashes(4)
        for number in range(4):
            parts.ran(f"deadlypart-{number}", "gateway-1", 16.0 + number)
            parts.ran("deadlypart-0", "gateway-1", 10.5)
        self.assertEqual(self.names(), [])

    def test_an_innocent_request_is_rejected_for_a_deadly_one(self):
        deadly = self.deadly_after_crashes(3)
        deadly.refused("deadly-2", "ends_servers")
        deadly.refused("a", "quota")
        self.assertEqual(self.names(), [])
        deadly.refused("a", "may_end_servers")
        self.assertEqual(self.names(), ["POISON"])

    def arrive_at_limit(self, count):
        limits = Limits(self.promises, self.disturbances)
        limits.names("server-1", 1.0, 10.0)
        limits.arrived("server-1", "gateway-1", 10.1)
        for number in range(count):
            limits.arrived("server-1", "gateway-1", 14.0 + number / 100)
        return limits

    def test_a_server_within_its_limit(self):
        self.arrive_at_limit(11)
        self.assertEqual(self.names(), [])

    def test_a_server_gets_more_than_its_limit(self):
        self.arrive_at_limit(12)
        self.assertEqual(self.names(), ["LIMIT"])

    def test_a_server_gets_far_more_than_its_limit(self):
        self.arrive_at_limit(40)
        self.assertIn("LIMIT", [name for name, _ in self.promises.broken])

    def test_a_limit_that_has_ended_allows_all(self):
        limits = self.arrive_at_limit(5)
        limits.names("server-1", None, 14.1)
        for number in range(40):
            limits.arrived("server-1", "gateway-1", 14.2 + number / 100)
        self.assertEqual(self.names(), [])

    def test_a_gateway_that_has_not_been_told_may_send(self):
        limits = self.arrive_at_limit(5)
        for number in range(40):
            limits.arrived("server-1", "gateway-2", 14.1 + number / 100)
        self.assertEqual(self.names(), [])

    def test_a_server_that_rests_gets_no_more_than_two(self):
        self.send("safe")
        self.promises.turned_away("a", "server-1", 3.0, 10.0)
        for now in (10.4, 10.6, 10.8):
            self.promises.turned_away("a", "server-1", 3.0, now)
        self.assertEqual(self.names(), [])
        self.run_at(now=12.9)
        self.assertEqual(self.names(), ["REST"])

    def test_a_server_that_has_rested_may_be_asked(self):
        self.send("safe")
        self.promises.turned_away("a", "server-1", 1.0, 10.0)
        for now in (11.0, 11.1, 11.2):
            self.run_at(now=now)
        self.assertEqual(self.names(), [])

    def test_sent_to_one_whose_answer_said_that_it_leaves(self):
        self.send("safe")
        self.promises.told_leaving("a", "server-1", 10.1)
        self.send("safe", at=12.0)
        self.run_at(now=12.1)
        self.assertEqual(self.names(), [])
        self.send("safe", at=12.7)
        self.run_at(now=12.8)
        self.assertEqual(self.names(), ["DRAIN"])

    def test_a_safe_request_may_run_twice(self):
        self.send("safe")
        self.run_at()
        self.run_at("server-2")
        self.assertEqual(self.names(), [])

    def test_refused_after_it_ran(self):
        attempt = self.send("unsafe")
        self.run_at()
        self.answer(attempt, 503)
        self.assertEqual(self.names(), ["REFUSED"])

    def test_refused_before_it_ran(self):
        attempt = self.send("fixed")
        self.answer(attempt, 429)
        self.run_at()
        self.assertEqual(self.names(), ["REFUSED"])

    def test_another_requests_body(self):
        attempt = self.send("safe")
        self.answer(attempt, 200, plain_body("b", "tenant"),
                    **{"x-server-seal": "s", "x-attempt-id": "a"})
        self.assertEqual(self.names(), ["MIXED"])

    def test_no_signature(self):
        attempt = self.send("safe")
        self.answer(attempt, 200, plain_body("a", "tenant"))
        self.assertEqual(self.names(), ["MIXED"])

    def test_another_requests_answer(self):
        attempt = self.send("safe")
        self.answer(attempt, 502, **{"x-attempt-id": "b"})
        self.assertEqual(self.names(), ["MIXED"])

    def test_an_unknown_request_runs(self):
        self.run_at()
        self.assertEqual(self.names(), ["UNASKED"])

    def test_another_tenant(self):
        self.send("safe")
        self.run_at(tenant="other")
        self.assertEqual(self.names(), ["UNASKED"])

    def test_an_event_is_missing(self):
        attempt = self.send("stream", 3)
        self.promises.saw_event(attempt, 1, event_data("a", 1))
        self.promises.saw_event(attempt, 3, event_data("a", 3))
        self.assertEqual(self.names(), ["ORDER"])

    def test_an_event_of_another_request(self):
        attempt = self.send("stream", 3)
        self.promises.saw_event(attempt, 1, event_data("b", 1))
        self.assertEqual(self.names(), ["MIXED"])

    def test_a_stream_ends_early_as_complete(self):
        attempt = self.send("stream", 3)
        self.promises.saw_event(attempt, 1, event_data("a", 1))
        self.promises.streamed(attempt, 11.0)
        self.assertEqual(self.names(), ["ORDER"])

    def test_drain(self):
        self.send("safe", at=20.0)
        self.promises.draining["server-1"] = 10.0
        self.run_at(now=20.0)
        self.assertEqual(self.names(), ["DRAIN"])

    def test_a_harmed_gateway_is_not_held_to_a_drain(self):
        self.send("safe", at=20.0)
        self.promises.draining["server-1"] = 10.0
        self.disturbances.add("gateway-1", 18.0, 19.0)
        self.run_at(now=20.0)
        self.assertEqual(self.names(), [])

    def test_a_removed_route(self):
        self.send("safe", at=20.0)
        self.promises.routes_removed["/x/"] = 10.0
        self.run_at(now=20.0)
        self.assertEqual(self.names(), ["CONFIG"])

    def test_lost_at_a_planned_stop(self):
        attempt = self.send("safe")
        self.promises.stops["gateway-1"] = 10.0
        self.run_at()
        self.promises.cut_off(attempt, 10.5)
        self.assertEqual(self.names(), ["LOST"])

    def test_held(self):
        attempt = self.send("safe")
        self.answer(attempt, 504, now=13.0)
        self.assertEqual(self.names(), ["HELD"])

    def duty(self, holder, fence, counts=None, now=50.0):
        body = {"windowId": 1, "counts": counts or {"t": 1}}
        self.promises.duty({"duty": "usage", "holder": holder, "fence": fence,
                            "body": body}, now)

    def test_two_counts_of_one_window(self):
        self.duty("g1", 1)
        self.duty("g1", 1, {"t": 2})
        self.assertEqual(self.names(), ["ONE"])

    def test_two_holders_of_one_token(self):
        self.duty("g1", 1)
        self.duty("g2", 1)
        self.assertEqual(self.names(), ["ONE"])

    def test_an_older_token(self):
        self.duty("g2", 2)
        self.duty("g1", 1)
        self.assertEqual(self.names(), ["ONE"])


class RolloutsTest(unittest.TestCase):
    """Of 400 requests to the service within an order that begins at 0 s."""

    def setUp(self):
        self.promises = Promises(Disturbances())
        soak = type("FakeSoak", (), {"promises": self.promises})
        self.rollouts = Rollouts(soak, 1)

    def run_requests(self, exposed_at):
        for number in range(400):
            attempt = Attempt(str(number), "safe", "tenant", "gateway-1", 0.0,
                              1.5)
            server = "new" if number < len(exposed_at) else "old"
            time = exposed_at[number] if server == "new" else 5.0
            attempt.runs.append((time, server, 0))
            self.promises.attempts[attempt.id] = attempt

    def judge(self, state):
        self.rollouts._judge("v2", state, {"new"}, 0.0)
        return [name for name, _ in self.promises.broken + self.promises.late]

    def test_a_small_share_taken_back_breaks_nothing(self):
        self.run_requests([2.0] * 90)
        self.assertEqual(self.judge("rolled_back"), [])

    def test_a_bad_version_completed(self):
        self.run_requests([2.0] * 20)
        self.assertEqual(self.judge("completed"), ["ROLLOUT"])

    def test_more_than_the_share(self):
        self.run_requests([2.0] * 91)
        self.assertEqual(self.judge("rolled_back"), ["EXPOSURE"])

    def test_long_after_its_fiftieth_failure(self):
        self.run_requests([1.0] * 100 + [6.5])
        self.assertEqual(self.judge("rolled_back"), ["EXPOSURE", "EXPOSURE"])


class RebirthsTest(unittest.TestCase):
    """A server that came back 20 s before the end of a run."""

    def setUp(self):
        self.promises = Promises(Disturbances())
        server = SimpleNamespace(name="server-1", is_running=True)
        soak = SimpleNamespace(promises=self.promises, now=lambda: 50.0,
                               fleet=SimpleNamespace(servers=[server]))
        self.rebirths = Rebirths(soak, 1)
        self.rebirths._back_since["server-1"] = 30.0

    def names_after_a_run_at(self, time):
        attempt = Attempt("a", "safe", "tenant", "gateway-1", 0.0, 1.5)
        attempt.runs.append((time, "server-1", 0))
        self.promises.attempts["a"] = attempt
        self.rebirths.check()
        return [name for name, _ in self.promises.late]

    def test_one_that_is_asked_again_breaks_nothing(self):
        self.assertEqual(self.names_after_a_run_at(31.0), [])

    def test_one_that_is_never_asked_again(self):
        self.assertEqual(self.names_after_a_run_at(29.0), ["REBIRTH"])

    def test_a_server_that_began_again_is_not_leaving(self):
        self.promises.draining["server-1"] = 10.0
        self.promises.begins("server-1")
        self.assertNotIn("server-1", self.promises.draining)


class EndlessTest(unittest.TestCase):
    """Guards against a soak that accepts connections which stay open, or
    memory that grows, while upstreams send responses without an end."""

    DEADLINE_AT = 11.5

    def setUp(self):
        self.disturbances = Disturbances()
        self.promises = Promises(self.disturbances)
        self.endless = Endless(self.promises, self.disturbances)
        self.promises.attempts["a"] = Attempt("a", "safe", "tenant",
                                              "gateway-1", 10.0, 1.5)
        self.endless.began("server-1", 1, "a", "header")

    def names(self):
        return [[name for name, _ in kept]
                for kept in (self.promises.broken, self.promises.late)]

    def test_a_connection_closed_in_time(self):
        self.endless.closed("server-1", 1, self.DEADLINE_AT + 0.9)
        self.endless.check({"server-1"}, 100.0)
        self.assertEqual(self.names(), [[], []])
        self.assertEqual(self.endless.judged_count, 1)

    def test_a_connection_closed_late(self):
        self.endless.closed("server-1", 1, self.DEADLINE_AT + 1.1)
        self.assertEqual(self.names(), [[], ["ENDLESS"]])

    def test_a_connection_closed_very_late_counts_without_judged_time(self):
        self.endless.closed("server-1", 1, self.DEADLINE_AT + 1.1 + GROSS)
        self.assertEqual(self.names(), [["ENDLESS"], ["ENDLESS"]])

    def test_a_connection_that_stays_open(self):
        self.endless.check({"server-1"}, 30.0)
        self.assertEqual(self.names(), [["ENDLESS"], ["ENDLESS"]])

    def test_a_connection_of_a_server_that_has_ended_is_not_open(self):
        self.endless.check(set(), 30.0)
        self.assertEqual(self.names(), [[], []])

    def test_a_connection_of_a_replaced_server_is_not_open(self):
        self.endless.server_begins("server-1")
        self.endless.check({"server-1"}, 30.0)
        self.assertEqual(self.names(), [[], []])

    def test_late_where_the_gateway_or_the_server_was_harmed(self):
        for part in ("gateway-1", "server-1"):
            with self.subTest(part=part):
                self.setUp()
                self.disturbances.add(part, 10.5, 11.0)
                self.endless.closed("server-1", 1, 20.0)
                self.assertEqual(self.names(), [[], []])
                self.assertEqual(self.endless.judged_count, 0)

    def test_late_where_another_part_was_harmed(self):
        self.disturbances.add("gateway-2", 10.5, 11.0)
        self.disturbances.add("server-2", 10.5, 11.0)
        self.endless.closed("server-1", 1, 20.0)
        self.assertEqual(self.names(), [["ENDLESS"], ["ENDLESS"]])

    def test_no_endless_response_completes(self):
        # Part 5 of docs/hard-load.md lists the positions.
        responses = endless_responses({"X-Attempt-Id": "a"})
        self.assertEqual(len(responses), 9)
        for position, (start, filler) in responses.items():
            with self.subTest(position=position):
                self.assertTrue(filler)
                sent = start + 2 * filler
                has_body = start.count(b"\r\n\r\n") > 0
                has_final_head = sent.find(b" 200 ") >= 0 and has_body
                is_chunked = b"chunked" in start
                if not has_final_head:
                    self.assertNotIn(b"\r\n\r\n", sent.replace(
                        b"HTTP/1.1 103 Early Hints\r\n\r\n", b""))
                elif is_chunked:
                    self.assertFalse(sent.endswith(b"\r\n\r\n"))
                    self.assertNotIn(b"\n\n", sent)
                else:
                    self.assertNotIn(b"Content-Length", sent)

    def test_memory_follows_from_limits_and_connections(self):
        self.assertEqual(memory_bound_kib(9000, 20), 9000 + 20 * 512)

    def test_memory_within_and_beyond_its_bound(self):
        self.endless.load_begins("gateway-1", 9000, 10)
        self.endless.gateway_holds("gateway-1", 9000 + 20 * 512, 30)
        self.assertEqual(self.names(), [[], []])
        self.endless.gateway_holds("gateway-1", 9000 + 20 * 512 + 1, 30)
        self.assertEqual(self.names(), [["MEMORY"], []])

    def test_memory_kept_after_connections_have_closed(self):
        self.endless.load_begins("gateway-1", 9000, 10)
        self.endless.gateway_holds("gateway-1", 9000, 30)
        self.endless.gateway_holds("gateway-1", 9000 + 20 * 512, 10)
        self.assertEqual(self.names(), [[], []])

    def test_a_restarted_gateway_is_judged_by_its_own_connections(self):
        self.endless.load_begins("gateway-1", 9000, 10)
        self.endless.gateway_holds("gateway-1", 9000, 30)
        self.endless.gateway_restarts("gateway-1")
        self.endless.gateway_holds("gateway-1", 9000 + 512, 10)
        self.assertEqual(self.names(), [["MEMORY"], []])

    def test_memory_is_reported_once_a_start(self):
        self.endless.load_begins("gateway-1", 9000, 10)
        for _ in range(3):
            self.endless.gateway_holds("gateway-1", 20000, 10)
        self.assertEqual(self.names(), [["MEMORY"], []])
        self.endless.gateway_restarts("gateway-1")
        self.endless.gateway_holds("gateway-1", 20000, 10)
        self.assertEqual(self.names(), [["MEMORY", "MEMORY"], []])


class ProcessTest(unittest.TestCase):
    """Guards against signals of the soak's own that end the run, since their
    process was reaped already, or a stand-in that has no handlers yet."""

    def test_a_reaped_process_can_be_signalled(self):
        child = subprocess.Popen(["true"])
        child.wait()
        process = Process("server-1", [], "", None)
        process._child = SimpleNamespace(pid=child.pid, returncode=None)
        process.send(signal.SIGTERM)

    def test_a_process_without_handlers_is_not_notified(self):
        process = Process("server-1", [], "", None)
        process.send = self.fail
        process.notify(signal.SIGUSR1)
        sent = []
        process.send = sent.append
        process.is_ready = True
        process.notify(signal.SIGUSR1)
        self.assertEqual(sent, [signal.SIGUSR1])


class UnevenTest(unittest.TestCase):
    """Guards against servers of a service that all have one speed."""

    def speeds(self, is_uneven, seed):
        fleet = SimpleNamespace(is_uneven=is_uneven, seed=seed, servers=[])
        speeds = []
        for service in ("plain", "engine", "engine", "engine"):
            speeds.append(Fleet._next_speed(fleet, service))
            fleet.servers.append(SimpleNamespace(service=service))
        return speeds

    def test_the_servers_of_a_service_have_all_speeds(self):
        for seed in range(3):
            plain, *engines = self.speeds(True, seed)
            self.assertEqual(plain, SPEEDS[seed])
            self.assertEqual(sorted(engines), sorted(SPEEDS))

    def test_servers_are_equal_by_default(self):
        self.assertEqual(self.speeds(False, 1), [1.0] * 4)


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """How a client tells of a request that gets no answer."""

    async def outcome_of(self, serve, share_leaving):
        """Asks once; returns what the client told of its request."""
        told = []
        promises = SimpleNamespace(
            attempts={},
            given_up=lambda attempt, now: told.append("given up"),
            cut_off=lambda attempt, now: told.append("cut off"))
        soak = SimpleNamespace(promises=promises, versions=None,
                               now=lambda: 0.0, key_of=lambda tenant: "key")
        gateway = SimpleNamespace(name="gateway-1")
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        client = clients.Client(soak, gateway, "tenant", 1)
        client._draw = lambda: (
            Attempt("a", "unsafe", "tenant", "gateway-1", 0.0, 0.05),
            "POST /once/x HTTP/1.1", {})
        client._reader, client._writer = await asyncio.open_connection(
            *server.sockets[0].getsockname())
        with (mock.patch.object(clients, "SHARE_LEAVING", share_leaving),
              mock.patch.object(clients, "PATIENCE", 0.05)):
            await client._ask()
        server.close()
        return told

    # An error of the connection was seen in place of each time-out.
    async def test_a_request_without_an_answer_is_given_up(self):
        async def hold(reader, _):
            await reader.read()

        self.assertEqual(await self.outcome_of(hold, 0.0), ["given up"])

    async def test_a_client_that_leaves_tells_nothing(self):
        async def hold(reader, _):
            await reader.read()

        self.assertEqual(await self.outcome_of(hold, 1.0), [])

    async def test_a_closed_connection_is_cut_off(self):
        async def close(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.close()

        self.assertEqual(await self.outcome_of(close, 0.0), ["cut off"])


if __name__ == "__main__":
    unittest.main()
