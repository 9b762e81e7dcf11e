#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace turmericline {

/** Pointer to the member of the settings struct that a row of the settings table fills. */
template<typename S>
using SettingMember = std::variant<std::string S::*,
                                   bool S::*,
                                   std::uint16_t S::*,
                                   std::uint64_t S::*,
                                   double S::*,
                                   std::chrono::milliseconds S::*,
                                   std::vector<std::string> S::*>;

/** Checks a text value. Returns a description of the allowed values if it is invalid, otherwise an empty text. */
using SettingCheck = std::string (*)(const std::string &value);

/** One setting: the flag --NAME and the environment variable TURMERICLINE_NAME. */
template<typename S>
struct SettingRow
{
    std::string_view name;
    SettingMember<S> member;
    std::string_view defaultText; ///< Empty if there is no default.
    std::string_view help;
    bool isRequired = false;
    std::uint64_t min = 0;
    std::uint64_t max = std::numeric_limits<std::uint64_t>::max();
    SettingCheck check = nullptr;
};

/** An invalid setting. */
struct SettingError
{
    std::string name;
    std::string value;
    std::string allowed; ///< Description of the allowed values.
};

enum class SettingsAction {
    Run,
    Help,
    Version,
    Check, ///< Check the settings and exit.
};

template<typename S>
struct SettingsParseResult
{
    S settings;
    std::string file; ///< Path of the settings file that was read; empty for none.
    SettingsAction action = SettingsAction::Run;
    std::vector<SettingError> errors;
};

} // namespace turmericline
