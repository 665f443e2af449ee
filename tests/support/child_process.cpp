#include "child_process.hpp"

#include "temporary_folder.hpp"

#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <signal.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace daleshelf::test
{

namespace
{

constexpr int signal_exit_base = 128;
constexpr mode_t file_mode = 0600;

std::string program_path(const std::string& program)
{
    return std::string(DALESHELF_PROGRAMS) + "/" + program;
}

pid_t spawn(const std::string& program,
            const std::vector<std::string>& arguments,
            posix_spawn_file_actions_t& actions)
{
    auto path = program_path(program);
    std::vector<std::string> texts{path};
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(texts.size() + 1);
    for (auto& text : texts)
    {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    pid_t pid = 0;
    if (posix_spawn(&pid, path.c_str(), &actions, nullptr, pointers.data(),
                    environ) != 0)
    {
        throw std::runtime_error("cannot start " + path);
    }
    return pid;
}

std::string read_file(const std::string& path)
{
    std::ifstream input(path);
    return {std::istreambuf_iterator<char>(input), {}};
}

int exit_code_of(int status)
{
    return WIFSIGNALED(status) ? signal_exit_base + WTERMSIG(status)
                               : WEXITSTATUS(status);
}

} // namespace

std::unique_ptr<child_process>
child_process::start(const std::string& program,
                     const std::vector<std::string>& arguments,
                     const std::string& log_file)
{
    int pipe_ends[2] = {-1, -1};
    if (::pipe2(pipe_ends, O_CLOEXEC) != 0)
    {
        throw std::runtime_error("no pipe");
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, file_mode);
    const auto pid = spawn(program, arguments, actions);
    posix_spawn_file_actions_destroy(&actions);
    ::close(pipe_ends[1]);
    std::unique_ptr<child_process> started(
        new child_process(pid, pipe_ends[0]));
    started->read_ready_line(program, log_file);
    return started;
}

child_process::child_process(pid_t pid, int output)
    : m_pid(pid), m_output(output)
{
}

child_process::~child_process()
{
    if (!m_has_ended)
    {
        send(SIGKILL);
        wait();
    }
    ::close(m_output);
}

void child_process::read_ready_line(const std::string& program,
                                    const std::string& log_file)
{
    std::string line;
    char letter = 0;
    while (::read(m_output, &letter, 1) == 1)
    {
        if (letter != '\n')
        {
            line += letter;
            continue;
        }
        if (line.rfind("ready ", 0) == 0)
        {
            m_ready_text = line.substr(std::string("ready ").size());
            return;
        }
        line.clear();
    }
    throw std::runtime_error(
        program + " ended before it was ready: " + read_file(log_file));
}

void child_process::send(int signal) const
{
    ::kill(m_pid, signal);
}

int child_process::wait()
{
    if (!m_has_ended)
    {
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        m_has_ended = true;
        m_exit_code = exit_code_of(status);
    }
    return m_exit_code;
}

bool child_process::is_running()
{
    if (m_has_ended)
    {
        return false;
    }
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) == 0)
    {
        return true;
    }
    m_has_ended = true;
    m_exit_code = exit_code_of(status);
    return false;
}

finished_program run_program(const std::string& program,
                             const std::vector<std::string>& arguments,
                             const std::string& input)
{
    const temporary_folder folder;
    const auto input_file = folder.write("input", input);
    const auto output_file = folder.path() + "/output";
    const auto error_file = folder.path() + "/errors";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, input_file.c_str(),
                                     O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     output_file.c_str(), O_WRONLY | O_CREAT,
                                     file_mode);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO,
                                     error_file.c_str(), O_WRONLY | O_CREAT,
                                     file_mode);
    const auto pid = spawn(program, arguments, actions);
    posix_spawn_file_actions_destroy(&actions);
    int status = 0;
    ::waitpid(pid, &status, 0);
    return {exit_code_of(status), read_file(output_file),
            read_file(error_file)};
}

} // namespace daleshelf::test
