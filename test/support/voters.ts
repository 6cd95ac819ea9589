/**
 * Voters that run inside the test process with real sockets and disks.
 *
 * @module
 */

import * as fs from "node:fs/promises";
import * as http2 from "node:http2";
import type { AddressInfo } from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { startRelay } from "../../standin/relay.js";
import { type ConsensusNode, createReplicatedLog, type ReplicatedLogOptions, type SettingsPeer } from "../../src/consensus/index.js";

/** Short enough for tests, long enough to tolerate a stalled event loop. */
export const quickTimings = {
    heartbeatMs: 50, electionTimeoutMinMs: 400, electionTimeoutMaxMs: 800, preVoteMs: 100, leaseMs: 300,
    voterSilenceTimeoutMs: 3_200, admissionTimeoutMs: 3_200, rejoinAfterMs: 2_400, readTimeoutMs: 800,
    helloMs: 100,
};

export interface VoterHost {
    readonly peer: SettingsPeer;
    /** Silences the open connections from other voters to this one. */
    silence(): void;
    readonly folder: string;
    readonly logLines: string[];
    node: ConsensusNode | undefined;
    start(options?: Partial<ReplicatedLogOptions>): Promise<ConsensusNode>;
    /** Stops the voter abruptly: closes its streams without transferring leadership. */
    kill(): Promise<void>;
    deleteData(): Promise<void>;
    /** Stops the voter and closes its listener. */
    close(): Promise<void>;
}

async function createVoterHost(id: string, folder: string, peers: SettingsPeer[]): Promise<VoterHost> {
    const sessions = new Set<http2.ServerHttp2Session>();
    let handler: ReturnType<typeof connectNodeAdapter> | undefined;
    const server = http2.createServer((request, response) => handler === undefined ? response.stream.close() : handler(request, response));
    server.on("session", session => {
        sessions.add(session);
        session.on("close", () => sessions.delete(session));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const relay = await startRelay(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    const peer = { id, address: relay.address };
    peers.push(peer);
    const host: VoterHost = {
        peer,
        folder,
        silence: () => relay.silence("there", "back"),
        logLines: [],
        node: undefined,
        async start(options = {}) {
            const node = await createReplicatedLog({
                voterId: id, peers, dataFolder: folder, timings: quickTimings, logger: line => host.logLines.push(line), ...options,
            });
            handler = connectNodeAdapter({ routes: node.routes });
            host.node = node;
            return node;
        },
        async kill() {
            handler = undefined;
            sessions.forEach(session => session.destroy());
            await host.node?.abandon();
            host.node = undefined;
        },
        deleteData: () => fs.rm(folder, { recursive: true, force: true }),
        async close() {
            await host.kill();
            relay.stop();
            await new Promise(resolve => server.close(resolve));
        },
    };
    return host;
}

/** Creates a listener and a data folder for each id, without starting the voters. */
export async function createVoterHosts(ids: readonly string[]): Promise<{ hosts: VoterHost[]; close(): Promise<void> }> {
    const root = await fs.mkdtemp(path.join(os.tmpdir(), "consensus-"));
    const peers: SettingsPeer[] = [];
    const hosts: VoterHost[] = [];
    for (const id of ids) {
        hosts.push(await createVoterHost(id, path.join(root, id), peers));
    }
    return {
        hosts,
        async close() {
            await Promise.all(hosts.map(host => host.close()));
            await fs.rm(root, { recursive: true, force: true });
        },
    };
}

/** Polls until `probe` returns a value other than undefined or false; throws after `timeoutMs`. */
export async function waitFor<Value>(description: string, probe: () => Value | undefined | false, timeoutMs = 20_000): Promise<Value> {
    const deadlineMs = performance.now() + timeoutMs;
    while (performance.now() < deadlineMs) {
        const value = probe();
        if (value !== undefined && value !== false) {
            return value;
        }
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    throw new Error(`timed out waiting for: ${description}`);
}

/** Waits for a voter to hold the leader lease and returns it. */
export function waitForLeader(hosts: readonly VoterHost[]): Promise<VoterHost> {
    return waitFor("a leader", () => hosts.find(host => host.node?.leaseHeld));
}
