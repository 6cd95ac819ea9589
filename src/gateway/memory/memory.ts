/**
 * Applies the account of held bytes to requests: pauses and resumes bodies and answers, and disconnects callers who take nothing.
 *
 * @module
 */

import { accountReducer, type AccountEvent, boundFor, createAccount, heldBy, type HeldKind, isAtLeast, type LevelChange } from "./account.js";
import { bodiesToRead } from "./bodies.js";
import { chooseCuts, type Cut } from "./slowReaders.js";
import type { CallerConnection, Holder, Memory, MemoryOptions, Source } from "./types.js";
import { uncountedBody } from "./unbounded.js";

/** An answer is read on into the account up to this size, so that its upstream doesn't cut it off for a slow caller. */
const maxReadOnBytes = 1_048_576;
/** A paused answer is read on again once no more than this is held, so that it isn't paused again by each chunk. */
const resumeBytes = 0.75 * maxReadOnBytes;

interface HolderState {
    readonly id: string;
    readonly connection: CallerConnection;
    readonly sources: Set<{ isPaused: boolean; readonly source: Source }>;
    references: number;
    isCallerClosed: boolean;
    unsentBytes: number;
    queuedBytes: number;
    lastTakenAtMs: number;
}

interface ReadBody {
    readonly holder: string;
    readonly source: Source;
    readonly expectedBytes: number;
    readBytes: number;
    isPaused: boolean;
}

