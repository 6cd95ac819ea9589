/**
 * The server side of sessions, shared by the control leader and by relays. `SessionSource` abstracts the differences between the two,
 * such as where the configuration and the lease duration come from.
 *
 * @module
 */

import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { Configuration } from "../cluster/index.js";
import {
    type CrashReport,
    type Hello,
    type SessionDown,
    SessionDownSchema,
    type SessionUp,
    type VmOrder,
    type VmReport,
} from "../rpc/index.js";
import { type AsyncQueue, createAsyncQueue } from "../runtime/index.js";

/** The fields of one message. Omitted fields are empty. */
type SessionDownInit = Exclude<MessageInitShape<typeof SessionDownSchema>, SessionDown>;

/** A session whose queue exceeds this length is closed: its daemon has stopped reading. */
const maxQueuedMessages = 10_000;

/** A daemon that holds, or may still hold, a configuration lease. */
export interface LeaseHolder {
    readonly daemonId: string;
    readonly configVersion: number;
    /** The expiry on the granter's clock, counted from the grant: never earlier than the holder's own expiry. */
    readonly leaseUntilMs: number;
}

/** Supplies what a session server sends to daemons, and receives what they send. */
export interface SessionSource {
    /** Returns undefined to accept the session, otherwise the address to try instead, which is empty if none is known. */
    redirect(hello: Hello): string | undefined;
    configuration(): { readonly version: number; readonly value: Configuration };
    /** The duration for which a lease may be granted now. 0 grants none. */
    grantableLeaseMs(): number;
    /** The content of the first message on a new session, besides the configuration. */
    initialMessage(hello: Hello): SessionDownInit;
    onReports(reports: readonly VmReport[], sessionId: number): void;
    onSilent(vmIds: readonly string[]): void;
    onCrashes(crashes: readonly CrashReport[]): void;
    /** Called when a session has ended and reports for its VMs no longer arrive on it. */
    onEnded(sessionId: number): void;
}

/** Serves sessions and grants configuration leases on them. */
export interface SessionServer {
    serve(messages: AsyncIterable<SessionUp>): AsyncIterable<SessionDown>;
    /** Sends the newest configuration to every session that does not have it yet. */
    pushConfiguration(): void;
    /** Sends a message to every session that matches `isRecipient`, by default to all. */
    broadcast(message: SessionDownInit, isRecipient?: (hello: Hello) => boolean): void;
    /** Sends orders on one session, or drops them if it has ended. */
    sendOrders(sessionId: number, orders: readonly VmOrder[]): void;
    /** When the last message arrived on the session. Still known after the session has ended, until it is swept. */
    heardAtMs(sessionId: number): number | undefined;
    /** Counts the open sessions without a message since `sinceMs`. */
    countSilentSessions(sinceMs: number): number;
    readonly holders: ReadonlyMap<string, LeaseHolder>;
    readonly sessionCount: number;
    /** Removes holders whose lease expired before `beforeMs`, and ended sessions whose last message came before `endedBeforeMs`. */
    sweep(beforeMs: number, endedBeforeMs?: number): void;
    /** Closes every session and removes all holders. */
    endAll(): void;
}

/** Reads the first message to identify the client, then passes the complete stream to the server that `selectServer` returns. */
export async function* routeSession(
    messages: AsyncIterable<SessionUp>,
    selectServer: (hello: Hello) => Pick<SessionServer, "serve">,
): AsyncGenerator<SessionDown> {
    const iterator = messages[Symbol.asyncIterator]();
    const first = await iterator.next();
    if (first.done === true || first.value.hello === undefined) {
        return;
    }
    const { hello } = first.value;
    async function* replayMessages() {
        yield first.value as SessionUp;
        yield* { [Symbol.asyncIterator]: () => iterator };
    }
    yield* selectServer(hello).serve(replayMessages());
}

/** The state of an open session. */
interface OpenSession {
    readonly id: number;
    readonly hello: Hello;
    readonly outgoing: AsyncQueue<SessionDownInit>;
    sentVersion: number;
    heardAtMs: number;
}

