/// @file
/// A program of this project that a test runs.
#pragma once

#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace daleshelf::test
{

/// A started program; killed when the object goes.
class child_process
{
public:
    /// Starts a program and waits for its line that begins with `ready`.
    /// @param program name of a program of this project
    /// @param arguments its arguments
    /// @param log_file file that takes its standard error
    /// @throws std::runtime_error if it ends before it is ready
    [[nodiscard]] static std::unique_ptr<child_process>
    start(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& log_file);

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    /// @return what followed `ready` in that line
    [[nodiscard]] const std::string& ready_text() const
    {
        return m_ready_text;
    }

    [[nodiscard]] pid_t pid() const
    {
        return m_pid;
    }

    /// @param signal a signal for this process only
    void send(int signal) const;

    /// Waits for the end.
    /// @return the exit code, or 128 and the signal's number
    int wait();

    /// @return whether it has not ended
    [[nodiscard]] bool is_running();

private:
    child_process(pid_t pid, int output);

    void read_ready_line(const std::string& program,
                         const std::string& log_file);

    pid_t m_pid;
    int m_output;
    int m_exit_code = -1;
    bool m_has_ended = false;
    std::string m_ready_text;
};

/// Result of a program that was run to its end.
struct finished_program
{
    int exit_code = 0;
    std::string output;
    std::string errors;
};

/// Runs a program of this project to its end.
/// @param program its name
/// @param arguments its arguments
/// @param input its standard input
[[nodiscard]] finished_program
run_program(const std::string& program,
            const std::vector<std::string>& arguments,
            const std::string& input = "");

} // namespace daleshelf::test
