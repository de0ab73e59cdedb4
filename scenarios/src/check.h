// Passes the error of a call on to the caller.
#pragma once

#include "jujubereach/base/error.h"

/// Returns the error of a Result<void>. BOOST_LEAF_CHECK does so too, but by an extension of the compiler.
#define JUJUBEREACH_CHECK(expression)                                                                        \
    if (auto checkedResult = (expression); checkedResult) {                                                  \
    } else                                                                                                   \
        return checkedResult.error()
