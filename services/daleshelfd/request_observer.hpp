/// @file
/// Who wants to know of the progress of requests.
#pragma once

#include <base/identifiers.hpp>

namespace daleshelf
{

/// Told of every change of a request; must return quickly and not call back.
class request_observer
{
public:
    request_observer() = default;
    request_observer(const request_observer&) = delete;
    request_observer& operator=(const request_observer&) = delete;
    virtual ~request_observer() = default;

    /// This host owns the request from now on.
    virtual void on_owned(const request_id& id) = 0;

    /// The request has come further or has ended.
    virtual void on_changed(const request_id& id) = 0;
};

} // namespace daleshelf
