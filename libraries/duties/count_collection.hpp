/// @file
/// Whose counts of a usage window are still wanted; free of I/O.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace daleshelf
{

/// Figures of a collection.
struct collection_options
{
    /// Machines asked at a time: 64 answers of at most 2.3 KB are 0.24 s of a
    /// link of 5 Mbit/s, and 1,000 machines are asked within 4 s.
    std::size_t most_at_once = 64;
    /// A machine that has not answered is asked again after this. The way
    /// there and back takes a few milliseconds between halls; the rest is for
    /// a host whose share of a processor is used up, and for two ticks.
    absl::Duration ask_again = absl::Milliseconds(450);
};

/// The holder of the duties asks every machine, in turn, for its counts of one
/// window after that has ended. What it waits for does not grow with the fleet
/// beyond the time that asking takes, and whoever is silent is not waited for
/// beyond the caller's bound.
class count_collection
{
public:
    explicit count_collection(const collection_options& options)
        : m_options(options)
    {
    }

    /// Turns to a window; what was told of another one is forgotten.
    void begin(std::int64_t window);

    /// @param machines all that may be there
    /// @return those to be asked now
    [[nodiscard]] std::vector<host_id>
    to_ask(const std::vector<host_id>& machines, absl::Time now);

    /// A machine has told its counts.
    void note_told(std::int64_t window, const host_id& machine);

    /// @return whether all of some machines have told
    [[nodiscard]] bool is_complete(const std::vector<host_id>& machines) const;

private:
    collection_options m_options;
    std::int64_t m_window = -1;
    std::set<host_id> m_told;
    std::map<host_id, absl::Time> m_asked_at;
};

} // namespace daleshelf
