/**
 * The account of held bytes as the rest of the entry uses it.
 *
 * @module
 */

import type { Logger } from "../../telemetry/index.js";
import type { HeldBytes, HeldKind } from "./account.js";

/** The connection on which an answer is sent to its caller. */
export interface CallerConnection {
    readonly attemptId: string | undefined;
    /** Bytes of this answer that have not been handed to the kernel. */
    readonly unsentBytes: number;
    /** Those of the socket that are being handed to the kernel. They fall while the caller reads, even within one large write. */
    readonly queuedBytes: number;
    /** False while earlier answers on the connection are sent. */
    readonly isSending: boolean;
    readonly isComplete: boolean;
    readonly isResumable: boolean;
    /** Destroys the connection and ends the request's work. */
    disconnect(): void;
}

/** Something that can stop reading. Both functions may be called repeatedly. */
export interface Source {
    pause(): void;
    resume(): void;
}

export interface AttachedSource {
    pause(): void;
    /** Whether it was paused because of the account. */
    readonly isPaused: boolean;
    /** Called when the caller has caught up. */
    drained(): void;
    detach(): void;
}

/** The reading of a body. After `completed` or `dropped` nothing further has an effect. */
export interface BodyReading {
    received(bytes: number): void;
    /** The body is held for the upstreams from now on. */
    completed(): void;
    dropped(): void;
}

/** The account's view of one request. Once everything has been released, calls have no effect. */
export interface Holder {
    /** States how many bytes are held now. */
    hold(kind: HeldKind, bytes: number): void;
    /** Whether the answer may be read although its caller has not taken what was written. */
    readonly mayReadOn: boolean;
    /** Adds an exchange whose answer is read. */
    attach(source: Source): AttachedSource;
    /** Starts reading a body of at most `expectedBytes`. */
    readBody(source: Source, expectedBytes: number): BodyReading;
    /** Keeps the holder until the returned function is called. A new holder is kept until `callerClosed`. */
    retain(): () => void;
    callerClosed(): void;
}

export interface Memory {
    readonly isBounded: boolean;
    /** Whether new requests with bodies are refused. */
    readonly refusesBodies: boolean;
    readonly boundBytes: number;
    readonly held: HeldBytes;
    open(connection: CallerConnection): Holder;
    countRefusal(): void;
    /** Disconnects callers who take nothing, and resumes what may be read again. To be called every 100 ms. */
    check(): void;
}

export interface MemoryOptions {
    /** The memory that the process may use, in MB. */
    readonly limitMb: number;
    readonly logger: Logger;
    nowMs(): number;
    /** Counts a pause (`body`, `answer`), a refusal (`memory-short`) or a cut-off (its reason). */
    count(action: "pause" | "refusal" | "cut-off", reason: string): void;
}
