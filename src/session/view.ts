/**
 * A daemon's view of the state received on its session: the newest configuration, the directory of upstreams, the crash
 * suspects and the parts of prompts that crash engines.
 * The view is kept when the session is lost, so that running work continues. The lease determines whether it may be used for new work.
 *
 * @module
 */

import { type Configuration, configurationSchema, emptyConfiguration } from "../cluster/index.js";
import type { CrashCause } from "../crashes/index.js";
import type { CrashCauses, DirectoryUpdate, SessionDown, SuspectUpdate, Upstream } from "../rpc/index.js";

/** The state received on a session. */
export interface SessionView {
    readonly version: number;
    readonly configuration: Configuration;
    readonly upstreams: ReadonlyMap<string, Upstream>;
    readonly suspects: ReadonlyMap<string, SuspectUpdate>;
    readonly crashCauses: readonly CrashCause[];
    /** Parts of prompts that were in flight at a crash and on which no answer has been completed since. */
    readonly suspectedParts: ReadonlySet<string>;
}

export const emptyView: SessionView = {
    version: 0,
    configuration: emptyConfiguration.value,
    upstreams: new Map(),
    suspects: new Map(),
    crashCauses: [],
    suspectedParts: new Set(),
};

function applyDirectory(upstreams: ReadonlyMap<string, Upstream>, update: DirectoryUpdate): ReadonlyMap<string, Upstream> {
    const next = new Map(update.whole ? [] : upstreams);
    update.removed.forEach(id => next.delete(id));
    update.upstreams.forEach(upstream => next.set(upstream.upstreamId, upstream));
    return next;
}

type Suspects = SessionView["suspects"];

function applySuspects(suspects: Suspects, updates: readonly SuspectUpdate[]): Suspects {
    const next = new Map(suspects);
    for (const update of updates) {
        if (update.state === "cleared") {
            next.delete(update.fingerprint);
        }
        else {
            next.set(update.fingerprint, update);
        }
    }
    return next;
}

function applyCrashCauses(view: SessionView, { causes, suspectedParts }: CrashCauses): SessionView {
    return { ...view, crashCauses: causes.map(({ parts }) => parts), suspectedParts: new Set(suspectedParts) };
}

/** Applies one message. A configuration older than the current one is dropped: a configuration in force never reverts. */
export function applyMessage(view: SessionView, message: SessionDown): SessionView {
    let next = view;
    if (message.config !== undefined && Number(message.config.version) > view.version) {
        const configuration = configurationSchema.parse(JSON.parse(new TextDecoder().decode(message.config.config)));
        next = { ...next, version: Number(message.config.version), configuration };
    }
    if (message.directory !== undefined) {
        next = { ...next, upstreams: applyDirectory(next.upstreams, message.directory) };
    }
    if (message.suspects.length > 0) {
        next = { ...next, suspects: applySuspects(next.suspects, message.suspects) };
    }
    if (message.crashCauses !== undefined) {
        next = applyCrashCauses(next, message.crashCauses);
    }
    return next;
}
