#include "document_tool.h"

#include "document.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace turmericline {

namespace {

namespace po = boost::program_options;

constexpr int exitInvalid = 1;
constexpr int exitUsage = 2;

struct CheckArguments
{
    std::string file;
    std::string previous;
};

std::optional<CheckArguments> parseArguments(const std::vector<std::string> &args, std::ostream &err)
{
    CheckArguments result;
    po::options_description options("turmericline check [--previous FILE] FILE");
    options.add_options()("file", po::value(&result.file)->required(), "document to check")(
        "previous", po::value(&result.previous), "document that it replaces");
    po::positional_options_description positions;
    positions.add("file", 1);
    try {
        po::variables_map values;
        po::store(po::command_line_parser(args).options(options).positional(positions).run(), values);
        po::notify(values);
    } catch (const po::error &error) {
        err << error.what() << '\n' << options;
        return std::nullopt;
    }
    return result;
}

std::optional<std::string> readFile(const std::string &name, std::ostream &err)
{
    std::ifstream file(name, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) {
        err << name << ": cannot be read\n";
        return std::nullopt;
    }
    return text;
}

void printErrors(const std::string &name, const std::vector<DocumentError> &errors, std::ostream &err)
{
    for (const auto &it : errors) {
        err << name << ": " << it.path << ": " << it.message << '\n';
    }
}

/** Validates the change, including that the version rises, since no instance would apply the document otherwise. */
std::vector<DocumentError> checkChange(const Document &from, const Document &to)
{
    auto errors = checkTransition(from, to);
    if (to.version <= from.version) {
        errors.insert(
            errors.begin(),
            {"$.version",
             "version " + std::to_string(to.version) + " is not above the previous " + std::to_string(from.version)});
    }
    return errors;
}

/** Reads and parses a document. Returns nothing and sets the exit code @p code if that fails. */
std::optional<Document> loadDocument(const std::string &name, std::ostream &err, int &code)
{
    const auto text = readFile(name, err);
    if (!text) {
        code = exitUsage;
        return std::nullopt;
    }
    auto parse = parseDocument(*text);
    printErrors(name, parse.errors, err);
    code = parse.document ? 0 : exitInvalid;
    return std::move(parse.document);
}

} // namespace

int runCheck(const std::vector<std::string> &args, std::ostream &out, std::ostream &err)
{
    const auto arguments = parseArguments(args, err);
    if (!arguments) {
        return exitUsage;
    }
    int code = 0;
    const auto document = loadDocument(arguments->file, err, code);
    if (!document) {
        return code;
    }
    if (!arguments->previous.empty()) {
        const auto previous = loadDocument(arguments->previous, err, code);
        if (!previous) {
            return code;
        }
        const auto errors = checkChange(*previous, *document);
        if (!errors.empty()) {
            printErrors(arguments->file, errors, err);
            return exitInvalid;
        }
    }
    out << arguments->file << ": version " << document->version << ", " << document->plans.size() << " plans, "
        << document->workspaces.size() << " workspaces, " << document->workspaceByKey.size() << " keys, "
        << document->services.size() << " services, " << document->servers.size() << " backend servers\n";
    return 0;
}

int runSchema(const std::vector<std::string> &args, std::ostream &out, std::ostream &err)
{
    if (!args.empty()) {
        err << "usage: turmericline schema\n";
        return exitUsage;
    }
    out << documentSchema().dump(2) << '\n';
    return 0;
}

} // namespace turmericline
