/**
 * The HTTP listener for operators. It is separate from the callers' listener and has its own tokens.
 *
 * @module
 */

import fastify, { type FastifyInstance, type FastifyReply } from "fastify";
import { createHash, timingSafeEqual } from "node:crypto";
import type { Server } from "node:tls";
import { z } from "zod";
import { type ConsensusNode, type VoterChange } from "../consensus/index.js";
import { addressSchema } from "../config/index.js";
import { type ChangeConfiguration, type ChangeResult, editSchema, findClaim, type ProposalResult } from "../cluster/index.js";
import { createGracefulListener, createWaitingCallers, type WaitingCaller, type WaitingCallers } from "../http/index.js";
import { splitAddress } from "../rpc/index.js";
import type { Control } from "./control.js";
import { buildStatus } from "./status.js";

const readTimeoutMs = 3_000;
const maxBodyBytes = 4_194_304;
/** Further findings of an invalid change are left out. */
const maxFindings = 50;

const voterChangeTimeoutMs = 30_000;
/** How long a change is proposed again because others have changed the same items. */
const changeTimeoutMs = 3_000;

const voterRequestSchema = z.strictObject({ id: z.string().min(1), address: addressSchema.optional() });

const changeRequestSchema = z.strictObject({
    changeId: z.string().min(1),
    expectedVersion: z.number().int().min(0).optional(),
    author: z.string().default("operator"),
    edits: z.array(editSchema).min(1),
});

/** Options of the operators' listener. */
export interface OperatorsOptions {
    readonly control: Control;
    readonly voters: Pick<ConsensusNode, "voters" | "addVoter" | "removeVoter">;
    readonly listen: string;
    readonly tokenHashes: readonly string[];
    readonly region: string;
    readonly daemonId: string;
    readonly tls?: { readonly cert: string; readonly key: string };
}

/** The operators' listener. */
export interface OperatorsServer {
    readonly address: string;
    /** Replaces the certificate for new connections. */
    reloadCertificate(tls: { readonly cert: string; readonly key: string }): void;
    readonly server: FastifyInstance;
    stop(): Promise<void>;
}

function isKnownToken(header: string | undefined, hashes: readonly string[]): boolean {
    if (header === undefined || !header.startsWith("Bearer ")) {
        return false;
    }
    const digest = createHash("sha256").update(header.slice("Bearer ".length)).digest();
    return hashes.some(hash => timingSafeEqual(Buffer.from(hash, "hex"), digest));
}

/** The answer to an operator who has given up on a change that this daemon has read late. */
const abandoned = { code: "operator-left", execution: "not-run" };

/**
 * Proposes a change as long as its operator waits for it. It names the version as of which that was so: an operator who was told of a later
 * change of the same items must not lose it to this one, however late the log gets it. Resolves to undefined once the operator has left.
 */
async function proposeChange(
    control: Control, change: Omit<ChangeConfiguration, "basedOnVersion">, operator: WaitingCaller,
): Promise<ProposalResult | undefined> {
    const giveUpAtMs = control.nowMs() + changeTimeoutMs;
    let basedOnVersion = control.log.state.configuration.version;
    while (control.nowMs() < giveUpAtMs && await operator.isWaiting()) {
        const proposal = await control.propose({ ...change, basedOnVersion });
        const result = proposal.outcome === "applied" ? proposal.result as ChangeResult : undefined;
        if (result?.outcome !== "superseded") {
            return proposal;
        }
        basedOnVersion = result.version;
    }
    return undefined;
}

function sendChange(reply: FastifyReply, control: Control, changeId: string, proposal: ProposalResult) {
    if (proposal.outcome === "not-leader") {
        return reply.code(503).send({ code: "no-leader", execution: "not-run", changeId });
    }
    if (proposal.outcome === "unknown") {
        return reply.code(503).send({ code: "unknown", execution: "unknown", changeId, detail: "Send it again under the same change id." });
    }
    const result = proposal.result as ChangeResult;
    const statuses = { accepted: 200, conflict: 409, superseded: 409, invalid: 422 };
    const inForce = control.inForce();
    return reply.code(statuses[result.outcome]).send({ ...result, inForce: inForce !== undefined && inForce >= result.version });
}

function sendVoterChange(reply: FastifyReply, change: VoterChange) {
    switch (change.outcome) {
        case "applied":
            return reply.send(change);
        case "refused":
            return reply.code(409).send({ code: "refused", execution: "not-run", findings: [change.reason] });
        case "not-leader":
            return reply.code(503).send({ code: "no-leader", execution: "not-run" });
        case "unknown":
            return reply.code(503).send({ code: "unknown", execution: "unknown", detail: "Look at the voters, then send it again." });
    }
}

