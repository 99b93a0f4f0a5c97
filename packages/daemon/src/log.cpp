#include <burdock/daemon/log.h>
#include <burdock/wire/json.h>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace Burdock
{

namespace
{

bool jsonFormat = false;

std::string formatLine(const std::string &level, const std::string &subject, const std::string &change, const std::vector<LogField> &fields)
{
    if (jsonFormat) {
        nlohmann::ordered_json line{{"level", level}, {"subject", subject}, {"change", change}};
        for (const LogField &field : fields) {
            line[field.name] = field.value;
        }
        return writeJson(line);
    }
    std::string line = subject + ": " + change;
    for (const LogField &field : fields) {
        line += " " + field.name + "=" + field.value;
    }
    return line;
}

} // namespace

void initializeLogging(const std::string &format, const std::string &level)
{
    static const log4cplus::Initializer initializer;
    jsonFormat = format == "json";
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(jsonFormat ? "%m%n" : "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    std::string upper = level;
    for (char &letter : upper) {
        letter = static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    }
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(upper));
}

void logChange(const std::string &subject, const std::string &change, const std::vector<LogField> &fields)
{
    LOG4CPLUS_INFO(log4cplus::Logger::getRoot(), formatLine("info", subject, change, fields));
}

void logWarning(const std::string &subject, const std::string &change, const std::vector<LogField> &fields)
{
    LOG4CPLUS_WARN(log4cplus::Logger::getRoot(), formatLine("warn", subject, change, fields));
}

} // namespace Burdock
