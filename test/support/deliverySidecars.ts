/**
 * The sidecar half of the delivery simulation: registries, event logs and engines that count their runs.
 *
 * @module
 */

import {
    type AttemptEvent, type DispatchParams, type EventLogState, eventsFrom, newEventLog, newRegistry, reduceEventLog, reduceRegistry,
    type RegistryEffect, type RegistryEvent, type RegistryState, type RequestEffect, type TombstoneState,
} from "../../src/attempt/index.js";

export type DispatchEffect = Extract<RequestEffect, { kind: "dispatch" }>;
export type ResumeEffect = Extract<RequestEffect, { kind: "resume" }>;

/** One connection from an entry to a sidecar. A silent link drops everything without reporting an error. */
export interface Link {
    readonly attemptId: string;
    readonly connection: number;
    nextSequence: number;
    state: "up" | "silent" | "broken";
    receive(sequence: number, event: AttemptEvent): void;
    refuseResume(): void;
}

export interface Work {
    readonly requestId: string;
    readonly key: string;
    readonly body: string;
    readonly idempotent: boolean;
}

interface Sidecar {
    readonly name: string;
    readonly bootId: string;
    registry: RegistryState;
    readonly logs: Map<string, EventLogState>;
    readonly jobs: Map<string, { readonly work: Work; readonly continueText: string }>;
    links: Link[];
}

export interface Sidecars {
    readonly upstreams: readonly { readonly name: string; readonly bootId: string }[];
    run(link: Link, effect: DispatchEffect, work: Work): void;
    resume(link: Link, effect: ResumeEffect): void;
    tombstone(effect: Extract<RequestEffect, { kind: "tombstone" }>): TombstoneState;
    cancel(name: string, attemptId: string): void;
    crashEngine(index: number): void;
    /** Restarts a sidecar with empty state and returns its links, which the caller has to break. */
    restart(index: number): readonly Link[];
    /** Returns how often an engine started work for an idempotency key or a request id. */
    runCountOf(id: string): number;
}

const tokensPerAnswer = 4;

/** Returns the complete answer text for a request body. */
export function expectedAnswer(body: string): string {
    return Array.from({ length: tokensPerAnswer }, (_, index) => `${body}${index} `).join("");
}

/** Decodes the text of one or more answer chunks. */
export function decodeChunks(data: Uint8Array): string {
    const lines = Buffer.from(data).toString().split("\n").filter(line => line !== "");
    return lines.map(line => (JSON.parse(line) as { choices: { text: string }[] }).choices[0]!.text).join("");
}

function encodeChunk(text: string): Uint8Array {
    return Buffer.from(`${JSON.stringify({ choices: [{ text }] })}\n`);
}

