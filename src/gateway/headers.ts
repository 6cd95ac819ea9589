/**
 * Header names as a dialect has them, all in lower case, under what they hold.
 *
 * @module
 */

export interface HeaderNames {
    /** The caller's id of this attempt; upstreams echo it in their answers. */
    readonly attemptId: string;
    /** The time that is left, in ms. */
    readonly deadlineMs: string;
    /** A caller's key; never passed on. */
    readonly key: string;
    /** The organisation that holds the key; set here whatever the caller sent. */
    readonly organisation: string;
    /** The upstream that alone may run the request. */
    readonly upstreamId: string;
    readonly servedBy: string;
    /** On a refusal, the upstream at fault: another member of the group, at times. */
    readonly faultyUpstreamId: string;
    readonly signature: string;
    /** Present where the upstream did not run the request. */
    readonly notRun: string;
    readonly load: string;
    /** Requests a second that an upstream in need takes from all entries together. */
    readonly limit: string;
    readonly model: string;
    readonly tokens: string;
    readonly lastEventId: string;
    readonly priority: string;
}

/** The value of a header, named in lower case, in a raw list. */
export function valueOf(raw: readonly string[], name: string): string | undefined {
    for (let at = 0; at < raw.length; at += 2) {
        if (raw[at]!.toLowerCase() === name) {
            return raw[at + 1];
        }
    }
    return undefined;
}

/** Headers that concern one connection only. */
const hopByHop = new Set(["connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect", "proxy-authenticate", "proxy-authorization"]);

/** The raw header list without those that concern one connection, those that `Connection` names, and those in `without`. */
export function passedOn(raw: readonly string[], without: ReadonlySet<string>): string[] {
    const named = new Set<string>();
    for (let at = 0; at < raw.length; at += 2) {
        if (raw[at]!.toLowerCase() === "connection") {
            raw[at + 1]!.split(",").forEach(name => named.add(name.trim().toLowerCase()));
        }
    }
    const kept: string[] = [];
    for (let at = 0; at < raw.length; at += 2) {
        const name = raw[at]!.toLowerCase();
        if (!hopByHop.has(name) && !named.has(name) && !without.has(name)) {
            kept.push(raw[at]!, raw[at + 1]!);
        }
    }
    return kept;
}
