// The one key that decides which manifest is in force, and the values that it points to.
#pragma once

#include "jujubereach/manifest/sections.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jujubereach::manifest {

using OperationId = Id<struct OperationTag>; ///< Chosen by the operator's tool, unique for each apply.
using OperatorName = Id<struct OperatorTag>;

/// Keys in the platform's service.
constexpr const char* rootKey = "manifest/root";
std::string contentKey(const ContentName& name);

/// Applies that stay known as accepted after later ones have replaced the root.
constexpr std::size_t maxAcceptedOperations = 64;
/// Retired contents that are kept for hosts that are still fetching them; older ones are removed.
constexpr std::size_t keptRetiredContents = 128;
/// A root lists the latest changes up to this number, so that hosts a few behind need not read the index.
constexpr std::size_t maxRootChanges = 6;
/// Changes that hosts list for each other.
constexpr std::size_t maxPeerChanges = 32;

/// Rank of a root. Counters rise with each accepted apply; two roots with one counter exist only after the
/// service has lost writes, and then every host prefers the same one.
struct RootRank {
    std::uint64_t counter = 0;
    OperationId operation;

    friend auto operator<=>(const RootRank&, const RootRank&) = default;
};

/// The value of the root key: small, since it travels with every change.
struct Root {
    std::uint64_t counter = 0; ///< 0 means no manifest.
    OperationId operation;
    OperatorName operatorName;
    ContentName index; ///< Names the value that lists all sections.
    Revision indexRevision; ///< Of that value when it was written.
    ContentName sections; ///< nameOfSections of them.
    std::uint64_t base = 0; ///< `changes` are all since this counter; 0 when they are not listed.
    std::vector<SectionChange> changes; ///< Latest first. They make any root from `base` on into this one.

    RootRank rank() const { return { counter, operation }; }
};

struct AcceptedOperation {
    std::uint64_t counter = 0;
    OperationId operation;
    OperatorName operatorName;
};

/// A value that no section uses any more. It may be removed only at this revision: whoever comes to use the
/// same content again writes it once more, which changes the revision.
struct RetiredContent {
    ContentName name;
    Revision revision;
};

/// Read only by hosts that lack the root's base, and by the operator's tool.
struct Index {
    SectionMap sections;
    std::vector<AcceptedOperation> accepted; ///< Oldest first, at most maxAcceptedOperations.
    std::vector<RetiredContent> retired; ///< Oldest first.
};

std::string encode(const Root& root);
Result<Root> decodeRoot(const std::string& text);
std::string encode(const Index& index);
Result<Index> decodeIndex(const std::string& text);

} // namespace jujubereach::manifest
