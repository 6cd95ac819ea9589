/**
 * A fake operators' listener with the real configuration reducer; it can simulate the failures that a command must tell apart.
 *
 * @module
 */

import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { text } from "node:stream/consumers";
import { applyConfigurationChange, type ConfigurationState, emptyConfiguration } from "../../src/cluster/index.js";

export interface FakeOperators {
    readonly address: string;
    state: ConfigurationState;
    /** How the next change fails; reset after use. "lose-answer" applies the change and closes the connection. */
    failure: "lose-answer" | "no-quorum" | undefined;
    /** Closes the listener after answering the next change. */
    closeAfterChange: boolean;
    /** The number of polls until a change is in force. */
    pollsUntilInForce: number;
    /** The delay of the answer to a poll. */
    pollDelayMs: number;
    /** Answers for other requests, by method and path. */
    readonly answers: Map<string, unknown>;
    leaderOperators: string | undefined;
    close(): Promise<void>;
}

export const token = "zt_operatortoken";

export async function startFakeOperators(): Promise<FakeOperators> {
    const server = createServer(async (request, response) => {
        const body = await text(request);
        if (request.headers.authorization !== `Bearer ${token}`) {
            send(response, 401, { code: "unauthorised" });
            return;
        }
        if (fake.leaderOperators !== undefined) {
            send(response, 503, { code: "no-leader", execution: "not-run", leaderOperators: fake.leaderOperators });
            return;
        }
        route(`${request.method} ${request.url}`, body, response);
    });

    function send(response: ServerResponse, status: number, body: unknown) {
        response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
    }

    function change(body: string, response: ServerResponse) {
        const { failure } = fake;
        fake.failure = undefined;
        if (failure === "no-quorum") {
            send(response, 503, { code: "no-leader", execution: "not-run" });
            return;
        }
        const command = { kind: "change-configuration" as const, atMs: 0, ...JSON.parse(body) };
        const { state, result } = applyConfigurationChange(fake.state, command);
        fake.state = state;
        if (failure === "lose-answer") {
            response.destroy();
            return;
        }
        const status = { accepted: 200, conflict: 409, superseded: 409, invalid: 422 }[result.outcome];
        if (fake.closeAfterChange) {
            response.on("close", () => void fake.close());
        }
        send(response, status, { ...result, inForce: fake.pollsUntilInForce === 0 });
    }

    /** Reports one lease holder as lagging until `pollsUntilInForce` reaches 0. */
    function leaderStatus() {
        const { version } = fake.state;
        const heldVersion = fake.pollsUntilInForce === 0 ? version : version - 1;
        fake.pollsUntilInForce = Math.max(0, fake.pollsUntilInForce - 1);
        return {
            region: "scl", daemonId: "entry-1", role: "leader", leads: true, configurationVersion: version, inForceVersion: heldVersion,
            holders: [{ daemonId: "sidecar-7", configurationVersion: heldVersion, leaseRemainingMs: 1_000 }],
            replicas: [], vms: [], upstreams: [], totals: { replicaDowntimeMs: 0, strandedVmMs: 0 },
        };
    }

    function route(call: string, body: string, response: ServerResponse) {
        if (call === "POST /v1/configuration/changes") {
            change(body, response);
            return;
        }
        if (call === "GET /v1/configuration") {
            const { version, value } = fake.state;
            send(response, 200, { version, configuration: value, accepted: true });
            return;
        }
        if (call === "GET /v1/status" && !fake.answers.has(call)) {
            setTimeout(() => send(response, 200, leaderStatus()), fake.pollDelayMs);
            return;
        }
        const answer = call === "GET /v1/configuration/history" ? { changes: fake.state.history } : fake.answers.get(call);
        send(response, answer === undefined ? 404 : 200, answer ?? { code: "not-found" });
    }

    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const fake: FakeOperators = {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        state: emptyConfiguration,
        failure: undefined,
        closeAfterChange: false,
        pollsUntilInForce: 0,
        pollDelayMs: 0,
        answers: new Map(),
        leaderOperators: undefined,
        close: () => new Promise(resolve => {
            server.closeAllConnections();
            server.close(() => resolve());
        }),
    };
    return fake;
}
