/// @file
/// The platform's weight store: transfers at a limited rate.
#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <base/timer_queue.hpp>
#include <http/forward.hpp>
#include <memory>
#include <standins/common/fault_switch.hpp>

namespace daleshelf::standin
{

/// Serves `GET /weights/{name}?bytes=N`: answers when that many bytes would
/// have come through the shared rate. See docs/STANDINS.md.
class weight_store
{
public:
    weight_store(double bytes_per_second, timer_queue& timers,
                 fault_switch& faults);

    /// Answers a request whose path begins with `/weights/`.
    void handle(const std::shared_ptr<http_exchange>& exchange);

private:
    void fetch(const std::shared_ptr<http_exchange>& exchange);

    double m_bytes_per_second;
    timer_queue& m_timers;
    fault_switch& m_faults;
    absl::Mutex m_mutex;
    absl::Time m_free_at ABSL_GUARDED_BY(m_mutex);
};

} // namespace daleshelf::standin
