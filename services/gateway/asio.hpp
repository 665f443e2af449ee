/// @file
/// The parts of Boost.Asio that the gateway uses, and short names for them.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <base/boot_clock.hpp>
#include <chrono>

namespace daleshelf
{

namespace asio = boost::asio;

// NOTE: GCC 12 destroys an awaitable that was never made when co_await stands
// in a condition, or in one branch of an expression. Each co_await is a
// statement of its own, or the whole of a co_return, and its arguments hold no
// braced temporaries.

using asio::awaitable;
using error_code = boost::system::error_code;
using monotonic = boot_clock;
using std::chrono::milliseconds;

/// A timer of that clock: what was due during a suspension is due at once when
/// anything wakes the loop.
using boot_timer = asio::basic_waitable_timer<monotonic>;

/// @return a time in milliseconds and parts of one
[[nodiscard]] inline double to_ms(monotonic::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Completes with the error and the result, instead of throwing.
inline constexpr auto use_result = asio::as_tuple(asio::use_awaitable);

} // namespace daleshelf
