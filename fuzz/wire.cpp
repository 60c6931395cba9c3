// What clients and stores say to the proxy, under libFuzzer: whatever comes, nobody gets an answer to nothing
// and no state is left behind.
#include <cstdint>
#include <cstdlib>

#include "standins/poolerrig.hpp"

using granitereel::milliseconds;
using granitereel::standins::PoolerRig;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    PoolerRig rig;
    const int client = rig.client(), other = rig.client("bounded");
    rig.told(client);
    rig.told(other);
    std::string line;
    std::size_t asked = 0;
    for (std::size_t i = 0; i < size; ++i) {
        // A byte above the letters lets something happen; the rest makes lines.
        if (data[i] == 0xf0) rig.step();
        if (data[i] == 0xf1) rig.run(milliseconds(20));
        if (data[i] == 0xf2) rig.cutAll("s0");
        if (data[i] == 0xf3) rig.databases.loseNextAnswer("s0");
        if (data[i] == 0xf4) rig.databases.promote("s1"), rig.lead("s1");
        if (data[i] >= 0xf0) continue;
        if (data[i] != '\n') {
            line += static_cast<char>(data[i]);
            continue;
        }
        if (!rig.ended(client)) rig.say(client, line), ++asked;
        line.clear();
    }
    rig.run(milliseconds(2500));
    std::size_t ready = 0;
    for (const std::string& told : rig.told(client)) ready += told.starts_with("READY ");
    if (ready > asked || (!rig.ended(client) && ready < asked)) std::abort();
    rig.leave(client);
    rig.leave(other);
    rig.run(milliseconds(100));
    if (rig.pooler->sessionCount() != 0) std::abort();
    return 0;
}
