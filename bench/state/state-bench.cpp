// Measures membership, takeover and manifest propagation in virtual time. The output is deterministic.
#include "report.h"

int main()
{
    jujubereach::bench::Report report;
    jujubereach::bench::measureMembership(report);
    jujubereach::bench::measureManifest(report);
    return report.boundExceeded() ? 1 : 0;
}
