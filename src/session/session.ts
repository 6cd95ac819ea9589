/**
 * Maintains a session with the region's control leader, directly or through a relay: opens it, renews the configuration lease on it,
 * and reconnects when it becomes silent or is redirected.
 *
 * @module
 */

import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import type { Peer, Settings } from "../config/index.js";
import {
    ControlService,
    type CrashReport,
    createPeerConnection,
    type PeerCertificates,
    type SessionDown,
    SessionUpSchema,
    type VmReportSchema,
} from "../rpc/index.js";
import { type AsyncQueue, type Clock, createAsyncQueue } from "../runtime/index.js";
import { requestLease, applyGrant, type HeldLease, leaseRemainingMs, initialLease, renewIntervalMs } from "./lease.js";
import { applyMessage, emptyView, type SessionView } from "./view.js";

type SessionUpInit = MessageInitShape<typeof SessionUpSchema>;

/** A session without a message for this long is abandoned for a new connection. */
const silenceTimeoutMs = 2_500;
const minRetryDelayMs = 100;
/** Low enough to find a new control leader well before a lease expires. Delays are jittered to spread out reconnects. */
const maxRetryDelayMs = 400;

export interface SessionOptions {
    readonly settings: Settings;
    readonly bootId: string;
    readonly clock: Clock;
    readonly wantsDirectory: boolean;
    /** True for a daemon that relays for sidecars. It connects only to the control leader, never to another relay. */
    readonly isRelay: boolean;
    /** The reports of this daemon's VMs: all of them on a new session (`isFull`), otherwise at least the changed ones. */
    readonly reports: (isFull: boolean) => MessageInitShape<typeof VmReportSchema>[];
    /** Returns the VMs that have become silent since the last call. */
    readonly takeSilentVmIds?: () => string[];
    /** Returns the version to report, given this daemon's own. A relay reports the oldest version among the leases it has granted. */
    readonly reportedVersion?: (ownVersion: number) => number;
    /** Called with each message, after it has been applied to `view`. */
    readonly onMessage: (message: SessionDown) => void;
    readonly onStateChange: (state: "connected" | "lost", address: string) => void;
    readonly certificates?: () => PeerCertificates | undefined;
}

/** A daemon's session with the control leader. */
export interface Session {
    readonly view: SessionView;
    /** The remaining duration of the configuration lease, 0 if it has expired. */
    leaseRemainingMs(): number;
    /** Sends the reports immediately, for changes that cannot wait for the next renewal. */
    reportNow(): void;
    reportCrash(crash: Omit<CrashReport, "$typeName" | "$unknown">): void;
    /** The address of the connected server, undefined while there is none. */
    readonly address: string | undefined;
    stop(): void;
}

/** Starts a session and maintains it until `stop` is called. */
export function createSession(options: SessionOptions): Session {
    const { settings, clock } = options;
    const { voters } = settings.control;
    const servers = options.isRelay ? voters : settings.control.relays ?? voters;
    let view = emptyView;
    let lease: HeldLease = initialLease;
    let isStopped = false;
    let outgoing: AsyncQueue<SessionUpInit> | undefined;
    let abortCurrent: (() => void) | undefined;
    let address: string | undefined;
    let heardAtMs = clock.nowMs();
    let isNewSession = true;

    function send(message: SessionUpInit) {
        outgoing?.push(message);
    }

    function renewLease() {
        const request = requestLease(lease, clock.nowMs());
        lease = request.lease;
        const configVersion = options.reportedVersion?.(view.version) ?? view.version;
        send({
            reports: options.reports(isNewSession),
            silentVmIds: options.takeSilentVmIds?.() ?? [],
            leaseAsk: { nonce: BigInt(request.nonce), configVersion: BigInt(configVersion) },
        });
        isNewSession = false;
    }

    function handleMessage(message: SessionDown) {
        heardAtMs = clock.nowMs();
        const previousVersion = view.version;
        view = applyMessage(view, message);
        if (message.lease !== undefined) {
            const { nonce, leaseMs, configVersion } = message.lease;
            lease = applyGrant(lease, { nonce: Number(nonce), leaseMs, configVersion: Number(configVersion) }, view.version);
        }
        if (view.version !== previousVersion) {
            renewLease();
        }
        options.onMessage(message);
    }

    /** Runs one session with a server until it ends. Returns the address to which the server redirected, if any. */
    async function runSession(serverAddress: string): Promise<string | undefined> {
        const connection = createPeerConnection(serverAddress, options.certificates?.());
        const abort = new AbortController();
        const queue = createAsyncQueue<SessionUpInit>();
        outgoing = queue;
        heardAtMs = clock.nowMs();
        isNewSession = true;
        const timer = setInterval(() => {
            if (clock.nowMs() - heardAtMs > silenceTimeoutMs) {
                abort.abort();
                connection.close();
                return;
            }
            renewLease();
        }, renewIntervalMs);
        abortCurrent = () => {
            abort.abort();
            connection.close();
        };
        try {
            const hello = {
                daemonId: settings.daemon.id,
                bootId: options.bootId,
                dataCentre: settings.daemon.dataCentre,
                wantsDirectory: options.wantsDirectory,
                relays: options.isRelay,
            };
            queue.push({ hello });
            renewLease();
            const requests = async function* () {
                for await (const message of queue) {
                    yield create(SessionUpSchema, message);
                }
            };
            const client = createClient(ControlService, connection.transport);
            for await (const message of client.session(requests(), { signal: abort.signal })) {
                if (message.redirectAddress !== "") {
                    return message.redirectAddress;
                }
                if (address !== serverAddress) {
                    address = serverAddress;
                    options.onStateChange("connected", serverAddress);
                }
                handleMessage(message);
            }
            return undefined;
        }
        catch {
            return undefined;
        }
        finally {
            clearInterval(timer);
            queue.end();
            outgoing = undefined;
            connection.close();
            if (address !== undefined) {
                options.onStateChange("lost", address);
            }
            address = undefined;
        }
    }

    /**
     * Runs one session after another. Redirects are followed at once, but after a delay if they come within the minimum retry delay. After
     * a refusal or a connection loss the next server is tried with jittered exponential backoff.
     */
    async function maintainSession() {
        let serverIndex = Math.floor(Math.random() * servers.length);
        let delayMs = minRetryDelayMs;
        let redirectAddress: string | undefined;
        while (!isStopped) {
            const serverAddress: string = redirectAddress ?? (servers[serverIndex % servers.length] as Peer).address;
            const connectedAtMs = clock.nowMs();
            const redirect = await runSession(serverAddress);
            redirectAddress = redirect === serverAddress ? undefined : redirect;
            if (redirectAddress !== undefined && clock.nowMs() - connectedAtMs > minRetryDelayMs) {
                continue;
            }
            serverIndex++;
            delayMs = clock.nowMs() - connectedAtMs > maxRetryDelayMs * 2 ? minRetryDelayMs : Math.min(maxRetryDelayMs, delayMs * 2);
            await new Promise(resolve => setTimeout(resolve, delayMs * (0.5 + Math.random() / 2)));
        }
    }

    void maintainSession();
    return {
        get view() {
            return view;
        },
        get address() {
            return address;
        },
        leaseRemainingMs: () => leaseRemainingMs(lease, clock.nowMs()),
        reportNow() {
            send({ reports: options.reports(false) });
        },
        reportCrash(crash) {
            send({ crashes: [crash] });
        },
        stop() {
            isStopped = true;
            abortCurrent?.();
        },
    };
}
