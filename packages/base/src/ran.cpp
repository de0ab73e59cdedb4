#include "jujubereach/base/ran.h"

namespace jujubereach {

const char* nameOf(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace jujubereach
