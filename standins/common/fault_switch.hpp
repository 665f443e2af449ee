/// @file
/// Faults that a test switches on and off over HTTP.
#pragma once

#include <absl/synchronization/mutex.h>
#include <boost/json.hpp>

#include <base/timer_queue.hpp>
#include <functional>
#include <http/forward.hpp>
#include <memory>
#include <string>
#include <vector>

namespace daleshelf::standin
{

/// How a component fails now. Fields of `POST /faults` have the same names.
struct fault_state
{
    bool is_down = false;           ///< `down`: answers 503
    bool is_hanging = false;        ///< `hang`: answers nothing
    std::int64_t slow_ms = 0;       ///< delay of each answer
    std::int64_t lose_answers = 0;  ///< next N calls take effect, answer 504
    std::int64_t lag_ms = 0;        ///< how old published views are
    std::int64_t gap_every = 0;     ///< every Nth event is left out
    std::int64_t refuse_starts = 0; ///< next N host starts are refused
    bool is_leaving = false;        ///< `leaving`: refuses new work
    bool is_unchecked = false;      ///< `unchecked`: takes any order
};

/// The faults of one component and the way its answers go out under them.
class fault_switch
{
public:
    /// @param timers runs delayed answers; must outlive this object
    explicit fault_switch(timer_queue& timers);

    /// @return the faults of now
    [[nodiscard]] fault_state state() const;

    /// Sets the fields that the object names; the others stay.
    /// @throws json_error if a field has the wrong type
    void set(const boost::json::object& fields);

    /// Runs a call under the faults of now: perhaps not at all, late, or with
    /// its answer lost.
    /// @param exchange the caller
    /// @param call makes the answer and takes effect
    void run(const std::shared_ptr<http_exchange>& exchange,
             const std::function<http_response()>& call);

    /// Lets a call begin under the faults of now, for calls that answer by
    /// themselves; an answer is not lost here.
    /// @param exchange the caller
    /// @param call takes effect and answers
    void begin(const std::shared_ptr<http_exchange>& exchange,
               std::function<void()> call);

    /// @return whether one of the next answers is to be lost; counts it down
    [[nodiscard]] bool take_lost_answer();

    /// @return whether one of the next host starts is refused; counts it down
    [[nodiscard]] bool take_refused_start();

private:
    timer_queue& m_timers;
    mutable absl::Mutex m_mutex;
    fault_state m_state ABSL_GUARDED_BY(m_mutex);
    /// Callers left without an answer while `hang` is on.
    std::vector<std::shared_ptr<http_exchange>>
        m_hanging ABSL_GUARDED_BY(m_mutex);
};

} // namespace daleshelf::standin
