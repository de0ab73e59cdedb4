// Measures shared state in virtual time: membership, takeover, the spread of manifests. Same output every
// run.
#include "report.h"

int main()
{
    jujubereach::bench::Report report;
    jujubereach::bench::measureMembership(report);
    jujubereach::bench::measureManifest(report);
    return report.broken() ? 1 : 0;
}