/** Creates a session server without sessions. */
export function createSessionServer(source: SessionSource, nowMs: () => number): SessionServer {
    const sessions = new Map<number, OpenSession>();
    const endedAtMs = new Map<number, number>();
    const holders = new Map<string, LeaseHolder>();
    let nextId = 1;
    let encodedConfiguration: { readonly version: number; readonly bytes: Uint8Array } | undefined;

    /** Returns the newest configuration if the session does not have it yet. It is encoded once for all sessions. */
    function configUpdate(session: OpenSession): SessionDownInit {
        const { version, value } = source.configuration();
        if (session.sentVersion >= version) {
            return {};
        }
        if (encodedConfiguration?.version !== version) {
            encodedConfiguration = { version, bytes: new TextEncoder().encode(JSON.stringify(value)) };
        }
        session.sentVersion = version;
        return { config: { version: BigInt(version), config: encodedConfiguration.bytes } };
    }

    function send(session: OpenSession, message: SessionDownInit) {
        if (session.outgoing.length > maxQueuedMessages) {
            session.outgoing.end();
            return;
        }
        session.outgoing.push(message);
    }

    /** Grants a lease. The configuration is sent with or before the grant, so that a holder always has the configuration it is leased. */
    function grant(session: OpenSession, nonce: bigint, heldVersion: number) {
        const leaseMs = Math.floor(source.grantableLeaseMs());
        if (leaseMs <= 0) {
            return;
        }
        const update = configUpdate(session);
        const { daemonId } = session.hello;
        holders.set(daemonId, { daemonId, configVersion: heldVersion, leaseUntilMs: nowMs() + leaseMs });
        send(session, { ...update, lease: { nonce, leaseMs, configVersion: BigInt(source.configuration().version) } });
    }

    function handleMessage(session: OpenSession, message: SessionUp) {
        session.heardAtMs = nowMs();
        if (message.reports.length > 0) {
            source.onReports(message.reports, session.id);
        }
        if (message.silentVmIds.length > 0) {
            source.onSilent(message.silentVmIds);
        }
        if (message.crashes.length > 0) {
            source.onCrashes(message.crashes);
        }
        if (message.leaseAsk !== undefined) {
            grant(session, message.leaseAsk.nonce, Number(message.leaseAsk.configVersion));
        }
    }

    async function readMessages(session: OpenSession, messages: AsyncIterator<SessionUp>) {
        try {
            for (let next = await messages.next(); next.done !== true; next = await messages.next()) {
                handleMessage(session, next.value);
            }
        }
        catch {
            // The stream failed. The daemon will open a new session.
        }
        session.outgoing.end();
    }

    async function* serve(messages: AsyncIterable<SessionUp>): AsyncGenerator<SessionDown> {
        const iterator = messages[Symbol.asyncIterator]();
        const first = await iterator.next();
        const hello = first.done === true ? undefined : first.value.hello;
        if (hello === undefined) {
            return;
        }
        const redirectAddress = source.redirect(hello);
        if (redirectAddress !== undefined) {
            // If no address is known, the stream ends without a message and the daemon tries the next server on its list.
            yield* redirectAddress === "" ? [] : [create(SessionDownSchema, { redirectAddress })];
            return;
        }
        const session: OpenSession = { id: nextId++, hello, outgoing: createAsyncQueue(), sentVersion: 0, heardAtMs: nowMs() };
        sessions.set(session.id, session);
        send(session, { ...source.initialMessage(hello), ...configUpdate(session) });
        handleMessage(session, first.value as SessionUp);
        void readMessages(session, iterator);
        try {
            for await (const message of session.outgoing) {
                yield create(SessionDownSchema, message);
            }
        }
        finally {
            sessions.delete(session.id);
            endedAtMs.set(session.id, session.heardAtMs);
            source.onEnded(session.id);
        }
    }

    return {
        serve,
        pushConfiguration() {
            for (const session of sessions.values()) {
                const update = configUpdate(session);
                if (update.config !== undefined) {
                    send(session, update);
                }
            }
        },
        broadcast(message, isRecipient = () => true) {
            for (const session of sessions.values()) {
                if (isRecipient(session.hello)) {
                    send(session, message);
                }
            }
        },
        sendOrders(sessionId, orders) {
            const session = sessions.get(sessionId);
            if (session !== undefined) {
                send(session, { orders: [...orders] });
            }
        },
        heardAtMs: sessionId => sessions.get(sessionId)?.heardAtMs ?? endedAtMs.get(sessionId),
        countSilentSessions(sinceMs) {
            let count = 0;
            sessions.forEach(session => {
                count += session.heardAtMs < sinceMs ? 1 : 0;
            });
            return count;
        },
        holders,
        get sessionCount() {
            return sessions.size;
        },
        sweep(beforeMs, endedBeforeMs = beforeMs) {
            for (const [id, atMs] of endedAtMs) {
                if (atMs < endedBeforeMs) {
                    endedAtMs.delete(id);
                }
            }
            for (const [id, holder] of holders) {
                if (holder.leaseUntilMs < beforeMs) {
                    holders.delete(id);
                }
            }
        },
        endAll() {
            sessions.forEach(session => session.outgoing.end());
            holders.clear();
        },
    };
}