/** Adds routes that list the voters of the region's quorum, and add or remove one at a time. */
function mountVoterRoutes(app: FastifyInstance, { control, voters }: OperatorsOptions, callers: WaitingCallers) {
    app.get("/v1/voters", () => ({
        leads: control.isLeader(),
        voters: voters.voters().map(({ voterId, ...rest }) => ({ id: voterId, ...rest })),
    }));
    app.post<{ Params: { change: string } }>("/v1/voters/:change", async (request, reply) => {
        const parsed = voterRequestSchema.safeParse(request.body);
        const isAdd = request.params.change === "add";
        if (!parsed.success || (!isAdd && request.params.change !== "remove") || (isAdd && parsed.data.address === undefined)) {
            return reply.code(422).send({ code: "invalid", findings: ["expected add with id and address, or remove with id"] });
        }
        // A late removal must not undo a newer addition, nor the reverse.
        if (!await callers.of(request.raw).isWaiting()) {
            return reply.code(503).send(abandoned);
        }
        const { id, address } = parsed.data;
        const change = isAdd
            ? await voters.addVoter(id, address!, voterChangeTimeoutMs)
            : await voters.removeVoter(id, voterChangeTimeoutMs);
        return sendVoterChange(reply, change);
    });
}

function mountRoutes(app: FastifyInstance, options: OperatorsOptions, callers: WaitingCallers) {
    const { control } = options;
    app.addHook("onRequest", async (request, reply) => {
        if (!isKnownToken(request.headers.authorization, options.tokenHashes)) {
            return reply.code(401).send({ code: "unknown-token", execution: "not-run" });
        }
    });

    mountVoterRoutes(app, options, callers);

    app.get("/v1/configuration", async (_request, reply) => {
        const state = await control.log.read(readTimeoutMs);
        if (state === undefined) {
            return reply.code(503).send({ code: "no-quorum", leader: control.log.leaderAddress });
        }
        const { version, value } = state.configuration;
        return { version, configuration: value, inForceVersion: control.inForce(), accepted: true };
    });

    app.get("/v1/configuration/history", async (_request, reply) => {
        const state = await control.log.read(readTimeoutMs);
        return state === undefined
            ? reply.code(503).send({ code: "no-quorum", leader: control.log.leaderAddress })
            : { changes: state.configuration.history };
    });

    app.post("/v1/configuration/changes", async (request, reply) => {
        const parsed = changeRequestSchema.safeParse(request.body);
        if (!parsed.success) {
            const findings = parsed.error.issues.slice(0, maxFindings).map(issue => `${issue.path.join(".")}: ${issue.message}`);
            return reply.code(422).send({ outcome: "invalid", findings });
        }
        const change = { kind: "change-configuration" as const, atMs: Date.now(), ...parsed.data };
        const proposal = await proposeChange(control, change, callers.of(request.raw));
        if (proposal === undefined) {
            return reply.code(503).send(abandoned);
        }
        return sendChange(reply, control, parsed.data.changeId, proposal);
    });

    app.get("/v1/status", () => buildStatus(control, options.region, options.daemonId));

    app.get<{ Params: { organisation: string; key: string } }>("/v1/requests/:organisation/:key", async (request, reply) => {
        const state = await control.log.read(readTimeoutMs);
        if (state === undefined) {
            return reply.code(503).send({ code: "no-quorum", leader: control.log.leaderAddress });
        }
        const record = findClaim(state.claims, request.params.organisation, request.params.key);
        return record ?? reply.code(404).send({ code: "unknown-request" });
    });
}

/** Starts the operators' listener. */
export async function createOperatorsServer(options: OperatorsOptions): Promise<OperatorsServer> {
    const listener = createGracefulListener({ tls: options.tls });
    const app = fastify({
        bodyLimit: maxBodyBytes, serverFactory: listener.serverFactory, clientErrorHandler: listener.clientErrorHandler,
    }) as FastifyInstance;
    const callers = createWaitingCallers();
    mountRoutes(app, options, callers);
    const { host, port } = splitAddress(options.listen);
    const url = await app.listen({ host, port });
    return {
        address: url.replace(/^https?:\/\//, ""),
        server: app,
        reloadCertificate: ({ cert, key }) => (app.server as unknown as Partial<Server>).setSecureContext?.({ cert, key }),
        async stop() {
            listener.drain();
            await Promise.race([app.close(), listener.settled()]);
            callers.stop();
        },
    };
}