/** Creates two sidecars, each with an engine; `enqueueTask` adds a task to the schedule. */
export function createSidecars(enqueueTask: (run: () => void) => void): Sidecars {
    const runCounts = new Map<string, number>();
    let bootCount = 0;
    const sidecars: Sidecar[] = ["x", "y"].map(boot);

    function boot(name: string): Sidecar {
        const bootId = `${name}${++bootCount}`;
        return { name, bootId, registry: newRegistry(bootId, 0), logs: new Map(), jobs: new Map(), links: [] };
    }

    function findSidecar(name: string): Sidecar {
        return sidecars.find(sidecar => sidecar.name === name)!;
    }

    function apply(sidecar: Sidecar, event: RegistryEvent, link?: Link): readonly RegistryEffect[] {
        const result = reduceRegistry(sidecar.registry, event);
        sidecar.registry = result.state;
        result.effects.forEach(effect => perform(sidecar, effect, link));
        return result.effects;
    }

    function perform(sidecar: Sidecar, effect: RegistryEffect, link: Link | undefined) {
        switch (effect.kind) {
            case "ask-limiter":
                apply(sidecar, { kind: "start-answered", nowMs: 0, attemptId: effect.attemptId, answer: { admitted: true } }, link);
                return;
            case "start":
                start(sidecar, effect.attemptId);
                return;
            case "refuse":
                send(link!, 1, { ...effect, kind: "failure", detail: "" });
                return;
            case "fail":
                append(sidecar, effect.attemptId, { ...effect, kind: "failure", retryAfterMs: 1, detail: "" });
        }
    }

    function start(sidecar: Sidecar, attemptId: string) {
        const { work, continueText } = sidecar.jobs.get(attemptId)!;
        [work.key, work.requestId].forEach(id => runCounts.set(id, (runCounts.get(id) ?? 0) + 1));
        sidecar.logs.set(attemptId, newEventLog());
        append(sidecar, attemptId, { kind: "started", head: { status: 200, headers: [] } });
        enqueueTask(() => produce(sidecar, attemptId, continueText.split(" ").length - 1, 0, 0));
    }

    function produce(sidecar: Sidecar, attemptId: string, index: number, chunks: number, bytes: number) {
        if (!sidecar.registry.live.has(attemptId) || !sidecars.includes(sidecar)) {
            return;
        }
        if (index >= tokensPerAnswer) {
            append(sidecar, attemptId, { kind: "end", chunks, bytes });
            apply(sidecar, { kind: "ended", nowMs: 0, attemptId });
            return;
        }
        const data = encodeChunk(`${sidecar.jobs.get(attemptId)!.work.body}${index} `);
        append(sidecar, attemptId, { kind: "chunk", data });
        enqueueTask(() => produce(sidecar, attemptId, index + 1, chunks + 1, bytes + data.length));
    }

    function append(sidecar: Sidecar, attemptId: string, event: Exclude<AttemptEvent, { kind: "heartbeat" }>) {
        const log = sidecar.logs.get(attemptId)!;
        sidecar.logs.set(attemptId, reduceEventLog(log, { kind: "append", event }).state);
        sendAvailable(sidecar, attemptId);
    }

    function sendAvailable(sidecar: Sidecar, attemptId: string) {
        for (const link of sidecar.links.filter(other => other.attemptId === attemptId)) {
            const events = eventsFrom(sidecar.logs.get(attemptId)!, link.nextSequence) ?? [];
            events.forEach((event, index) => send(link, link.nextSequence + index, event));
            link.nextSequence += events.length;
        }
    }

    function send(link: Link, sequence: number, event: AttemptEvent) {
        enqueueTask(() => link.state === "up" && link.receive(sequence, event));
    }

    return {
        get upstreams() {
            return sidecars;
        },
        run(link, effect, work) {
            const sidecar = findSidecar(effect.upstream.address);
            const dispatch: DispatchParams = {
                attemptId: effect.attemptId,
                sidecarBootId: effect.upstream.sidecarBootId,
                epoch: 1,
                deadlineMs: 1,
                idempotent: work.idempotent,
                fingerprint: work.body,
                sharedParts: [], suspect: false,
            };
            const admission = {
                leaving: false, epoch: 1, membersLive: true, configurationLive: true, drained: false, barred: false, pushbackLeftMs: 0,
            };
            sidecar.links.push(link);
            sidecar.jobs.set(effect.attemptId, { work, continueText: effect.continueText });
            apply(sidecar, { kind: "run", nowMs: 0, dispatch, admission }, link);
        },
        resume(link, effect) {
            const sidecar = findSidecar(effect.upstream.address);
            if (effect.upstream.sidecarBootId !== sidecar.bootId || !sidecar.logs.has(effect.attemptId)) {
                enqueueTask(() => link.state === "up" && link.refuseResume());
                return;
            }
            link.nextSequence = effect.fromSequence;
            sidecar.links.push(link);
            sendAvailable(sidecar, effect.attemptId);
        },
        tombstone({ attemptId, upstream }) {
            const effects = apply(findSidecar(upstream.address), { kind: "tombstone", nowMs: 0, attemptId, bootId: upstream.sidecarBootId });
            return effects.find(effect => effect.kind === "answer-tombstone")!.state;
        },
        cancel: (name, attemptId) => void apply(findSidecar(name), { kind: "cancel", nowMs: 0, attemptId }),
        crashEngine(index) {
            const sidecar = sidecars[index]!;
            apply(sidecar, { kind: "engine-lost", nowMs: 0, engineBootId: `${sidecar.bootId}e` });
        },
        restart(index) {
            const previous = sidecars[index]!;
            sidecars[index] = boot(previous.name);
            return previous.links;
        },
        runCountOf: id => runCounts.get(id) ?? 0,
    };
}