/** Creates the account of a process with a memory limit. */
export function createMemory({ limitMb, logger, nowMs, count }: MemoryOptions): Memory {
    let account = createAccount(boundFor(limitMb));
    let nextId = 0;
    const holders = new Map<string, HolderState>();
    const bodies = new Map<string, ReadBody>();

    function apply(event: AccountEvent) {
        const { state, effects } = accountReducer(account, event);
        account = state;
        effects.forEach(onLevelChanged);
    }

    function onLevelChanged({ from, to }: LevelChange) {
        const { totalBytes, boundBytes, byKind } = account;
        logger.info("memory level changed", { from, to, totalBytes, boundBytes, ...byKind, holders: holders.size });
        if (to === "full") {
            holders.forEach(pauseIfFull);
        }
        scheduleBodies();
    }

    function pause(entry: { isPaused: boolean; readonly source: Source }) {
        if (!entry.isPaused) {
            entry.isPaused = true;
            count("pause", "answer");
        }
        entry.source.pause();
    }

    function resume(entry: { isPaused: boolean; readonly source: Source }) {
        entry.isPaused = false;
        entry.source.resume();
    }

    /**
     * Whether the holder's answer is read although the account is full. If nothing waits for callers, nothing becomes free before an answer
     * is complete, so the oldest is read on.
     */
    function mayFinish(holder: HolderState): boolean {
        return account.byKind.caller === 0 && [...holders.values()].find(({ sources }) => sources.size > 0) === holder;
    }

    function pauseIfFull(holder: HolderState) {
        if (account.level === "full" && !mayFinish(holder)) {
            holder.sources.forEach(pause);
        }
    }

    function scheduleBodies() {
        const readable = bodiesToRead([...bodies.values()], account);
        for (const body of bodies.values()) {
            if (body.isPaused === !readable.has(body.holder)) {
                continue;
            }
            body.isPaused = !body.isPaused;
            if (body.isPaused) {
                count("pause", "body");
                body.source.pause();
            }
            else {
                body.source.resume();
            }
        }
    }

    function hold({ id, isCallerClosed, references }: HolderState, part: HeldKind, bytes: number) {
        if (references > 0 && !(isCallerClosed && part === "caller")) {
            apply({ kind: "hold", holder: id, part, bytes });
        }
    }

    function release(holder: HolderState) {
        if (--holder.references === 0) {
            holders.delete(holder.id);
            apply({ kind: "release", holder: holder.id });
        }
    }

    function answerBytes({ id }: HolderState): number {
        const { caller, answer } = heldBy(account, id);
        return caller + answer;
    }

    function mayReadOn(holder: HolderState, maxBytes: number): boolean {
        return account.level === "normal" && !holder.isCallerClosed && answerBytes(holder) < maxBytes;
    }

    /** Updates what the caller has taken since the last time. */
    function sample(holder: HolderState) {
        const { unsentBytes, queuedBytes } = holder.connection;
        // New bytes are queued only once those before them have been taken, so every change of the queue means that some were.
        if (unsentBytes === 0 || unsentBytes < holder.unsentBytes || queuedBytes !== holder.queuedBytes || holder.unsentBytes === 0) {
            holder.lastTakenAtMs = nowMs();
        }
        holder.unsentBytes = unsentBytes;
        holder.queuedBytes = queuedBytes;
        hold(holder, "caller", unsentBytes);
    }

    function disconnect({ caller, reason }: Cut) {
        const { connection } = holders.get(caller.holder)!;
        count("cut-off", reason);
        logger.info("slow caller disconnected", {
            request: connection.attemptId, reason, heldBytes: caller.heldBytes, idleMs: Math.round(nowMs() - caller.lastTakenAtMs),
            isResumable: caller.isResumable, isComplete: caller.isComplete, level: account.level, totalBytes: account.totalBytes,
            boundBytes: account.boundBytes,
        });
        connection.disconnect();
    }

    function cutSlowReaders() {
        const waiting = [...holders.values()]
            .filter(({ isCallerClosed, unsentBytes, connection }) => !isCallerClosed && unsentBytes > 0 && connection.isSending)
            .map(holder => ({
                holder: holder.id, heldBytes: answerBytes(holder), lastTakenAtMs: holder.lastTakenAtMs,
                isResumable: holder.connection.isResumable, isComplete: holder.connection.isComplete,
            }));
        chooseCuts(waiting, account.level, nowMs()).forEach(disconnect);
    }

    function resumeSources(holder: HolderState) {
        const isTaken = holder.isCallerClosed || holder.connection.unsentBytes === 0;
        const isRoom = account.level !== "full" || mayFinish(holder);
        if (isRoom && (isTaken || mayReadOn(holder, resumeBytes))) {
            [...holder.sources].filter(({ isPaused }) => isPaused).forEach(resume);
        }
    }

    function createHolder(state: HolderState): Holder {
        return {
            hold(kind, bytes) {
                if (kind === "caller" && !state.isCallerClosed) {
                    sample(state);
                }
                else {
                    hold(state, kind, bytes);
                }
                pauseIfFull(state);
            },
            get mayReadOn() {
                return mayReadOn(state, maxReadOnBytes);
            },
            attach(source) {
                const entry = { isPaused: false, source };
                state.sources.add(entry);
                return {
                    get isPaused() {
                        return entry.isPaused;
                    },
                    pause: () => pause(entry),
                    drained() {
                        resume(entry);
                        pauseIfFull(state);
                    },
                    detach: () => state.sources.delete(entry),
                };
            },
            readBody(source, expectedBytes) {
                if (expectedBytes === 0) {
                    return uncountedBody;
                }
                const body: ReadBody = { holder: state.id, source, expectedBytes, readBytes: 0, isPaused: false };
                const end = (heldBytes: number) => {
                    if (bodies.delete(state.id)) {
                        hold(state, "body", 0);
                        hold(state, "upstream", heldBytes);
                        scheduleBodies();
                    }
                };
                bodies.set(state.id, body);
                scheduleBodies();
                return {
                    received(bytes) {
                        body.readBytes += bytes;
                        hold(state, "body", body.readBytes);
                    },
                    completed: () => end(body.readBytes),
                    dropped: () => end(0),
                };
            },
            retain() {
                let isRetained = true;
                state.references++;
                return () => {
                    if (isRetained) {
                        isRetained = false;
                        release(state);
                    }
                };
            },
            callerClosed() {
                if (!state.isCallerClosed) {
                    hold(state, "caller", 0);
                    state.isCallerClosed = true;
                    release(state);
                }
            },
        };
    }

    return {
        isBounded: true,
        get refusesBodies() {
            return isAtLeast(account.level, "refusing");
        },
        boundBytes: account.boundBytes,
        get held() {
            return account.byKind;
        },
        open(connection) {
            const state: HolderState = {
                id: String(nextId++), connection, sources: new Set(), references: 1, isCallerClosed: false, unsentBytes: 0, queuedBytes: 0,
                lastTakenAtMs: nowMs(),
            };
            holders.set(state.id, state);
            return createHolder(state);
        },
        countRefusal: () => count("refusal", "memory-short"),
        check() {
            [...holders.values()].filter(({ isCallerClosed }) => !isCallerClosed).forEach(sample);
            cutSlowReaders();
            holders.forEach(resumeSources);
            scheduleBodies();
        },
    };
}
