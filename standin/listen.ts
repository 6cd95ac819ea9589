/**
 * Starts a stand-in's server and reports its address to the parent process.
 *
 * @module
 */

import type { AddressInfo } from "node:net";
import type { FastifyInstance } from "fastify";

/** Listens on `host:port` (port 0 selects a free port), prints the bound address as one line of JSON and exits on SIGTERM. */
export async function listen(server: FastifyInstance, address: string): Promise<void> {
    const separator = address.lastIndexOf(":");
    await server.listen({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) });
    const boundAddress = server.server.address() as AddressInfo;
    process.stdout.write(`${JSON.stringify({ listening: `${boundAddress.address}:${boundAddress.port}` })}\n`);
    process.on("SIGTERM", () => process.exit(0));
}
