/**
 * Finds loopback addresses and ports that nothing else on the machine uses.
 *
 * @module
 */

import { createServer } from "node:net";

const attempts = 50;
const [firstPort, lastPort] = [20_000, 30_000];

function canListen(host, port) {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen({ host, port }, () => server.close(() => resolve(true)));
    });
}

/** Returns a port that is free, with the `count - 1` following ones, at each of the hosts. Throws if a fixed port isn't free there. */
export async function findPorts(hosts, count, fixedPorts = []) {
    const fixed = await Promise.all(hosts.flatMap(host => fixedPorts.map(port => canListen(host, port))));
    if (!fixed.every(Boolean)) {
        throw new Error(`one of the ports ${fixedPorts.join(", ")} is not free`);
    }
    for (let attempt = 0; attempt < attempts; attempt++) {
        const port = firstPort + Math.floor(Math.random() * (lastPort - firstPort));
        const checks = hosts.flatMap(host => Array.from({ length: count }, (_, offset) => canListen(host, port + offset)));
        if ((await Promise.all(checks)).every(Boolean)) {
            return port;
        }
    }
    throw new Error("no free ports were found");
}

/** Returns a loopback network of the form `127.a.b`, drawn at random, so that sites that run at the same time don't meet. */
export function drawNetwork() {
    return `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 200)}`;
}
