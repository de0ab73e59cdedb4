// Errors as values, propagated with Boost.LEAF.
#pragma once

#include <boost/leaf.hpp>

#include <optional>
#include <string>
#include <utility>

namespace jujubereach {

/// The kinds of error that callers of a package can distinguish.
enum class ErrorCode {
    InvalidInput, ///< The input violates a rule; a retry cannot succeed.
    NotFound,
    Conflict, ///< A concurrent change came first.
    Unavailable, ///< An external system does not respond; a later retry may succeed.
    Overloaded, ///< A limit is reached; a later retry may succeed.
    Unknown, ///< Whether the operation took effect is not known.
};

/// Name of a code in JSON bodies and logs.
const char* nameOf(ErrorCode code);

struct Error {
    ErrorCode code = ErrorCode::InvalidInput;
    std::string what; ///< One short sentence, with the remedy if there is one.
    std::string where; ///< Location in the input or failing part, such as "workspaces[2].shapes[0].size".
    std::string input; ///< The offending input, shortened; never a body or a secret.
};

template <typename T> using Result = boost::leaf::result<T>;

/// Creates an error to return: `return fail({ ... });`
inline boost::leaf::error_id fail(Error error)
{
    return boost::leaf::new_error(std::move(error));
}

/// Either the value or the error, as plain values.
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

/// Runs `f`, which returns Result<T>, and converts the result to an Outcome<T>.
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
