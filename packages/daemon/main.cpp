// The deployed daemon.
#include "program.h"

int main(int argc, char** argv)
{
    return jujubereach::daemon::run(argc, argv, {});
}
