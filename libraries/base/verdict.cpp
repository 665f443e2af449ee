#include "verdict.hpp"

namespace daleshelf
{

std::string to_string(verdict value)
{
    switch (value)
    {
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::ran:
        return "ran";
    }
    return "may_have_run";
}

} // namespace daleshelf
