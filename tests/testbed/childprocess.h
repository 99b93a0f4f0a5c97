#pragma once

#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Burdock
{

/// A child process of a test; the destructor kills and reaps it.
class ChildProcess
{
public:
    /// Starts a program. Standard output is available through readLine(), or is appended to `outputPath` if that is set. Standard error
    /// is inherited from the test. Throws std::runtime_error if the program cannot be started.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &outputPath = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Returns the next line of standard output; empty if the program closed it or wrote nothing for 10 s.
    std::string readLine();

    /// Returns the remaining standard output, up to an empty line, the end or 10 s without output.
    std::string readAll();

    /// Sends a signal to this process, not to its group; does nothing once the process was reaped.
    void signal(int number);

    /// Waits for the process to exit; returns its exit code, or 128 plus the number of the signal that killed it.
    int wait();

    /// Describes how the process ended, if it ended by itself: neither with exit code 0 nor by a SIGINT, SIGTERM or SIGKILL that was sent
    /// to it. Empty otherwise, and while it runs.
    std::string faultyEnd();

    pid_t pid() const
    {
        return pid_;
    }

    /// Whether the process has not exited yet; reaps it otherwise.
    bool isRunning();

private:
    pid_t pid_ = -1;
    int output_ = -1;
    int exitCode_ = -1;
    std::set<int> sentSignals_;
    std::string buffer_;
};

} // namespace Burdock
