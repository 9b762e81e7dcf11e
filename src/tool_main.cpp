#include "daemon.h"
#include "document_tool.h"
#include "load_tool.h"
#include "plan_tool.h"
#include "status_tool.h"

#include <array>

using namespace turmericline;

namespace {

using Command = int (*)(int argc, const char *const *argv, std::ostream &out, std::ostream &err);

struct CommandRow
{
    std::string_view name;
    Command run;
    std::string_view help;
};

/** Adapts a command that takes its arguments as a vector, without argv[0]. */
template<int (*run)(const std::vector<std::string> &, std::ostream &, std::ostream &)>
int withArguments(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    return run({argv + 1, argv + argc}, out, err);
}

constexpr std::array<CommandRow, 5> commands{{
    {"check",
     withArguments<runCheck>,
     "check DOCUMENT: report every error in a configuration document with its JSON path"},
    {"schema", withArguments<runSchema>, "schema: print the JSON Schema of the configuration document"},
    {"load", runLoad, "load --target URL...: open-loop load with latency by class and verdict (see load --help)"},
    {"plan", runPlan, "plan --trace FILE --ranks R --slots S --policy NAME: place experts on ranks (see plan --help)"},
    {"status",
     runStatus,
     "status --entry IP:PORT: print an entry's view of the fleet (IP:PORT of its operators' port)"},
}};

void printUsage(std::ostream &out)
{
    out << "Usage: turmericline COMMAND [ARGUMENTS]\n\n";
    for (const auto &it : commands) {
        out << "  " << it.help << "\n";
    }
    out << "\n  --help, --version\n";
}

} // namespace

int main(int argc, char **argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help") {
        printUsage(std::cout);
        return ExitOk;
    }
    if (name == "--version") {
        std::cout << "turmericline " << TURMERICLINE_VERSION << "\n";
        return ExitOk;
    }
    for (const auto &it : commands) {
        if (it.name == name) {
            return it.run(argc - 1, argv + 1, std::cout, std::cerr);
        }
    }
    std::cerr << (name.empty() ? "error: no command given\n" : "error: unknown command " + std::string(name) + "\n");
    printUsage(std::cerr);
    return ExitUsage;
}
