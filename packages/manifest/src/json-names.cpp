// Names and numbers as they stand in messages about a document.
#include "json-names.h"

#include "json-reader.h"

#include <Poco/NumberFormatter.h>

#include <algorithm>
#include <cctype>

namespace jujubereach::manifest {

namespace {

    constexpr std::size_t maxIdLength = 63;
    constexpr std::size_t maxShownLength = 40;
    constexpr std::size_t maxTypingErrors = 2;

    // Levenshtein distance, letters compared without case.
    std::size_t editDistance(const std::string& a, const std::string& b)
    {
        std::vector<std::size_t> row(b.size() + 1);
        for (std::size_t j = 0; j <= b.size(); ++j)
            row[j] = j;
        for (std::size_t i = 1; i <= a.size(); ++i) {
            auto diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= b.size(); ++j) {
                auto isSame = std::tolower(static_cast<unsigned char>(a[i - 1]))
                    == std::tolower(static_cast<unsigned char>(b[j - 1]));
                auto replaced = diagonal + (isSame ? 0 : 1);
                diagonal = row[j];
                row[j] = std::min({ replaced, row[j] + 1, row[j - 1] + 1 });
            }
        }
        return row.back();
    }

    bool isIdCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    }

} // namespace

bool isValidId(const std::string& text)
{
    if (text.empty() || text.size() > maxIdLength || text.front() == '-' || text.back() == '-')
        return false;
    return std::all_of(text.begin(), text.end(), isIdCharacter);
}

std::string closestName(const std::string& name, const std::vector<std::string>& known)
{
    std::string closest;
    auto fewest = std::min(maxTypingErrors, name.size() / 2) + 1;
    // Names as long as a whole document are not worth the comparison.
    if (name.size() > maxIdLength)
        return closest;
    for (const auto& candidate : known) {
        auto distance = editDistance(name, candidate);
        if (distance < fewest) {
            fewest = distance;
            closest = candidate;
        }
    }
    return closest;
}

std::string joinNames(const std::vector<std::string>& names)
{
    std::string text;
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (i > 0)
            text += i + 1 == names.size() ? " and " : ", ";
        text += names[i];
    }
    return text;
}

std::string shortened(const std::string& input)
{
    auto text = input.substr(0, maxShownLength);
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return std::iscntrl(c); }, '?');
    return input.size() > maxShownLength ? text + "..." : text;
}

std::string shortNumber(double number)
{
    return Poco::NumberFormatter::format(number);
}

} // namespace jujubereach::manifest
