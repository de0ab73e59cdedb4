// The operators' and callers' command line.
#include "jujubereach/ctl/run.h"

int main(int argc, char** argv)
{
    return jujubereach::ctl::run(argc, argv);
}
