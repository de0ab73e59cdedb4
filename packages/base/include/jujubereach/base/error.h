// Errors as values, carried by Boost.LEAF: what went wrong, where, and the input at fault.
#pragma once

#include <boost/leaf.hpp>

#include <optional>
#include <string>
#include <utility>

namespace jujubereach {

/// The kinds of error that a caller of a package may tell apart.
enum class ErrorCode {
    InvalidInput, ///< The input breaks a rule; trying again does not help.
    NotFound,
    Conflict, ///< Somebody else changed the thing first.
    Unavailable, ///< An outside system does not answer; trying again later may help.
    Overloaded, ///< A bound is reached; trying again later may help.
    Unknown, ///< Whether the operation took effect is not known.
};

/// Name of a code as it stands in JSON bodies and logs.
const char* nameOf(ErrorCode code);

struct Error {
    ErrorCode code = ErrorCode::InvalidInput;
    std::string what; ///< One short sentence that names the fix where there is one.
    std::string where; ///< Place in the input or the part at fault, such as "workspaces[2].shapes[0].size".
    std::string input; ///< The input at fault, shortened; never a body or a secret.
};

template <typename T> using Result = boost::leaf::result<T>;

/// Starts the way of an error up the call chain: `return fail({ ... });`
inline boost::leaf::error_id fail(Error error)
{
    return boost::leaf::new_error(std::move(error));
}

/// Either the value or the error, for callers that want both as plain values.
template <typename T> struct Outcome {
    std::optional<T> value;
    Error error;

    explicit operator bool() const { return value.has_value(); }
};

namespace detail {
    template <typename R> struct ResultValue;
    template <typename T> struct ResultValue<Result<T>> {
        using Type = T;
    };
} // namespace detail

/// Runs `f`, which returns Result<T>, and catches its error as a value.
template <typename F> auto outcomeOf(F&& f)
{
    using T = typename detail::ResultValue<decltype(f())>::Type;
    return boost::leaf::try_handle_all(
        [&]() -> Result<Outcome<T>> {
            BOOST_LEAF_AUTO(value, f());
            return Outcome<T> { std::optional<T>(std::move(value)), {} };
        },
        [](const Error& error) {
            return Outcome<T> { std::nullopt, error };
        },
        [] {
            return Outcome<T> { std::nullopt, Error { ErrorCode::Unknown, "unexpected error", {}, {} } };
        });
}

} // namespace jujubereach
