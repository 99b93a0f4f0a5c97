#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace Burdock
{

/// A program that a test started; killed and reaped when the object goes.
class ChildProcess
{
public:
    /// Starts a program with its arguments. Standard output is read by readLine, standard error goes to the test's.
    /// With `outputPath` it is appended to that file instead.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &outputPath = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// The next line of standard output; empty when the program ended or said nothing for ten seconds.
    std::string readLine();

    /// All that standard output still gives until the program closes it.
    std::string readAll();

    /// Sends a signal to this process only.
    void signal(int number) const;

    /// Waits for the end; the exit code, or 128 plus the signal that ended it.
    int wait();

    /// The process's id.
    pid_t pid() const
    {
        return pid_;
    }

    /// True while the program runs.
    bool isRunning();

private:
    pid_t pid_ = -1;
    int output_ = -1;
    int exitCode_ = -1;
    std::string buffer_;
};

} // namespace Burdock
