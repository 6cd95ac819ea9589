/**
 * Publishes the upstreams of a control daemon: what changes, and when they were heard.
 *
 * A frame costs its sender some 45 us for each watcher, however few upstreams it carries. So the changes of one turn of the event loop
 * share a frame, and so do those within `minIntervalMs` of the previous frame. A site that changes rarely is not delayed.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { DirectoryPosition, Frame, PositionedFrame, WatcherRole } from "../feed/index.js";
import { type Directory, toRelayed, type Upstream } from "../fleet/index.js";
import { createPacedTask } from "./pacedTask.js";

/** Short compared with the delays of a repair, which waits for changes of groups. */
const minIntervalMs = 20;
/** Upstreams in one frame: some 30 KB. */
const upstreamsPerFrame = 100;

export interface DirectoryFeed {
    /** Publishes the upstreams that have changed; at once, if one of them accepts no more work. */
    publishChanged(changed: readonly Upstream[]): void;
    /** Publishes pending changes at once. */
    flush(): void;
    /** Records that upstreams were heard, by this daemon itself or by another one. */
    recordHeard(ids: Iterable<string>, isDirect: boolean): void;
    /** Publishes which upstreams this daemon itself has heard since the last call. Other control daemons receive only these. */
    publishHeardDirectly(): void;
    /**
     * Publishes which upstreams any daemon has heard since the last call, even if there are none: the streams of older entries, which don't
     * ask, count as dead after 1.5 s without a frame.
     */
    publishHeardByAny(): void;
    /** How long ago an upstream was heard; undefined if it is unknown or gone. */
    heardAgoMs(id: string): number | undefined;
    /**
     * Yields frames with the upstreams that have changed since `known`, each in its state when the frame is taken. All upstreams if this is
     * undefined or not a position of this process.
     */
    initialFrames(known: DirectoryPosition | undefined): Generator<Frame | PositionedFrame>;
}

export interface DirectoryFeedOptions {
    readonly directory: Directory;
    publish(frame: Frame, role?: WatcherRole, position?: DirectoryPosition): void;
    nowMs(): number;
}

/** Creates a feed without pending changes. Its incarnation is unique to this process. */
export function createDirectoryFeed({ directory, publish, nowMs }: DirectoryFeedOptions): DirectoryFeed {
    const incarnation = randomUUID();
    /** Ids of changed upstreams that have not been published, in the order of their last changes. */
    const pending = new Set<string>();
    const heardDirectly = new Set<string>();
    const heardByAny = new Set<string>();

    function frameOf(ids: readonly string[]): Frame {
        const present = ids.map(id => directory.upstreams.get(id)).filter(upstream => upstream !== undefined);
        return { kind: "upstreams", upstreams: present.map(upstream => toRelayed(upstream, nowMs())) };
    }

    const publication = createPacedTask(() => {
        if (pending.size > 0) {
            const frame = frameOf([...pending]);
            pending.clear();
            publish(frame, undefined, { incarnation, version: directory.version });
        }
    }, minIntervalMs, nowMs);

    function heardAgoMs(id: string): number | undefined {
        const upstream = directory.upstreams.get(id);
        return upstream === undefined || upstream.isGone ? undefined : Math.max(0, Math.round(nowMs() - upstream.heardAtMs));
    }

    /** Publishes and clears a set of heard upstreams. */
    function publishHeard(ids: Set<string>, role: WatcherRole) {
        const heard = [...ids].flatMap(id => {
            const agoMs = heardAgoMs(id);
            return agoMs === undefined ? [] : [{ id, agoMs }];
        });
        ids.clear();
        publish({ kind: "heard", heard }, role);
    }

    return {
        publishChanged(changed) {
            for (const { id } of changed) {
                pending.delete(id);
                pending.add(id);
            }
            // A departure is acknowledged once it is published: entries must not send requests to an upstream that was told it may end.
            if (changed.some(({ isGone, state }) => isGone || state === "draining")) {
                publication.runNow();
            }
            else if (changed.length > 0) {
                publication.request();
            }
        },
        flush: publication.runNow,
        recordHeard(ids, isDirect) {
            for (const id of ids) {
                heardByAny.add(id);
                if (isDirect) {
                    heardDirectly.add(id);
                }
            }
        },
        publishHeardDirectly() {
            if (heardDirectly.size > 0) {
                publishHeard(heardDirectly, "control");
            }
        },
        publishHeardByAny: () => publishHeard(heardByAny, "entry"),
        heardAgoMs,
        * initialFrames(known) {
            const position = { incarnation, version: directory.version };
            const isKnown = known !== undefined && known.incarnation === incarnation && known.version <= position.version;
            const ids = directory.changedSince(isKnown ? known.version : 0);
            for (let first = 0; first < ids.length; first += upstreamsPerFrame) {
                const frame = frameOf(ids.slice(first, first + upstreamsPerFrame));
                // Only with the last frame does the watcher have everything up to the position.
                yield first + upstreamsPerFrame < ids.length ? frame : { frame, position };
            }
        },
    };
}
