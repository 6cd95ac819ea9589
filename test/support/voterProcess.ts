/**
 * Runs one voter as a separate process, for tests that kill it: `voterProcess.ts <id> <folder> <id=port,...>`. It answers requests
 * from its parent over the IPC channel: `{ id, ask: "status" }` or `{ id, ask: "propose", command }`.
 *
 * @module
 */

import * as http2 from "node:http2";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type { Command } from "../../src/cluster/index.js";
import { createReplicatedLog } from "../../src/consensus/index.js";
import { quickTimings } from "./voters.js";

export type VoterRequest = { id: number; ask: "status" } | { id: number; ask: "propose"; command: Command };

const [voterId, dataFolder, addresses] = process.argv.slice(2) as [string, string, string];
const peers = addresses.split(",").map(pair => ({ id: pair.split("=")[0]!, address: `127.0.0.1:${pair.split("=")[1]}` }));
const limits = { snapshotLogBytes: 30_000, trailingBytes: 3_000 };
const node = await createReplicatedLog({ voterId, peers, dataFolder, timings: quickTimings, limits });
const server = http2.createServer(connectNodeAdapter({ routes: node.routes }));
server.listen(Number(peers.find(peer => peer.id === voterId)!.address.split(":")[1]), "127.0.0.1");

async function answer(request: VoterRequest): Promise<unknown> {
    if (request.ask === "propose") {
        return (await node.propose(request.command, 3_000)).outcome;
    }
    const keys = node.state.configuration.value.organisations.map(organisation => organisation.name);
    return { leads: node.leaseHeld, keys, voters: node.voters(), appliedIndex: node.appliedIndex };
}

process.on("message", (request: VoterRequest) => void answer(request).then(value => process.send!({ id: request.id, value })));
process.on("disconnect", () => process.exit(0));
