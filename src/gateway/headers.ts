/**
 * The header names of a dialect, in lower case, and helpers for raw header lists.
 *
 * @module
 */

export interface HeaderNames {
    /** The caller's id for this attempt, which upstreams echo in their answers. */
    readonly attemptId: string;
    /** The time left until the deadline, in ms. */
    readonly deadlineMs: string;
    /** The caller's API key; never forwarded. */
    readonly key: string;
    /** The organisation that holds the key. The entry sets it and drops what the caller sent. */
    readonly organisation: string;
    /** The only upstream that may run the request. */
    readonly upstreamId: string;
    readonly servedBy: string;
    /** On a refusal, the upstream at fault, which may be another member of the group. */
    readonly faultyUpstreamId: string;
    readonly signature: string;
    /** Present if the upstream did not run the request. */
    readonly notRun: string;
    readonly load: string;
    /** Requests a second that an overloaded upstream accepts from all entries together. */
    readonly limit: string;
    /** "1" in every answer of an upstream that is about to leave. */
    readonly leaving: string;
    /** How much longer the upstream is cold, in ms. */
    readonly coldForMs: string;
    readonly model: string;
    readonly tokens: string;
    /** The parts of the prompt in order, as ID:TOKENS entries separated by commas. Requests share parts, except the last. */
    readonly promptParts: string;
    readonly lastEventId: string;
    readonly priority: string;
}

/** Returns the value of the header `name`, in lower case, from a raw header list. */
export function headerValue(raw: readonly string[], name: string): string | undefined {
    for (let index = 0; index < raw.length; index += 2) {
        if (raw[index]!.toLowerCase() === name) {
            return raw[index + 1];
        }
    }
    return undefined;
}

/** Headers that apply to a single connection and must not be forwarded. */
const hopByHopHeaders = new Set(["connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect", "proxy-authenticate", "proxy-authorization"]);

/** Returns a raw header list without hop-by-hop headers, headers that `Connection` names, and those in `excluded`. */
export function forwardedHeaders(raw: readonly string[], excluded: ReadonlySet<string>): string[] {
    const connectionTokens = new Set<string>();
    for (let index = 0; index < raw.length; index += 2) {
        if (raw[index]!.toLowerCase() === "connection") {
            raw[index + 1]!.split(",").forEach(name => connectionTokens.add(name.trim().toLowerCase()));
        }
    }
    const kept: string[] = [];
    for (let index = 0; index < raw.length; index += 2) {
        const name = raw[index]!.toLowerCase();
        if (!hopByHopHeaders.has(name) && !connectionTokens.has(name) && !excluded.has(name)) {
            kept.push(raw[index]!, raw[index + 1]!);
        }
    }
    return kept;
}

/** Returns the headers of an upstream's answer that are forwarded to the caller. */
export function answerHeaders(raw: readonly string[]): string[] {
    return forwardedHeaders(raw, new Set(["date"]));
}
